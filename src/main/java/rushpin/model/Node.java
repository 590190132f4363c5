package rushpin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;

/** An edge node: the module that serves, with a modelled host round it. It does what the real host does, and decides nothing. */
final class Node implements Ports.Actions {
    private static final long MS = 1_000_000L;
    /** The module sees each deadline so much early, and what it leaves open is failed so long before the end. */
    private static final long MARGIN = 12 * MS, LAST_MOMENT = 6 * MS;

    private static final long KEEP_ALIVE = 10_000 * MS;

    /** Where a try's one answer goes: status 200, 429, 500, or 0 if the node has died. */
    interface Client {
        void answered(int status, long retryAfter, boolean within);
    }

    private static final class Open {
        final Ask ask;
        final Client client;
        final Request request;
        boolean answered, sentOn, within = true;
        int attempts;
        Attempt out;

        Open(Ask ask, Client client, Request request) {
            this.ask = ask;
            this.client = client;
            this.request = request;
        }
    }

    /** An attempt that is out. */
    private final class Attempt extends Station.Visit {
        final Open of;
        final Station station;
        final long sentAt = world.time.now();
        final int life = lives;
        final String id;
        long cameAt = -1;
        boolean over, effect, recorded;

        Attempt(Open of, Station station, long work, double luck) {
            super(work, luck);
            this.of = of;
            this.station = station;
            id = of.request.id();
        }

        @Override
        void begins() {
            effect = world.takesEffect(of.ask, station, cameAt);
            world.tally.worked(of.ask, work);
        }

        @Override
        void ends(Outcome outcome) {
            record();
            world.time.after(way(station), () -> over(this, outcome));
        }

        /** What the server saw of it, once it has answered or the connection has ended. */
        void record() {
            if (cameAt >= 0 && !recorded) {
                recorded = true;
                world.attempt(Node.this, station, id, of.ask, cameAt, effect);
            }
        }
    }

    final int number, zone;
    private final World world;
    private final Settings settings;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<Station, ArrayDeque<Long>> idle = new HashMap<>();
    private final Map<Long, Deque<Tallies.Call>> lines = new HashMap<>();
    /** The list as this node has it, over its restarts. */
    private final Map<String, Server> list = new LinkedHashMap<>();

    private Ports.Events gateway;
    private boolean alive;
    private int lives;
    private long heardAt;

    Node(int number, int zone, World world, Settings settings) {
        this.number = number;
        this.zone = zone;
        this.world = world;
        this.settings = settings;
    }

    boolean isAlive() {
        return alive;
    }

    /** Starts, with the list as last known. */
    void start() {
        alive = true;
        lives++;
        gateway = world.module.make(
                settings, world.chance.stream("node " + number, lives).nextLong(), world.time.now(), this);
        gateway.list(world.time.now(), ListKind.CACHED, List.copyOf(list.values()));
        world.time.after(world.day.oneWay, () -> {
            if (alive) {
                gateway.list(world.time.now(), ListKind.FULL, world.rollFor(this, list));
            }
        });
    }

    /** Is killed outright: what it held is its clients' to repeat, and its connections break. */
    void kill() {
        alive = false;
        for (Open each : new ArrayList<>(open.values())) {
            if (each.out != null && !each.out.over) {
                each.out.over = true;
                cancel(each.out);
            }
            if (!each.answered) {
                each.answered = true;
                world.time.after(world.day.oneWay, () -> each.client.answered(0, 0, each.within));
            }
        }
        open.clear();
        idle.clear();
        lines.clear();
    }

    /** Discovery tells a change; changes come in their order. Returns when this one comes. */
    long tell(Server entry, long after) {
        heardAt = Math.max(heardAt, world.time.now() + after);
        world.time.at(heardAt, () -> {
            if (!alive) {
                return;
            }
            if (entry.readiness() == Readiness.GONE) {
                list.remove(entry.id());
            } else {
                list.put(entry.id(), entry);
            }
            gateway.list(world.time.now(), ListKind.DELTA, List.of(entry));
        });
        return heardAt;
    }

    /** The list before the run, which is true. */
    void know(Server entry) {
        list.put(entry.id(), entry);
    }

    /** A try has come whole. */
    void take(Ask ask, int spread, int first, Client client) {
        long now = world.time.now(), due = now + ask.patience;
        Request request = new Request(
                ask.id(),
                ask.requestClass,
                ask.plan,
                ask.customer,
                due - MARGIN,
                ask.units,
                spread,
                first,
                ask.tries > 0);
        Open made = new Open(ask, client, request);
        int life = lives;
        open.put(request.id(), made);
        world.time.at(due - LAST_MOMENT, () -> {
            if (life == lives && alive && !made.answered) {
                answer(made, 500, 0);
                gateway.clientGone(world.time.now(), request.id());
                settle(made);
            }
        });
        gateway.request(now, request);
    }

