package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Actions;
import rushpin.gateway.Ports.Counter;
import rushpin.gateway.Ports.Group;
import rushpin.gateway.Ports.Limits;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Rules;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;

/** A fake host that records the actions of one gateway and reports events to it as the test says. */
final class Host implements Actions {
    static final long MS = 1_000_000L;
    static final int SAFE = 0;
    static final int KEYED_CELL = 1;
    static final int UNSAFE = 2;
    static final int KEYED_ALL = 3;
    static final Plan FREE = new Plan(0, 0, 0, 1, 0, 0, 0, 0, 0);

    record Sent(String id, String server, long patience) {}

    record Counted(long name, double amount) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    final List<Counted> counted = new ArrayList<>();
    /** Units by customer that were taken and that no call has reported. */
    final Map<Long, Double> unreported = new HashMap<>();

    final List<String> logs = new ArrayList<>();
    /** The units of each request, by its id. */
    final Map<String, Double> units = new HashMap<>();
    /** Units under ceilings that were handed to another process. */
    final List<Double> ceilingReleased = new ArrayList<>();

    final Gateway gateway;
    long now;
    private final int setSize;
    private final boolean probes;
    private int nextId;

    Host(Plan plan, int siblings, int me) {
        this(plan, siblings, me, true);
    }

    Host(Plan plan, int siblings, int me, boolean counter) {
        this(plan, siblings, me, counter, 7, false);
    }

    Host(Plan plan, int siblings, int me, boolean counter, long seed, boolean probes) {
        this(plan, siblings, me, counter, seed, probes, 1_000 * MS);
    }

    Host(Plan plan, int siblings, int me, boolean counter, long seed, boolean probes, long startedAt) {
        now = startedAt;
        setSize = siblings;
        this.probes = probes;
        gateway = new Gateway(settings(plan, siblings, me, counter, probes), seed, now, this);
    }

    static Settings settings(Plan plan, int siblings, int me, boolean counter, boolean probes) {
        return new Settings(
                me,
                siblings,
                0,
                MS,
                true,
                probes ? List.of("waiting") : List.of(),
                List.of(
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.SAFE, Group.ALL, 0, 0, 1),
                        new RequestClass(1000 * MS, 2000 * MS, Repeat.KEYED, Group.CELL, 700 * MS, 0.2, 4),
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.UNSAFE, Group.ALL, 0, 0.2, 3),
                        new RequestClass(1000 * MS, 3000 * MS, Repeat.KEYED, Group.ALL, 700 * MS, 0, 4)),
                List.of(plan),
                new Limits(4, 1000, probes, false, 0, false),
                new Counter(counter, 50 * MS, true, 4),
                new Rules(10 * MS, 0.25, 10_000 * MS, 3, 2_000 * MS));
    }

    /** Adds the warm servers a, b, c ..., alternately of two zones with one cell each. */
    Host servers(int count) {
        for (int i = 0; i < count; i++) {
            server(String.valueOf((char) ('a' + i)), i % 2, Readiness.READY, 0);
        }
        return this;
    }

    void server(String id, int cell, Readiness readiness, long startedAt) {
        gateway.list(now, ListKind.DELTA, List.of(new Server(id, 1, cell, cell, 0, readiness, startedAt)));
    }

    /** Sends a request of customer 1 with a deadline in 3 s; returns its id. */
    String request(int requestClass, double units) {
        return request(requestClass, 0, 1, units, now + 3000 * MS);
    }

    String request(int requestClass, int plan, long customer, double units, long deadline) {
        String id = "r" + nextId++;
        this.units.put(id, units);
        gateway.request(now, new Request(id, requestClass, plan, customer, deadline, units, setSize, 0, false));
        return id;
    }

    /** Ends the newest attempt of a request. */
    void end(String id, Outcome outcome) {
        end(id, outcome, outcome == Outcome.OK);
    }

    void end(String id, Outcome outcome, boolean complete) {
        Sent last = attempts(id).get(attempts(id).size() - 1);
        gateway.attemptEnded(
                now,
                new Result(
                        id,
                        outcome,
                        20 * MS,
                        last.server(),
                        complete,
                        attempts(id).size() - 1,
                        0,
                        List.of()));
    }

    private final Map<String, List<Long>> startLimits = new HashMap<>();

    List<Sent> attempts(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).toList();
    }

    /** Lets time pass, in nanoseconds, with a timer event every 10 ms. */
    void pass(long duration) {
        for (long until = now + duration; now < until; ) {
            now += Math.min(10 * MS, until - now);
            gateway.timer(now, 0);
        }
    }

    @Override
    public void send(String id, String server, long patience) {
        send(id, server, patience, Long.MAX_VALUE);
    }

    @Override
    public void send(String id, String server, long patience, long startWithin) {
        sent.add(new Sent(id, server, patience));
        startLimits.computeIfAbsent(id, key -> new ArrayList<>()).add(startWithin);
    }

    /** Returns for each attempt of a request for how long after the decision it may begin, in nanoseconds. */
    List<Long> startWithin(String id) {
        return startLimits.get(id);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        refused.add(id);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
    }

    @Override
    public void probe(String server) {
        assertTrue(probes, "probes are not allowed here");
        probed.add(server);
    }

    @Override
    public void count(long customer, long name, double amount, long lifetime) {
        counted.add(new Counted(name, amount));
        unreported.merge(customer, -amount, Double::sum);
    }

    @Override
    public void useChanged(long customer, int plan, int setSize, double units) {
        unreported.merge(customer, units, Double::sum);
    }

    @Override
    public void ceilingReleased(long customer, int plan, int setSize, double units) {
        ceilingReleased.add(units);
    }

    @Override
    public void timer(long token, long delay) {}

    @Override
    public void watchList() {}

    @Override
    public void log(String text) {
        logs.add(text);
    }
}
