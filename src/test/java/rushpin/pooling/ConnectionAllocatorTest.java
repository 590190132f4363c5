package rushpin.pooling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rushpin.accord.Allotment;
import rushpin.accord.Applied;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Decision;
import rushpin.accord.Entry;
import rushpin.accord.Machine;
import rushpin.accord.Outcome;
import rushpin.accord.Report;
import rushpin.accord.State;
import rushpin.accord.Terms;
import rushpin.accord.Who;
import rushpin.peer.Codec;

/**
 * Runs the allocator, the fleet's state machine and the grant states of all processes together, in steps of a tenth of
 * a second. Each request takes half a second. After each step the open connections must not exceed the group's limit.
 */
class ConnectionAllocatorTest {
    private static final String GROUP = "db";
    /** A second in steps; all durations of this test are counted in steps. */
    private static final int SECOND = 10;
    /** How long a request takes. */
    private static final int REQUEST = 5;
    /** How long the group's side may still count a connection whose end it has not seen. */
    private static final int HALF_OPEN = 20;
    /** The fleet's time of effect. */
    private static final int EFFECT = 20;

    private static final Terms TERMS = new Terms(60, 20_000, EFFECT, 400, 9);

    /** One process and its pools. */
    private static final class Node {
        final String name;
        /** Speed of the process's clock; 1 is exact. */
        final double rate;
        /** Concurrent requests that are wanted, by tenant. */
        final int[] wants;
        /** Requests in flight by tenant and remaining steps. */
        final int[][] inFlight;
        /** Closed connections that the group's side may still count, each with the step until which it does. */
        final List<int[]> closed = new ArrayList<>();

        final List<Allotment> allotments = new ArrayList<>();
        /** Maximum use and demand since the last report, by tenant. */
        final int[] peak;

        final int[] wanted;
        GrantState grantState = GrantState.none(GROUP);
        int open;
        int handshakes;
        /** When the process was paused; -1 while it runs. */
        int pausedAt = -1;

        int idleUntil = Integer.MAX_VALUE;
        /** Whether the process is cut off from the fleet. */
        boolean isCut;

        Node(String name, double rate, int... wants) {
            this.name = name;
            this.rate = rate;
            this.wants = wants;
            inFlight = new int[wants.length][REQUEST + 1];
            peak = new int[wants.length];
            wanted = new int[wants.length];
        }

        int used(int tenant) {
            return Arrays.stream(inFlight[tenant]).sum();
        }

        int used() {
            return IntStream.range(0, inFlight.length).map(this::used).sum();
        }

        int open() {
            return open + closed.size();
        }

        /** Returns the step at which the group's side has closed all connections of a paused process. */
        int idleUntil() {
            return pausedAt < 0 ? Integer.MAX_VALUE : pausedAt + REQUEST + HALF_OPEN;
        }

        /** Ends a pause: requests have been answered, and idle connections may have been closed. */
        void resume(int now) {
            if (pausedAt >= 0 && now - pausedAt >= REQUEST) {
                Arrays.stream(inFlight).forEach(each -> Arrays.fill(each, 0));
            }
            idleUntil = idleUntil();
            pausedAt = -1;
        }

        void work(int now, List<Rules.Tenant> tenants) {
            for (int[] each : inFlight) {
                System.arraycopy(each, 1, each, 0, REQUEST);
                each[0] = 0;
                each[REQUEST] = 0;
            }
            ConnectionGrant grant = grantState.grant();
            int maxOpen = grant.at((long) (now * rate));
            while (open() > maxOpen && open > used()) {
                open--;
                if (isCut) {
                    closed.add(new int[] {Math.min(now + HALF_OPEN, idleUntil)});
                }
            }
            idleUntil = Integer.MAX_VALUE;
            for (boolean hasStarted = true; hasStarted; ) {
                hasStarted = false;
                for (int t = 0; t < wants.length; t++) {
                    int quota = grant.tenants().getOrDefault(tenants.get(t).name(), 0);
                    if (used(t) < Math.min(quota, wants[t])
                            && used() < maxOpen
                            && (open > used() || open() < maxOpen)) {
                        handshakes += open > used() ? 0 : 1;
                        open = Math.max(open, used() + 1);
                        inFlight[t][REQUEST]++;
                        hasStarted = true;
                    }
                }
            }
            for (int t = 0; t < wants.length; t++) {
                peak[t] = Math.max(peak[t], used(t));
                wanted[t] = Math.max(wanted[t], Math.max(wants[t], used(t)));
            }
        }
    }

