package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Who;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Rules;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/**
 * Counts what one pool sees of zones, for the fleet; on the pool's loop. Each second it is told as one message, and counted
 * anew. An attempt costs two look-ups and a few additions, and makes no object.
 *
 * <p>A server that turns away unseen has not failed, and answers nothing in time: it counts as slow, so that a zone which is
 * pushed over is seen as one that can bear less, not as one that is dead. What was sent and is neither ok nor failed was
 * turned away. What this node did not send, or withdrew, says nothing of a server.
 *
 * <p>Bounds: classes of the settings times zones; one entry for each listed server.
 */
final class Witness {
    /**
     * What was seen over a span.
     *
     * @param span nanoseconds
     * @param late how much of it the loop stood still or was late, nanoseconds
     */
    record Account(
            Witness by,
            long span,
            long late,
            List<Report.Seen> seen,
            List<Report.Stock> stocks,
            List<Report.Entered> entered) {}

    private static final long MS = 1_000_000L, BEAT = 100 * MS;
    /** A loop on a busy machine is late by so much without being in trouble. */
    private static final long SLACK = 50 * MS;
    /** Beats between two accounts. */
    private static final int BEATS = 10;

    private static final int SENT = 0, OK = 1, FAILED = 2, SLOW = 3, UNREACHABLE = 4, ROW = 5;

    private static final class OfClass {
        final long[] rows;
        long aim, entered;

        OfClass(int zones) {
            rows = new long[zones * ROW];
        }
    }

    private final String pool;
    private final List<String> zones;
    private final Rules rules;
    private final boolean sizesAreWeights;
    private final LongSupplier clock;
    private final Consumer<Account> to;
    private final Map<String, OfClass> classes = new HashMap<>();
    private final Map<String, Server> listed = new HashMap<>();
    /** Whether the module holds a server out. */
    private Predicate<String> heldOut = server -> false;

    private Future<?> beats;
    private long began, beatAt, late;
    private int beat;
    private boolean retired;

    /** Tells nothing yet; {@code clock} is that by which servers' starts are told. */
    Witness(String pool, Names names, Settings settings, LongSupplier clock, Consumer<Account> to) {
        this.pool = pool;
        zones = List.copyOf(names.zones());
        rules = settings.rules();
        sizesAreWeights = settings.sizesAreWeights();
        this.clock = clock;
        this.to = to;
        classes(names.classes(), settings.classes());
    }

    /** Classes as they are now; what was counted of those that are gone goes with them. */
    void classes(List<String> names, List<RequestClass> specs) {
        classes.keySet().retainAll(names);
        for (int i = 0; i < names.size(); i++) {
            classes.computeIfAbsent(names.get(i), name -> new OfClass(zones.size())).aim =
                    specs.get(i).aim();
        }
    }

    /** Tells each second from now on; {@code heldOut} says whether the module holds a server out. */
    void begin(EventLoop loop, Predicate<String> heldOut) {
        holds(heldOut);
        began = clock.getAsLong();
        beatAt = began;
        beats = loop.scheduleWithFixedDelay(() -> beat(clock.getAsLong()), BEAT, BEAT, TimeUnit.NANOSECONDS);
    }

    void holds(Predicate<String> out) {
        heldOut = out;
    }

    /** Its pool takes no more; what it had of servers is another's. */
    void retire() {
        retired = true;
    }

    void end() {
        if (beats != null) {
            beats.cancel(false);
        }
    }

    /** A client has asked, whatever comes of it. */
    void entered(String className) {
        OfClass of = classes.get(className);
        if (of != null) {
            of.entered++;
        }
    }

