package rushpin.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import rushpin.gateway.Ports;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.judge.Judge;
import rushpin.judge.Records;

/** One run: a fleet, its servers and its clients on one line of time. */
final class World {
    private static final String FLEET = "fleet";
    private static final long MS = 1_000_000L, DRAIN_GRACE = 1_000 * MS;

    /** How a node's module is made: the gateway that serves, or one that is made to break a rule. */
    interface Module {
        /** One that starts now; {@code seed} is its only source of chance. */
        Ports.Events make(Settings settings, long seed, long now, Ports.Actions actions);
    }

    final Timeline time = new Timeline();
    final Module module;
    final Chance chance;
    final Day day;
    final Settings settings;
    final Tally tally;
    final Tallies counter;
    final List<Node> nodes = new ArrayList<>();
    private final List<String> classNames, planNames;
    private final Map<String, Station> stations = new LinkedHashMap<>();
    private final List<Station> living = new ArrayList<>();
    private final Map<Object, Keys> keys = new HashMap<>();
    private final Work[] work;
    /** By the fleet, for answers, effects, ceilings and cold servers; by node, for drains. */
    private final Records records = new Records(), drains = new Records();

    private final Map<String, Long> drainsTold = new HashMap<>();
    private final Clients clients;
    private long nextTell;
    private int replaced;

    World(
            Settings settings,
            List<String> classNames,
            List<String> planNames,
            Day day,
            Replay replay,
            long seed,
            Module module) {
        this.module = module;
        this.settings = settings;
        this.classNames = classNames;
        this.planNames = planNames;
        this.day = day;
        chance = new Chance(seed);
        tally = new Tally(settings, classNames, planNames, day.span, day.warmUp);
        counter = new Tallies(
                time,
                day.counterParts,
                day.countSpan,
                Math.max(1, settings.counter().timeout()));
        work = new Work[classNames.size()];
        for (int i = 0; i < work.length; i++) {
            Day.ClassLoad load = day.classes.get(classNames.get(i));
            work[i] = load == null ? null : load.work();
        }
        for (int i = 0; i < day.servers; i++) {
            add("s-" + i, i % day.zones);
        }
        for (int i = 0; i < day.nodes; i++) {
            Node node = new Node(i, i % day.zones, this, mine(i));
            stations.values().forEach(station -> node.know(entry(station, Readiness.READY)));
            nodes.add(node);
        }
        clients = new Clients(this, classNames, planNames, replay);
    }

    private Settings mine(int number) {
        return new Settings(
                number,
                day.nodes,
                number % day.zones,
                settings.tick(),
                settings.sizesAreWeights(),
                settings.reports(),
                settings.classes(),
                settings.plans(),
                settings.limits(),
                settings.counter(),
                settings.rules());
    }

    private Station add(String id, int zone) {
        Station made = new Station(
                id,
                zone,
                zone,
                time,
                settings.rules(),
                day.cores,
                day.line,
                day.cancelStops,
                () -> records.add(new Records.Fall(FLEET, id, time.now())));
        stations.put(id, made);
        living.add(made);
        return made;
    }

    private Server entry(Station of, Readiness readiness) {
        return new Server(of.id, 1, of.zone, of.cell, 0, readiness, of.startedAt);
    }

    Station station(String id) {
        return stations.get(id);
    }

    long way(int from, int to) {
        return from == to ? day.oneWay : day.betweenZones;
    }

    /** The work of a request, the same at every try and for every choice. */
    long work(Ask ask) {
        return work[ask.requestClass].nanos(ask.work);
    }

    /** What the node's own work and its machine add to a try. */
    long nodeSpan(Ask ask) {
        return day.node.nanos(chance.one("node", ask.number * 16L + ask.tries));
    }

    double luck(Ask ask, int attempt, Station at) {
        return chance.one("luck " + at.id, ask.number * 64L + ask.tries * 16L + attempt);
    }

