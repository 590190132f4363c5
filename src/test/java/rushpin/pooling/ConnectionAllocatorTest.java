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

/** ConnectionAllocator, machine and allowances together, in steps of a tenth of a second. Each request takes half a second. */
class ConnectionAllocatorTest {
    private static final String GROUP = "db";
    private static final int SECOND = 10, REQUEST = 5, HALF_OPEN = 20, EFFECT = 20;
    private static final Terms TERMS = new Terms(60, 20_000, EFFECT, 400, 9);

    /** One process and its pools. */
    private static final class Node {
        final String name;
        final double rate;
        final int[] wants;
        /** Requests by tenant and by how long they still take; connections that are closed, by when the group's side knows. */
        final int[][] out;

        final List<int[]> closed = new ArrayList<>();
        final List<Allotment> words = new ArrayList<>();
        final int[] peak, wanted;
        GrantState allowance = GrantState.none(GROUP);
        int open, handshakes, pausedAt = -1, idleUntil = Integer.MAX_VALUE;
        boolean isCut;

        Node(String name, double rate, int... wants) {
            this.name = name;
            this.rate = rate;
            this.wants = wants;
            out = new int[wants.length][REQUEST + 1];
            peak = new int[wants.length];
            wanted = new int[wants.length];
        }

        int used(int tenant) {
            return Arrays.stream(out[tenant]).sum();
        }

        int used() {
            return IntStream.range(0, out.length).map(this::used).sum();
        }

        int open() {
            return open + closed.size();
        }

        /** When the group's side has closed what a paused process had open. */
        int idleUntil() {
            return pausedAt < 0 ? Integer.MAX_VALUE : pausedAt + REQUEST + HALF_OPEN;
        }

        /** What was out has been answered; what is idle may have been closed. */
        void wake(int now) {
            if (pausedAt >= 0 && now - pausedAt >= REQUEST) {
                Arrays.stream(out).forEach(each -> Arrays.fill(each, 0));
            }
            idleUntil = idleUntil();
            pausedAt = -1;
        }