    /** An attempt has ended. */
    void ended(String className, String server, Outcome outcome, long took) {
        OfClass of = classes.get(className);
        Server at = listed.get(server);
        if (of == null
                || at == null
                || outcome == Outcome.NOT_SENT
                || outcome == Outcome.CANCELLED
                || at.zone() < 0
                || at.zone() >= zones.size()) {
            return;
        }
        int row = at.zone() * ROW;
        of.rows[row + SENT]++;
        if (outcome == Outcome.OK) {
            of.rows[row + OK]++;
        } else if (outcome != Outcome.FULL) {
            of.rows[row + FAILED]++;
        }
        if (outcome == Outcome.CONNECT_FAILED) {
            of.rows[row + UNREACHABLE]++;
        } else if (outcome == Outcome.FULL || took > of.aim) {
            of.rows[row + SLOW]++;
        }
    }

    /** The list, or changes to it, as the module has them. */
    void listed(List<Server> entries, boolean whole) {
        if (whole) {
            listed.clear();
        }
        for (Server server : entries) {
            if (server.readiness() == Readiness.GONE) {
                listed.remove(server.id());
            } else {
                listed.put(server.id(), server);
            }
        }
    }

    /** The loop runs; {@value #BEATS} times between two accounts. */
    void beat(long now) {
        late += now - beatAt - BEAT > SLACK ? now - beatAt - BEAT : 0;
        beatAt = now;
        if (++beat >= BEATS) {
            beat = 0;
            to.accept(account(now));
        }
    }

    /** What was seen since the last account. */
    private Account account(long now) {
        List<Report.Seen> seen = new ArrayList<>();
        List<Report.Entered> entered = new ArrayList<>();
        classes.forEach((name, of) -> {
            String all = Report.of(pool, name);
            for (int zone = 0; zone < zones.size(); zone++) {
                int row = zone * ROW;
                if (of.rows[row + SENT] > 0) {
                    seen.add(new Report.Seen(
                            zone(zone),
                            all,
                            of.rows[row + SENT],
                            of.rows[row + OK],
                            of.rows[row + FAILED],
                            of.rows[row + SLOW],
                            of.rows[row + UNREACHABLE]));
                }
            }
            if (of.entered > 0) {
                entered.add(new Report.Entered(all, of.entered));
            }
            Arrays.fill(of.rows, 0);
            of.entered = 0;
        });
        Account told = new Account(this, now - began, Math.min(late, now - began), seen, stocks(now), entered);
        began = now;
        late = 0;
        return told;
    }

    /** A zone's name in the letters that names have. */
    private String zone(int index) {
        return Report.of("", zones.get(index));
    }

    private List<Report.Stock> stocks(long now) {
        if (retired) {
            return List.of();
        }
        double usual = usualSize();
        Map<String, double[]> of = new TreeMap<>();
        for (Server server : listed.values()) {
            if (server.readiness() == Readiness.READY && server.zone() >= 0 && server.zone() < zones.size()) {
                double[] sums = of.computeIfAbsent(zone(server.zone()), name -> new double[3]);
                sums[0]++;
                sums[2] += heldOut.test(server.id()) ? 1 : 0;
                sums[1] += warmth(server, now) * (usual > 0 && server.size() > 0 ? server.size() / usual : 1);
            }
        }
        List<Report.Stock> stocks = new ArrayList<>();
        of.forEach((zone, sums) -> stocks.add(new Report.Stock(
                zone, (int) sums[0], Math.min(Report.MOST, Math.round(sums[1] * Plan.WHOLE)), (int) sums[2])));
        stocks.removeIf(stock -> !Who.isName(stock.zone()));
        return stocks;
    }

    /** As the module reckons it: from a part of its capacity to all of it, evenly. */
    private double warmth(Server server, long now) {
        if (server.startedAt() == 0) {
            return 1;
        }
        double age = Math.max(0, now - server.startedAt()) / (double) Math.max(1, rules.coldDuration());
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.min(1, age);
    }

    /** The median of the list's; 0 where sizes mean nothing. */
    private double usualSize() {
        double[] sizes = !sizesAreWeights
                ? new double[0]
                : listed.values().stream()
                        .mapToDouble(Server::size)
                        .filter(size -> size > 0)
                        .sorted()
                        .toArray();
        return sizes.length == 0 ? 0 : sizes[sizes.length / 2];
    }
}