    boolean takesEffect(Ask ask, Station at, long came) {
        RequestClass spec = settings.classes().get(ask.requestClass);
        if (spec.repeat() != Repeat.KEYED) {
            return true;
        }
        Object group = switch (spec.group()) {
            case ALL -> FLEET;
            case ZONE -> "zone " + at.zone;
            case CELL -> "cell " + at.cell;
        };
        return keys.computeIfAbsent(group, g -> new Keys()).begins(ask.key(), came, spec.keyWindow());
    }

    /** What a server saw. */
    void attempt(Node by, Station at, String id, Ask ask, long came, boolean effect) {
        records.add(new Records.Attempt(FLEET, at.id, id, ask.key(), came, came, time.now(), effect));
        if (!drainsTold.isEmpty()) {
            drains.add(new Records.Attempt("n" + by.number, at.id, id, ask.key(), came, came, time.now(), effect));
        }
    }

    /** What a client saw. */
    void exchange(Ask ask, String id, long at, int status) {
        records.add(new Records.Exchange(
                FLEET,
                id,
                ask.key(),
                classNames.get(ask.requestClass),
                Long.toHexString(ask.customer),
                planNames.get(ask.plan),
                ask.units,
                at,
                ask.patience,
                status == 0 ? Records.NONE : status,
                time.now(),
                true,
                status == 0));
    }

    /** The whole list as discovery has it, for a node that asks. */
    List<Server> rollFor(Node node, Map<String, Server> into) {
        into.clear();
        for (Station each : living) {
            into.put(each.id, entry(each, drainsTold.containsKey(each.id) ? Readiness.DRAINING : Readiness.READY));
        }
        return List.copyOf(into.values());
    }

    /** A change goes to each node after a span of its own, and no faster than discovery can tell. */
    private void tell(Station of, Readiness readiness) {
        Server entry = entry(of, readiness);
        for (Node node : nodes) {
            SplittableRandom random = chance.stream("tell " + of.id + readiness + of.startedAt, node.number);
            long drawn = (long) ((day.tellMs[0] + random.nextDouble() * (day.tellMs[1] - day.tellMs[0])) * MS);
            nextTell = Math.max(nextTell, time.now()) + (long) (1e9 / day.tellsPerSecond);
            long after = Math.max(drawn, nextTell - time.now());
            long told = node.tell(entry, after);
            if (readiness == Readiness.DRAINING) {
                drains.add(new Records.Told("n" + node.number, of.id, told, Long.MAX_VALUE));
            }
        }
    }

    /** Plays it all; the figures by name. */
    Map<String, Object> play() {
        nodes.forEach(Node::start);
        clients.start();
        day.troubles.forEach(trouble -> time.at(trouble.at(), () -> begin(trouble)));
        time.run(clients.end());
        Map<String, Object> result = tally.result(counter.calls());
        double present = 0, sojourn = 0, busy = 0, arrived = 0;
        for (Station each : stations.values()) {
            double[] little = each.little();
            present += little[0];
            sojourn += little[1];
            busy += each.busy();
            arrived += each.arrived();
        }
        result.put("servers.present-s", present);
        result.put("servers.sojourn-s", sojourn);
        result.put("servers.busy-s", busy);
        result.put("servers.arrived", arrived);
        result.put("events", (double) time.done());
        result.put("tries", (double) clients.tries());
        List<Judge.Breach> breaches = new ArrayList<>(Judge.judge(records, rules()));
        breaches.addAll(Judge.judge(drains, rules()));
        result.put("breaches", (double) breaches.size());
        result.put(
                "breach",
                breaches.isEmpty()
                        ? ""
                        : breaches.get(0).rule() + ": " + breaches.get(0).what());
        return result;
    }