    private final Machine machine = new Machine(State.EMPTY);
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<Long, List<Report.Need>> reports = new TreeMap<>();
    private final List<int[]> halfOpen = new ArrayList<>();
    private Rules rules;
    private int now;
    private int allocations;
    /** Maximum number of open connections at present. */
    private int allowed;

    private long allocator;
    private long fence;
    private long incarnations;
    /** Names the history in failure messages. */
    private String context = "";

    private void start(int most, int reserve, int own, Rules.Tenant... tenants) {
        rules = rules(most, reserve, own, tenants);
        allowed = most;
        apply(new Command.Found(1, TERMS));
        allocator = join("divider");
        fence = ((Outcome.Granted) apply(new Command.Acquire(allocator, Command.DIVIDER))).fence();
    }

    private static Rules rules(int most, int reserve, int own, Rules.Tenant... tenants) {
        return new Rules(new Budget.Figures(most, reserve, own, HALF_OPEN, 300), List.of(tenants), 2, SECOND);
    }

    private Outcome apply(Command command) {
        Applied applied = machine.apply(new Entry(now, command));
        for (Decision decision : applied.decisions()) {
            if (decision instanceof Decision.Allotted each) {
                nodes.values().stream()
                        .filter(node -> !node.isCut
                                && node.grantState.session() == each.word().session())
                        .forEach(node -> node.allotments.add(each.word()));
            }
        }
        Optional<Budget> budget = machine.budget(GROUP);
        // After the limit is lowered, connections granted before may stay until they are closed.
        allowed = budget.isEmpty()
                ? rules.figures().most()
                : Math.max(budget.get().figures().most(), Math.min(allowed, (int)
                        budget.get().granted()));
        return applied.outcome();
    }

    private long join(String name) {
        Who who = new Who(name, ++incarnations, "z", "", Machine.LEVEL);
        return ((Outcome.Joined) apply(new Command.Join(who))).session();
    }

    private Node add(String name, double rate, int... wants) {
        Node node = new Node(name, rate, wants);
        nodes.put(name, node);
        return node;
    }

    /** Kills a process; its connections stay half-open for the maximum time. */
    private void kill(String name) {
        Node node = nodes.remove(name);
        for (int i = 0; i < node.open(); i++) {
            halfOpen.add(new int[] {Math.min(now + HALF_OPEN, node.idleUntil())});
        }
    }

    private void step() {
        now++;
        halfOpen.removeIf(until -> until[0] <= now);
        apply(now % SECOND == 0 ? new Command.Renew(allocator) : new Command.Tick());
        for (Node node : nodes.values()) {
            node.closed.removeIf(until -> until[0] <= now);
            if (node.pausedAt >= 0) {
                // The group's side closes idle connections.
                node.open = now >= node.idleUntil() ? 0 : node.open;
                continue;
            }
            List<Allotment> allotments = List.copyOf(node.allotments);
            node.allotments.clear();
            allotments.forEach(allotment -> node.grantState = node.grantState.notified(allotment));
            node.work(now, rules.tenants());
            exchangeMessages(node);
        }
        if (now % SECOND == 0) {
            allocate();
        }
        int open =
                halfOpen.size() + nodes.values().stream().mapToInt(Node::open).sum();
        assertTrue(open <= allowed, () -> context + " at " + now + ": " + open + " open, " + allowed + " allowed");
    }

    private void exchangeMessages(Node node) {
        if (node.isCut) {
            return;
        }
        long own = (long) (now * node.rate);
        if (node.grantState.session() == 0
                || now % (2 * SECOND) == 0
                        && apply(new Command.Renew(node.grantState.session())) instanceof Outcome.Refused) {
            node.grantState = node.grantState.renewed(join(node.name), own, TERMS);
        } else if (now % (2 * SECOND) == 0) {
            node.grantState = node.grantState.renewed(node.grantState.session(), own, TERMS);
        }
        node.grantState.due(node.open(), own).ifPresent(cede -> {
            node.grantState = node.grantState.sent(cede, own);
            if (apply(cede) instanceof Outcome.Allotted answer) {
                node.allotments.add(answer.word());
            }
        });
        if (now % SECOND == 0) {
            List<Report.Need> needs = new ArrayList<>();
            for (int t = 0; t < node.wants.length; t++) {
                needs.add(new Report.Need(GROUP, rules.tenants().get(t).name(), node.wanted[t], node.peak[t]));
                node.peak[t] = 0;
                node.wanted[t] = 0;
            }
            reports.put(node.grantState.session(), needs);
        }
    }