        void work(int now, List<Rules.Tenant> tenants) {
            for (int[] each : out) {
                System.arraycopy(each, 1, each, 0, REQUEST);
                each[0] = 0;
                each[REQUEST] = 0;
            }
            ConnectionGrant permit = allowance.grant();
            int may = permit.at((long) (now * rate));
            while (open() > may && open > used()) {
                open--;
                if (isCut) {
                    closed.add(new int[] {Math.min(now + HALF_OPEN, idleUntil)});
                }
            }
            idleUntil = Integer.MAX_VALUE;
            for (boolean isGoing = true; isGoing; ) {
                isGoing = false;
                for (int t = 0; t < wants.length; t++) {
                    int quota = permit.tenants().getOrDefault(tenants.get(t).name(), 0);
                    if (used(t) < Math.min(quota, wants[t]) && used() < may && (open > used() || open() < may)) {
                        handshakes += open > used() ? 0 : 1;
                        open = Math.max(open, used() + 1);
                        out[t][REQUEST]++;
                        isGoing = true;
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
    private final Map<Long, List<Report.Need>> told = new TreeMap<>();
    private final List<int[]> halfOpen = new ArrayList<>();
    private Rules rules;
    private int now, divisions, allowed;
    private long divider, fence, incarnations;
    private String what = "";

    private void start(int most, int reserve, int own, Rules.Tenant... tenants) {
        rules = rules(most, reserve, own, tenants);
        allowed = most;
        apply(new Command.Found(1, TERMS));
        divider = join("divider");
        fence = ((Outcome.Granted) apply(new Command.Acquire(divider, Command.DIVIDER))).fence();
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
                                && node.allowance.session() == each.word().session())
                        .forEach(node -> node.words.add(each.word()));
            }
        }
        Optional<Budget> budget = machine.budget(GROUP);
        // Over a number that was lowered by what was granted before, until that is closed.
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

    /** A process dies; what it had open stays half-open for as long as it may. */
    private void kill(String name) {
        Node node = nodes.remove(name);
        for (int i = 0; i < node.open(); i++) {
            halfOpen.add(new int[] {Math.min(now + HALF_OPEN, node.idleUntil())});
        }
    }

    private void step() {
        now++;
        halfOpen.removeIf(until -> until[0] <= now);
        apply(now % SECOND == 0 ? new Command.Renew(divider) : new Command.Tick());
        for (Node node : nodes.values()) {
            node.closed.removeIf(until -> until[0] <= now);
            if (node.pausedAt >= 0) {
                // The group's side closes what is idle.
                node.open = now >= node.idleUntil() ? 0 : node.open;
                continue;
            }
            List<Allotment> words = List.copyOf(node.words);
            node.words.clear();
            words.forEach(word -> node.allowance = node.allowance.notified(word));
            node.work(now, rules.tenants());
            talk(node);
        }
        if (now % SECOND == 0) {
            divide();
        }
        int open =
                halfOpen.size() + nodes.values().stream().mapToInt(Node::open).sum();
        assertTrue(open <= allowed, () -> what + " at " + now + ": " + open + " open, " + allowed + " may be");
    }

    private void talk(Node node) {
        if (node.isCut) {
            return;
        }
        long own = (long) (now * node.rate);
        if (node.allowance.session() == 0
                || now % (2 * SECOND) == 0
                        && apply(new Command.Renew(node.allowance.session())) instanceof Outcome.Refused) {
            node.allowance = node.allowance.renewed(join(node.name), own, TERMS);
        } else if (now % (2 * SECOND) == 0) {
            node.allowance = node.allowance.renewed(node.allowance.session(), own, TERMS);
        }
        node.allowance.due(node.open(), own).ifPresent(cede -> {
            node.allowance = node.allowance.sent(cede, own);
            if (apply(cede) instanceof Outcome.Allotted answer) {
                node.words.add(answer.word());
            }
        });
        if (now % SECOND == 0) {
            List<Report.Need> needs = new ArrayList<>();
            for (int t = 0; t < node.wants.length; t++) {
                needs.add(new Report.Need(GROUP, rules.tenants().get(t).name(), node.wanted[t], node.peak[t]));
                node.peak[t] = 0;
                node.wanted[t] = 0;
            }
            told.put(node.allowance.session(), needs);
        }
    }

    private void divide() {
        Optional<Budget> budget = machine.budget(GROUP);
        List<Long> live = machine.sessions().stream()
                .map(State.Session::number)
                .filter(each -> each != divider)
                .toList();
        told.keySet().retainAll(live);
        ConnectionAllocator.next(budget, ConnectionAllocator.Demand.of(live, budget, told), rules, now).ifPresent(draft -> {
            Outcome outcome = apply(new Command.Divide(
                    divider, fence, draft.after(), GROUP, rules.figures(), draft.tenants(), draft.shares()));
            assertTrue(outcome instanceof Outcome.Divided, () -> what + ": " + outcome + " of " + draft);
            divisions++;
        });
    }

    private void steps(int many) {
        for (int i = 0; i < many; i++) {
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

    /** Of a flood through ten processes and one through a single one, each has half; and a floor comes back in time. */
    @Test
    void aFloodGetsItsPartThroughHoweverManyProcessesAndAFloorComesBack() {
        start(62, 2, 1, tenant("many", 0, 1, 60), tenant("one", 0, 1, 60), tenant("quiet", 6, 1, 60));
        for (int i = 0; i < 10; i++) {
            add("n" + i, 1, 20, i == 0 ? 100 : 0, 0);
        }
        steps(20 * SECOND);
        assertTrue(Math.abs(used(0) - used(1)) <= 2 && used(0) + used(1) >= 58, used(0) + " and " + used(1));
        // A report and a division, a request, the words there and back.
        int span = SECOND + REQUEST + 6;
        nodes.get("n3").wants[2] = 3;
        nodes.get("n7").wants[2] = 3;
        steps(span);
        assertEquals(6, used(2), "its floor, " + span + " steps after it asked");
        nodes.get("n3").wants[2] = 0;
        nodes.get("n7").wants[2] = 0;
        steps(20 * SECOND);
        assertTrue(used(0) + used(1) >= 58, "what it does not use is lent again");
    }

    @Test
    void whatADeadProcessHadIsInUseAgainAndAJoinMovesOnlyWhatItMust() {
        start(60, 0, 2, tenant("a", 0, 1, 60));
        for (int i = 0; i < 6; i++) {
            add("n" + i, 1, 20);
        }
        steps(20 * SECOND);
        assertEquals(60, used(0));
        Map<Long, Integer> before = shares();
        long dead = nodes.get("n2").allowance.session();
        kill("n2");
        // Lease, effect and half-open by the terms; a report, a division, a word; its own part comes last.
        steps((int) TERMS.waiting(60 + EFFECT + HALF_OPEN) + 3 * SECOND);
        assertEquals(58, used(0), "all but its own part");
        shares().forEach((session, share) -> assertTrue(share >= before.get(session), "nobody else gives for it"));
        assertTrue(!shares().containsKey(dead));
        steps((int) TERMS.waiting(300 + EFFECT + HALF_OPEN));
        assertEquals(60, used(0));
        Map<Long, Integer> five = shares();
        Node young = add("n9", 1, 20);
        steps(10 * SECOND);
        int moved = five.entrySet().stream()
                .mapToInt(each -> Math.max(0, each.getValue() - shares().get(each.getKey())))
                .sum();
        assertEquals(shares().get(young.allowance.session()), moved);
        assertTrue(moved >= 9, "it has its part: " + moved);
    }

    /** Demand that wavers where there is room moves nothing; each open connection is one handshake. */
    @Test
    void calmMovesNothing() {
        start(100, 0, 2, tenant("a", 10, 1, 100), tenant("b", 10, 2, 100));
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 8; i++) {
            add("n" + i, 1, 3, 3);
        }
        steps(20 * SECOND);
        Map<Long, Integer> before = shares();
        int handshakes =
                nodes.values().stream().mapToInt(node -> node.handshakes).sum();
        for (int i = 0; i < 60; i++) {
            nodes.values().forEach(node -> Arrays.setAll(node.wants, t -> 2 + chance.nextInt(3)));
            steps(SECOND);
        }
        assertEquals(before, shares());
        int more = nodes.values().stream().mapToInt(node -> node.handshakes).sum() - handshakes;
        assertTrue(more <= 16, "at most two more for each process, when it wants more than ever: " + more);
    }

    /** All that a command holds: the greatest numbers, the longest names. */
    @Test
    void theGreatestDivisionFitsACommand() {
        List<Rules.Tenant> tenants = new ArrayList<>();
        for (int t = 0; t < 36; t++) {
            tenants.add(tenant(String.format("%064d", t), 100, 1 + t, 1 << 20));
        }
        Map<Long, List<Report.Need>> told = new TreeMap<>();
        SplittableRandom chance = new SplittableRandom(1);
        for (long session = Long.MAX_VALUE - 1_200; session < Long.MAX_VALUE; session++) {
            told.put(
                    session,
                    tenants.stream()
                            .map(tenant -> new Report.Need(GROUP, tenant.name(), chance.nextInt(500), 0))
                            .toList());
        }
        Rules greatest = new Rules(new Budget.Figures(1 << 20, 9, 3, 1, 1), tenants, 9, 9);
        long start = System.nanoTime();
        ConnectionAllocator.Draft draft = ConnectionAllocator.next(Optional.empty(), new ConnectionAllocator.Demand(told), greatest, 0)
                .orElseThrow();
        System.out.printf(
                "divided among 1,000 processes and 36 tenants in %.0f ms%n", (System.nanoTime() - start) / 1e6);
        assertEquals(1_000, draft.shares().size());
        assertTrue(draft.shares().stream().mapToLong(Budget.Share::connections).sum() <= 1 << 20);
        byte[] bytes = new Codec()
                .bytes(new Command.Divide(
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        GROUP,
                        greatest.figures(),
                        draft.tenants(),
                        draft.shares()));
        assertTrue(bytes.length <= Codec.MOST_COMMAND);
    }

    /** Kills, starts, pauses, cuts and lowered numbers over one another; what is checked is in each step. */
    @Test
    void neverOverTheNumber() {
        for (int seed = 0; seed < 30; seed++) {
            ConnectionAllocatorTest run = new ConnectionAllocatorTest();
            run.what = "seed " + seed;
            run.history(new SplittableRandom(seed));
        }
    }

    private void history(SplittableRandom chance) {
        Rules.Tenant[] tenants = {tenant("a", 3, 1, 40), tenant("b", 0, 3, 30), tenant("c", 2, 1, 50)};
        start(40, 2, 1, tenants);
        for (int i = 0; i < 6; i++) {
            add("n" + i, 1 + (chance.nextInt(3) - 1) * 0.02, 4, 4, 4);
        }
        for (int i = 0; i < 80; i++) {
            Node node = nodes.get("n" + chance.nextInt(6));
            Arrays.setAll(node.wants, t -> chance.nextInt(12));
            switch (chance.nextInt(7)) {
                case 0 -> {
                    kill(node.name);
                    add(node.name, node.rate, 4, 4, 4);
                }
                case 1 -> node.pausedAt = node.pausedAt < 0 ? now : node.pausedAt;
                case 2 -> node.isCut = true;
                case 3, 4 -> {
                    node.wake(now);
                    node.isCut = false;
                }
                case 5 -> rules = rules(20 + chance.nextInt(30), 2, 1, tenants);
                default -> {}
            }
            steps(1 + chance.nextInt(3 * SECOND));
        }
    }
}