    private Judge.Rules rules() {
        Map<String, Judge.Kind> kinds = new HashMap<>();
        Map<String, Judge.Ceiling> ceilings = new HashMap<>();
        for (int i = 0; i < classNames.size(); i++) {
            RequestClass spec = settings.classes().get(i);
            kinds.put(
                    classNames.get(i),
                    new Judge.Kind(spec.repeat() == Repeat.SAFE, spec.repeat() == Repeat.KEYED, spec.keyWindow()));
        }
        for (int i = 0; i < planNames.size(); i++) {
            var plan = settings.plans().get(i);
            ceilings.put(
                    planNames.get(i), new Judge.Ceiling(plan.ceilingRate(), plan.ceilingBurst(), plan.ceilingSlack()));
        }
        return new Judge.Rules(kinds, ceilings, DRAIN_GRACE);
    }

    private <T> List<T> part(List<T> of, double part, Day.Trouble trouble) {
        List<T> shuffled = new ArrayList<>(of);
        SplittableRandom random = chance.stream("trouble " + trouble.kind(), trouble.at());
        for (int i = shuffled.size() - 1; i > 0; i--) {
            java.util.Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled.subList(0, (int) Math.round(part * of.size()));
    }

    private void begin(Day.Trouble t) {
        switch (t.kind()) {
            case NODES_DIE -> part(nodes, t.part(), t).forEach(node -> kill(node, t.span()));
            case SERVERS_FAIL_FAST ->
                part(living, t.part(), t).forEach(s -> during(t, () -> s.failing(t.strength()), () -> s.failing(0)));
            case SERVERS_SLOW ->
                part(living, t.part(), t).forEach(s -> during(t, () -> s.slow(t.strength()), () -> s.slow(1)));
            case SERVERS_PAUSE -> part(living, t.part(), t).forEach(s -> s.pause(time.now() + t.span()));
            case SERVERS_REPLACED -> replace(part(living, t.part(), t), t.span());
            case ZONE_LOST -> loseZone(t);
            case COUNTER_SILENT -> during(t, () -> counter.silent(true), () -> counter.silent(false));
            case COUNTER_BLANK -> counter.blank();
            // The clients know of these two from the start.
            case OVERLOAD, HEAVY_CUSTOMER -> {}
        }
    }

    private void during(Day.Trouble t, Runnable begin, Runnable end) {
        begin.run();
        time.after(t.span(), end);
    }

    private void kill(Node node, long away) {
        if (node.isAlive()) {
            node.kill();
            clients.died(node);
            time.after(away, () -> {
                if (!node.isAlive()) {
                    node.start();
                    clients.back(node);
                }
            });
        }
    }

    /** One after another within the span: the old one drains and ends, a new one starts cold. */
    private void replace(List<Station> old, long span) {
        for (int i = 0; i < old.size(); i++) {
            Station one = old.get(i);
            time.after(span * i / Math.max(1, old.size()), () -> {
                Station made = add("r-" + replaced++, one.zone);
                made.start();
                tell(made, Readiness.READY);
                drainsTold.put(one.id, time.now());
                tell(one, Readiness.DRAINING);
                time.after(day.drainSpan, () -> {
                    one.stop();
                    living.remove(one);
                    tell(one, Readiness.GONE);
                });
            });
        }
    }

    /** A building vanishes: its servers say nothing and come back cold, its nodes are dead meanwhile. */
    private void loseZone(Day.Trouble t) {
        List<Station> lost = living.stream().filter(s -> s.zone == t.zone()).toList();
        nodes.stream().filter(node -> node.zone == t.zone()).forEach(node -> kill(node, t.span()));
        for (Station each : lost) {
            each.silent(true);
            each.stop();
            tell(each, Readiness.GONE);
        }
        living.removeAll(lost);
        if (t.counter()) {
            counter.silent(true);
            counter.blank();
        }
        time.after(t.span(), () -> {
            // What was on its way out does not come back.
            for (Station each :
                    lost.stream().filter(s -> !drainsTold.containsKey(s.id)).toList()) {
                each.start();
                living.add(each);
                tell(each, Readiness.READY);
            }
            if (t.counter()) {
                counter.silent(false);
            }
        });
    }
}