    private void allocate() {
        Optional<Budget> budget = machine.budget(GROUP);
        List<Long> live = machine.sessions().stream()
                .map(State.Session::number)
                .filter(each -> each != allocator)
                .toList();
        reports.keySet().retainAll(live);
        ConnectionAllocator.next(budget, ConnectionAllocator.Demand.of(live, budget, reports), rules, now)
                .ifPresent(draft -> {
                    Outcome outcome = apply(new Command.Divide(
                            allocator, fence, draft.after(), GROUP, rules.figures(), draft.tenants(), draft.shares()));
                    assertTrue(outcome instanceof Outcome.Divided, () -> context + ": " + outcome + " of " + draft);
                    allocations++;
                });
    }

    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            step();
        }
    }

    private int used(int tenant) {
        return nodes.values().stream().mapToInt(node -> node.used(tenant)).sum();
    }

    private Map<Long, Integer> shares() {
        Map<Long, Integer> shares = new TreeMap<>();
        machine.budget(GROUP).orElseThrow().shares().forEach(share -> shares.put(share.session(), share.connections()));
        return shares;
    }

    private static Rules.Tenant tenant(String name, int floor, int weight, int cap) {
        return new Rules.Tenant(name, floor, weight, cap);
    }

    /**
     * Two tenants overload the group, one through ten processes and one through a single process: each gets half. A
     * third tenant that asks again gets its floor back in time.
     */
    @Test
    void anOverloadingTenantGetsItsShareThroughAnyNumberOfProcessesAndAFloorIsRestored() {
        start(62, 2, 1, tenant("many", 0, 1, 60), tenant("one", 0, 1, 60), tenant("quiet", 6, 1, 60));
        for (int i = 0; i < 10; i++) {
            add("n" + i, 1, 20, i == 0 ? 100 : 0, 0);
        }
        steps(20 * SECOND);
        assertTrue(Math.abs(used(0) - used(1)) <= 2 && used(0) + used(1) >= 58, used(0) + " and " + used(1));
        // A report and an allocation, a request, and the messages in both directions.
        int limit = SECOND + REQUEST + 6;
        nodes.get("n3").wants[2] = 3;
        nodes.get("n7").wants[2] = 3;
        steps(limit);
        assertEquals(6, used(2), "the tenant's floor, " + limit + " steps after its first request");
        nodes.get("n3").wants[2] = 0;
        nodes.get("n7").wants[2] = 0;
        steps(20 * SECOND);
        assertTrue(used(0) + used(1) >= 58, "unused connections are lent again");
    }

    /** Connections of a dead process are used again in time; a process that joins takes no more than its share. */
    @Test
    void connectionsOfADeadProcessAreReusedAndAJoinMovesOnlyItsShare() {
        start(60, 0, 2, tenant("a", 0, 1, 60));
        for (int i = 0; i < 6; i++) {
            add("n" + i, 1, 20);
        }
        steps(20 * SECOND);
        assertEquals(60, used(0));
        Map<Long, Integer> before = shares();
        long dead = nodes.get("n2").grantState.session();
        kill("n2");
        // Lease, effect and half-open time by the terms; a report, an allocation, an allotment. The own part is freed
        // last.
        steps((int) TERMS.waiting(60 + EFFECT + HALF_OPEN) + 3 * SECOND);
        assertEquals(58, used(0), "all but the own part of the dead process");
        shares().forEach((session, share) ->
                assertTrue(share >= before.get(session), "no other process loses connections"));
        assertTrue(!shares().containsKey(dead));
        steps((int) TERMS.waiting(300 + EFFECT + HALF_OPEN));
        assertEquals(60, used(0));
        Map<Long, Integer> five = shares();
        Node joined = add("n9", 1, 20);
        steps(10 * SECOND);
        int moved = five.entrySet().stream()
                .mapToInt(each -> Math.max(0, each.getValue() - shares().get(each.getKey())))
                .sum();
        assertEquals(shares().get(joined.grantState.session()), moved);
        assertTrue(moved >= 9, "the new process has its share: " + moved);
    }

    /** Varying demand below the limit moves no connections; each open connection costs one handshake. */
    @Test
    void varyingDemandWithSpareCapacityMovesNothing() {
        start(100, 0, 2, tenant("a", 10, 1, 100), tenant("b", 10, 2, 100));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 8; i++) {
            add("n" + i, 1, 3, 3);
        }
        steps(20 * SECOND);
        Map<Long, Integer> before = shares();
        int handshakes =
                nodes.values().stream().mapToInt(node -> node.handshakes).sum();
        for (int i = 0; i < 60; i++) {
            nodes.values().forEach(node -> Arrays.setAll(node.wants, t -> 2 + random.nextInt(3)));
            steps(SECOND);
        }
        assertEquals(before, shares());
        int more = nodes.values().stream().mapToInt(node -> node.handshakes).sum() - handshakes;
        assertTrue(more <= 16, "at most two more for each process, when its demand reaches a new maximum: " + more);
    }

    /** The largest allocation, with the greatest numbers and the longest names, must fit into a command. */
    @Test
    void theLargestAllocationFitsACommand() {
        List<Rules.Tenant> tenants = new ArrayList<>();
        for (int t = 0; t < 36; t++) {
            tenants.add(tenant(String.format("%064d", t), 100, 1 + t, 1 << 20));
        }
        Map<Long, List<Report.Need>> reports = new TreeMap<>();
        SplittableRandom random = new SplittableRandom(1);
        for (long session = Long.MAX_VALUE - 1_200; session < Long.MAX_VALUE; session++) {
            reports.put(
                    session,
                    tenants.stream()
                            .map(tenant -> new Report.Need(GROUP, tenant.name(), random.nextInt(500), 0))
                            .toList());
        }
        Rules largest = new Rules(new Budget.Figures(1 << 20, 9, 3, 1, 1), tenants, 9, 9);
        long start = System.nanoTime();
        ConnectionAllocator.Draft draft = ConnectionAllocator.next(
                        Optional.empty(), new ConnectionAllocator.Demand(reports), largest, 0)
                .orElseThrow();
        System.out.printf(
                "allocated among 1,000 processes and 36 tenants in %.0f ms%n", (System.nanoTime() - start) / 1e6);
        assertEquals(1_000, draft.shares().size());
        assertTrue(draft.shares().stream().mapToLong(Budget.Share::connections).sum() <= 1 << 20);
        byte[] bytes = new Codec()
                .bytes(new Command.Divide(
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        GROUP,
                        largest.figures(),
                        draft.tenants(),
                        draft.shares()));
        assertTrue(bytes.length <= Codec.MOST_COMMAND);
    }

    /**
     * Random kills, starts, pauses, lost connections to the fleet and lowered limits; {@link #step} checks the limit.
     */
    @Test
    void openConnectionsNeverExceedTheLimit() {
        for (int seed = 0; seed < 30; seed++) {
            ConnectionAllocatorTest run = new ConnectionAllocatorTest();
            run.context = "seed " + seed;
            run.randomHistory(new SplittableRandom(seed));
        }
    }

    private void randomHistory(SplittableRandom random) {
        Rules.Tenant[] tenants = {tenant("a", 3, 1, 40), tenant("b", 0, 3, 30), tenant("c", 2, 1, 50)};
        start(40, 2, 1, tenants);
        for (int i = 0; i < 6; i++) {
            add("n" + i, 1 + (random.nextInt(3) - 1) * 0.02, 4, 4, 4);
        }
        for (int i = 0; i < 80; i++) {
            Node node = nodes.get("n" + random.nextInt(6));
            Arrays.setAll(node.wants, t -> random.nextInt(12));
            switch (random.nextInt(7)) {
                case 0 -> {
                    kill(node.name);
                    add(node.name, node.rate, 4, 4, 4);
                }
                case 1 -> node.pausedAt = node.pausedAt < 0 ? now : node.pausedAt;
                case 2 -> node.isCut = true;
                case 3, 4 -> {
                    node.resume(now);
                    node.isCut = false;
                }
                case 5 -> rules = rules(20 + random.nextInt(30), 2, 1, tenants);
                default -> {}
            }
            steps(1 + random.nextInt(3 * SECOND));
        }
    }
}