    private void answer(Open of, int status, long retryAfter) {
        of.answered = true;
        world.time.after(
                world.nodeSpan(of.ask) / 2 + world.day.oneWay, () -> of.client.answered(status, retryAfter, of.within));
    }

    private void settle(Open of) {
        if (of.answered && of.out == null) {
            open.remove(of.request.id(), of);
        }
    }

    private long way(Station to) {
        return world.way(zone, to.zone);
    }

    @Override
    public void send(String id, String server, long patience) {
        Open of = open.get(id);
        int life = lives;
        if (of == null || of.answered || of.out != null) {
            Result moot = new Result(id, Outcome.NOT_SENT, 0, server, of == null || of.answered, 0, 0, List.of());
            world.time.after(0, () -> {
                if (alive && life == lives) {
                    gateway.attemptEnded(world.time.now(), moot);
                }
            });
            return;
        }
        Station station = world.station(server);
        Attempt out = new Attempt(of, station, world.work(of.ask), world.luck(of.ask, of.attempts, station));
        of.out = out;
        of.attempts++;
        boolean kept = connected(station);
        if (station.isSilent() || !station.isUp()) {
            boolean refused = !station.isSilent();
            long wait = refused ? 2 * way(station) : Math.min(patience, world.day.connectTimeout);
            if (refused || !kept) {
                world.time.after(wait, () -> over(out, Outcome.CONNECT_FAILED));
                return;
            }
        }
        long reach = way(station) + (kept ? 0 : 2 * way(station) + world.day.connect);
        world.time.after(reach, () -> {
            if (!out.over) {
                reached(out);
            }
        });
        world.time.after(patience, () -> {
            if (!out.over) {
                cancel(out);
                over(out, Outcome.TIMEOUT);
            }
        });
    }

    private void reached(Attempt out) {
        out.cameAt = world.time.now();
        if (!out.of.sentOn) {
            out.of.sentOn = true;
            out.of.within = world.tally.sentOn(out.of.ask, world.time.now());
        }
        world.tally.attempt(out.of.ask, zone != out.station.zone);
        out.station.arrive(out);
    }

    /** The connection ends here; the server hears of it a way later. */
    private void cancel(Attempt out) {
        world.time.after(way(out.station), () -> {
            if (out.cameAt >= 0) {
                out.station.cancel(out);
                out.record();
            }
        });
    }

    private boolean connected(Station to) {
        ArrayDeque<Long> kept = idle.get(to);
        while (kept != null && !kept.isEmpty()) {
            // The one used last is the one that stands longest from now.
            if (kept.pollLast() > world.time.now()) {
                return true;
            }
            kept.clear();
        }
        return false;
    }

    private void over(Attempt out, Outcome outcome) {
        if (out.over || !alive || out.life != lives) {
            return;
        }
        out.over = true;
        Open of = out.of;
        of.out = null;
        long now = world.time.now();
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.FULL) {
            idle.computeIfAbsent(out.station, s -> new ArrayDeque<>()).addLast(now + KEEP_ALIVE);
        }
        if (outcome == Outcome.OK && !of.answered) {
            world.tally.good(of.ask, out.work);
            answer(of, 200, 0);
        }
        gateway.attemptEnded(
                now,
                new Result(
                        of.request.id(),
                        outcome,
                        now - out.sentAt,
                        out.station.id,
                        of.answered,
                        of.attempts - 1,
                        0,
                        List.of()));
        settle(of);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        finish(id, 429, retryAfter);
    }

    @Override
    public void fail(String id) {
        finish(id, 500, 0);
    }

    private void finish(String id, int status, long retryAfter) {
        Open of = open.get(id);
        if (of != null && !of.answered) {
            answer(of, status, retryAfter);
            settle(of);
        }
    }

    @Override
    public void count(long customer, long name, double amount, long lifetime) {
        Deque<Tallies.Call> line = lines.computeIfAbsent(name, n -> Tallies.line());
        int life = lives;
        world.counter.call(line, name, amount, lifetime, world.day.oneWay, (outcome, total) -> {
            if (line.isEmpty()) {
                lines.remove(name, line);
            }
            if (alive && life == lives) {
                gateway.counted(world.time.now(), name, outcome, total);
            }
        });
    }

    @Override
    public void probe(String server) {
        Station station = world.station(server);
        int life = lives;
        long took = 2 * way(station);
        world.time.after(took, () -> {
            if (alive && life == lives) {
                gateway.probed(
                        world.time.now(),
                        server,
                        station.isUp() && !station.isSilent() ? Outcome.OK : Outcome.CONNECT_FAILED,
                        took,
                        List.of());
            }
        });
    }

    @Override
    public void timer(long token, long span) {
        int life = lives;
        world.time.after(span, () -> {
            if (alive && life == lives) {
                gateway.timer(world.time.now(), token);
            }
        });
    }

    @Override
    public void watchList() {
        // Changes come by themselves.
    }

    @Override
    public void log(String text) {
        // The model's own figures tell more.
    }
}
