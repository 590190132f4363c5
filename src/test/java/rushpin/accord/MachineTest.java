package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;
import rushpin.accord.Outcome.Reason;

class MachineTest {
    private static final Terms TERMS = new Terms(100, 0, 20, 12, 4);
    private static final long FIRST = Machine.ERA + 1;

    private final Machine machine = new Machine(State.EMPTY);

    private static Who who(String name, long incarnation) {
        return new Who(name, incarnation, "z", "", Machine.LEVEL);
    }

    private static Outcome refused(Reason reason) {
        return new Outcome.Refused(reason);
    }

    private Outcome at(long at, Command command) {
        return machine.apply(new Entry(at, command)).outcome();
    }

    private void found(long era) {
        assertEquals(new Outcome.Done(), at(0, new Command.Found(era, TERMS)));
    }

    private long join(long at, String name, long incarnation) {
        return ((Outcome.Joined) at(at, new Command.Join(who(name, incarnation)))).session();
    }

    @Test
    void nothingGoesBeforeTheFoundingAndThereIsOne() {
        assertEquals(refused(Reason.NOT_FOUNDED), at(0, new Command.Join(who("a", 1))));
        assertEquals(refused(Reason.NOT_FOUNDED), at(0, new Command.Found(0, TERMS)));
        assertEquals(refused(Reason.NOT_FOUNDED), at(0, new Command.Found(Machine.LAST_ERA + 1, TERMS)));
        found(1);
        assertEquals(refused(Reason.FOUNDED_BEFORE), at(0, new Command.Found(2, TERMS)));
        assertEquals(refused(Reason.UNKNOWN), at(0, new Command.Unknown(new byte[3])));
    }

    /** By a made-up form of the next version: refused alike while one session does not know it; after that it may be done. */
    @Test
    void whoDoesNotKnowWhatAllOthersKnowGoesNoFurther() {
        Command newer = new Command.Unknown(new byte[] {1, 2});
        found(2);
        assertEquals(0, machine.level(), "who held something before knows nothing");
        assertEquals(refused(Reason.UNKNOWN), at(0, newer));
        at(0, new Command.Join(new Who("n", 1, "z", "", Machine.LEVEL + 1)));
        long old = join(0, "o", 1);
        assertEquals(
                new Outcome.Done(), at(0, new Command.Carried(new Command.Renew(old), new byte[9])), "more fields");
        assertEquals(Machine.LEVEL, machine.level());
        assertEquals(refused(Reason.UNKNOWN), at(0, newer));
        at(0, new Command.Leave(old));
        assertEquals(Machine.LEVEL + 1, machine.level());
        assertThrows(IllegalStateException.class, () -> at(0, newer));
    }

    @Test
    void aSessionEndsByLogTimeUnlessItIsRenewed() {
        found(1);
        assertEquals(FIRST, join(0, "a", 1));
        assertEquals(new Outcome.Done(), at(119, new Command.Renew(FIRST)));
        assertEquals(new Outcome.Granted("r", FIRST + 1), at(120, new Command.Acquire(FIRST, "r")));
        assertEquals(
                List.of(), machine.apply(new Entry(5, new Command.Tick())).decisions(), "log time never goes back");
        assertEquals(120, machine.now());
        assertEquals(
                List.of(new Decision.Went(FIRST, who("a", 1)), new Decision.Free("r")),
                machine.apply(new Entry(239, new Command.Renew(FIRST))).decisions(),
                "before the command, however late");
        assertEquals(refused(Reason.NO_SESSION), at(239, new Command.Acquire(FIRST, "r")));
        assertEquals(FIRST + 2, join(239, "a", 1), "a number is never given twice");
    }

    @Test
    void aNewStartOfAProcessWaitsForWhatTheOldOneHeld() {
        found(1);
        long old = join(0, "a", 1);
        at(0, new Command.Acquire(old, "r"));
        long young = join(10, "a", 2);
        assertTrue(young > old);
        assertEquals(old, join(50, "a", 1), "the old one is only slow: it has its session again, and that goes on");
        at(60, new Command.Renew(young));
        assertEquals(new Outcome.Held("r", "a"), at(169, new Command.Acquire(young, "r")));
        assertEquals(new Outcome.Granted("r", young + 1), at(170, new Command.Acquire(young, "r")));
    }

    @Test
    void leavingAndGivingBackFreeAtOnceButOnlyTheSameFence() {
        found(1);
        long a = join(0, "a", 1), b = join(0, "b", 1);
        long first = ((Outcome.Granted) at(0, new Command.Acquire(a, "r"))).fence();
        assertEquals(new Outcome.Granted("r", first), at(0, new Command.Acquire(a, "r")), "told again");
        assertEquals(new Outcome.Done(), at(1, new Command.Release(a, "r", first)));
        long second = ((Outcome.Granted) at(1, new Command.Acquire(a, "r"))).fence();
        assertTrue(second > first);
        assertEquals(refused(Reason.NOT_HOLDER), at(2, new Command.Release(a, "r", first)), "a repeated one");
        assertEquals(refused(Reason.NOT_HOLDER), at(2, new Command.Release(b, "r", second)));
        assertEquals(
                List.of(new Decision.Went(a, who("a", 1)), new Decision.Free("r")),
                machine.apply(new Entry(3, new Command.Leave(a))).decisions());
        assertEquals(refused(Reason.NO_SESSION), at(3, new Command.Leave(a)));
        assertEquals(new Outcome.Granted("r", second + 1), at(3, new Command.Acquire(b, "r")));
    }

    @Test
    void sessionsAndResourcesAreBounded() {
        found(1);
        for (int i = 0; i < Machine.MOST_OF_A_NAME; i++) {
            join(0, "a", i);
        }
        assertEquals(refused(Reason.TOO_MANY_SESSIONS), at(0, new Command.Join(who("a", 99))));
        for (int i = Machine.MOST_OF_A_NAME; i < TERMS.mostSessions(); i++) {
            join(0, "b" + i, 1);
        }
        assertEquals(refused(Reason.TOO_MANY_SESSIONS), at(0, new Command.Join(who("c", 1))));
        for (int i = 0; i < TERMS.mostHeld(); i++) {
            at(0, new Command.Acquire(FIRST, "r" + i));
        }
        assertEquals(refused(Reason.TOO_MANY_HELD), at(0, new Command.Acquire(FIRST, "more")));
        assertEquals(refused(Reason.BAD_NAME), at(0, new Command.Acquire(FIRST, "no name")));
        assertEquals(refused(Reason.BAD_NAME), at(0, new Command.Join(who(Machine.FORMER.name(), 1))));
        assertEquals(refused(Reason.BAD_NAME), at(0, new Command.Join(new Who("d", 1, "", "", 1))));
    }

    /** Who held something by the era before may still act by it. */
    @Test
    void aLaterEraGrantsNothingUntilTheOneBeforeIsOver() {
        found(2);
        long a = join(0, "a", 1);
        assertEquals(2 * Machine.ERA + 2, a);
        at(100, new Command.Renew(a));
        assertEquals(new Outcome.Held("r", Machine.FORMER.name()), at(119, new Command.Acquire(a, "r")));
        assertEquals(refused(Reason.NO_SESSION), at(119, new Command.Renew(a - 1)));
        assertEquals(refused(Reason.NO_SESSION), at(119, new Command.Leave(a - 1)));
        assertEquals(new Outcome.Granted("r", a + 1), at(120, new Command.Acquire(a, "r")));
    }

    @Test
    void aPlanIsTheHoldersWholeAndMadeFromTheOneInForce() {
        found(1);
        long a = join(0, "a", 1), b = join(0, "b", 1);
        List<Plan.Way> ways = ways("x", "y", 400, "z", 600);
        assertEquals(refused(Reason.NOT_HOLDER), at(0, new Command.Publish(a, 0, 0, ways)));
        long fence = ((Outcome.Granted) at(0, new Command.Acquire(a, Command.PLANNER))).fence();
        assertEquals(refused(Reason.NOT_HOLDER), at(0, new Command.Publish(b, fence, 0, ways)));
        assertEquals(refused(Reason.NOT_HOLDER), at(0, new Command.Publish(a, fence - 1, 0, ways)));
        assertEquals(refused(Reason.STALE_PLAN), at(0, new Command.Publish(a, fence, 1, ways)));
        for (List<Plan.Way> bad : List.of(
                ways("x", "y", 400, "z", 599),
                ways("x", "y", 500, "y", 500),
                ways("", "y", 400, "z", 600),
                ways("x", "y", 0, "z", 1_000),
                ways("x", "y", -1, "z", 1_001),
                List.of(ways.get(0), ways.get(0)),
                List.of(new Plan.Way("x", List.of())),
                Collections.nCopies(Plan.MOST_ZONES + 1, ways.get(0)))) {
            assertEquals(refused(Reason.BAD_PLAN), at(0, new Command.Publish(a, fence, 0, bad)), () -> bad.toString());
        }
        Plan plan = new Plan(1, fence, ways);
        assertEquals(
                new Applied(new Outcome.Published(1), List.of(new Decision.InForce(plan))),
                machine.apply(new Entry(0, new Command.Publish(a, fence, 0, ways))));
        assertEquals(
                new Applied(new Outcome.Published(1), List.of()),
                machine.apply(new Entry(0, new Command.Publish(a, fence, 0, ways))),
                "its answer was lost");
        assertEquals(plan, machine.plan());
        at(1, new Command.Leave(a));
        assertEquals(plan, machine.plan(), "a plan outlives its planner");
    }

    private static List<Plan.Way> ways(String from, String to, int part, String other, int rest) {
        return List.of(new Plan.Way(from, List.of(new Plan.Part(to, part), new Plan.Part(other, rest))));
    }

    @Test
    void aStateThatCanBeNoneIsRefused() {
        State.Session session = new State.Session(FIRST, who("a", 1), 5);
        for (State state : List.of(
                new State(1, null, 0, 0, List.of(), List.of(), Plan.NONE),
                new State(1, TERMS, 0, 1, List.of(session, session), List.of(), Plan.NONE),
                new State(1, TERMS, 0, 2, List.of(session), List.of(new State.Holder("r", 9, FIRST + 1)), Plan.NONE))) {
            assertThrows(IllegalArgumentException.class, () -> new Machine(state), state.toString());
        }
    }

    @Provide
    static Arbitrary<List<Entry>> histories() {
        Arbitrary<Long> numbers = Arbitraries.longs().between(FIRST, FIRST + 14);
        Arbitrary<String> resources = Arbitraries.of("planner", "r", "s", "t", "u", "!");
        Arbitrary<Command> joins = Combinators.combine(
                        Arbitraries.of("a", "b", "c", "?"), Arbitraries.longs().between(1, 3))
                .as((name, incarnation) -> new Command.Join(who(name, incarnation)));
        Arbitrary<Command> publishes = Combinators.combine(
                        numbers, numbers, Arbitraries.longs().between(0, 3))
                .as((session, fence, after) ->
                        new Command.Publish(session, fence, after, ways("x", "y", 400, "z", 600)));
        Arbitrary<Command> commands = Arbitraries.frequencyOf(
                Tuple.of(4, joins),
                Tuple.of(4, numbers.map(Command.Renew::new)),
                Tuple.of(1, numbers.map(Command.Leave::new)),
                Tuple.of(6, Combinators.combine(numbers, resources).as(Command.Acquire::new)),
                Tuple.of(3, Combinators.combine(numbers, resources, numbers).as(Command.Release::new)),
                Tuple.of(2, publishes),
                Tuple.of(1, Arbitraries.just(new Command.Tick())),
                Tuple.of(1, Arbitraries.just(new Command.Found(1, TERMS))));
        Arbitrary<Long> gaps = Arbitraries.longs().between(-20, 60);
        return Combinators.combine(gaps, commands)
                .as((gap, command) -> new Entry(gap, command))
                .list()
                .ofMaxSize(80);
    }

    /**
     * On any history: numbers only grow, one holder a resource, bounds kept, decisions tell all, a restored machine goes on
     * alike.
     */
    @Property(tries = 1_000)
    void whateverIsAsked(@ForAll("histories") List<Entry> drawn) {
        Machine one = new Machine(State.EMPTY);
        one.apply(new Entry(0, new Command.Found(1, TERMS)));
        Machine restored = new Machine(one.state());
        Map<Long, Who> there = new HashMap<>();
        Map<String, Long> fences = new HashMap<>(), holding = new HashMap<>();
        Set<Long> given = new HashSet<>();
        long at = 0;
        List<Entry> history = new ArrayList<>();
        for (Entry drawing : drawn) {
            at += drawing.at();
            Entry entry = new Entry(at, drawing.command());
            history.add(entry);
            long plan = one.plan().number();
            Applied applied = one.apply(entry);
            assertEquals(applied, restored.apply(entry), history::toString);
            restored = new Machine(restored.state());
            for (Decision decision : applied.decisions()) {
                if (decision instanceof Decision.Came came) {
                    assertTrue(given.add(came.session()), history::toString);
                    there.put(came.session(), came.who());
                } else if (decision instanceof Decision.Went went) {
                    assertEquals(went.who(), there.remove(went.session()), history::toString);
                } else if (decision instanceof Decision.Holds holds) {
                    assertTrue(given.add(holds.fence()), history::toString);
                    assertTrue(holds.fence() > fences.getOrDefault(holds.resource(), 0L), history::toString);
                    fences.put(holds.resource(), holds.fence());
                    assertEquals(null, holding.put(holds.resource(), holds.session()), history::toString);
                } else if (decision instanceof Decision.Free free) {
                    assertTrue(holding.remove(free.resource()) != null, history::toString);
                } else if (decision instanceof Decision.InForce inForce) {
                    assertEquals(plan + 1, inForce.plan().number(), history::toString);
                }
            }
            State state = one.state();
            assertEquals(state, restored.state(), history::toString);
            Map<Long, Who> sessions = new HashMap<>();
            state.sessions().forEach(session -> sessions.put(session.number(), session.who()));
            assertEquals(there, sessions, history::toString);
            Map<String, Long> held = new HashMap<>();
            state.holders().forEach(holder -> held.put(holder.resource(), holder.session()));
            assertEquals(holding, held, history::toString);
            assertTrue(sessions.keySet().containsAll(held.values()), history::toString);
            assertTrue(sessions.size() <= TERMS.mostSessions() && held.size() <= TERMS.mostHeld(), history::toString);
            state.sessions().forEach(session -> assertTrue(session.until() > state.now(), history::toString));
        }
    }

    private static Command.Divide divide(long session, long fence, long after, int most, long forget, long... shares) {
        List<Budget.Share> parts = new ArrayList<>();
        for (int i = 0; i < shares.length; i += 2) {
            parts.add(new Budget.Share(shares[i], (int) shares[i + 1], List.of(1)));
        }
        return new Command.Divide(
                session, fence, after, "db", new Budget.Figures(most, 1, 2, 30, forget), List.of("t"), parts);
    }

    @Test
    void aDivisionIsByItsHolderFromTheOneInForceAndForAllVersionsThatAreThere() {
        found(1);
        long a = join(0, "a", 1), b = join(0, "b", 1);
        assertEquals(refused(Reason.NOT_HOLDER), at(0, divide(a, 9, 0, 10, 200, b, 4)));
        long fence = ((Outcome.Granted) at(0, new Command.Acquire(a, Command.DIVIDER))).fence();
        long old = ((Outcome.Joined) at(0, new Command.Join(new Who("old", 1, "z", "", 1)))).session();
        assertEquals(refused(Reason.UNKNOWN), at(0, divide(a, fence, 0, 10, 200, b, 4)), "as the older version does");
        at(0, new Command.Leave(old));
        assertEquals(refused(Reason.STALE_DIVISION), at(0, divide(a, fence, 1, 10, 200, b, 4)));
        assertEquals(
                refused(Reason.BAD_DIVISION), at(0, divide(a, fence, 0, 10, 200, b, 10)), "one of ten is a reserve");
        assertEquals(refused(Reason.BAD_DIVISION), at(0, divide(a, fence, 0, 10, 200, b, 1, a, 1)), "out of order");
        assertEquals(refused(Reason.NOT_ALLOTTED), at(0, new Command.Cede(b, "db", 0, 0)));
        assertEquals(new Outcome.Divided(1), at(0, divide(a, fence, 0, 10, 200, b, 4)));
        assertEquals(new Outcome.Divided(1), at(0, divide(a, fence, 0, 10, 200, b, 4)), "told again");
        assertEquals(
                refused(Reason.BAD_DIVISION), at(0, divide(a, fence, 1, 10, 199, b, 4)), "who is cut off goes by 200");
        Allotment word = machine.word("db", b).orElseThrow();
        assertEquals(
                new Allotment("db", b, word.number(), 4, 2, 4, 200, 30, List.of(new Allotment.Quota("t", 1))), word);
    }

    /** The sum of what is granted only grows while it is under the number; a restored machine goes on alike. */
    @Test
    void grantsGrowOnlyOutOfWhatIsFree() {
        for (long seed = 0; seed < 60; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            String what = "seed " + seed;
            Machine one = new Machine(State.EMPTY);
            long now = 0;
            one.apply(new Entry(0, new Command.Found(1, TERMS)));
            long divider = ((Outcome.Joined) one.apply(new Entry(0, new Command.Join(who("d", 1))))
                            .outcome())
                    .session();
            long fence = ((Outcome.Granted) one.apply(new Entry(0, new Command.Acquire(divider, Command.DIVIDER)))
                            .outcome())
                    .fence();
            int most = 20;
            for (int i = 0; i < 400; i++) {
                now += chance.nextInt(12);
                one.apply(new Entry(now, new Command.Renew(divider)));
                long before = one.budget("db").map(Budget::granted).orElse(0L);
                List<State.Session> sessions = one.state().sessions();
                State.Session any = sessions.get(chance.nextInt(sessions.size()));
                Command command = switch (chance.nextInt(5)) {
                    case 0 -> new Command.Join(who("p" + chance.nextInt(4), chance.nextInt(3)));
                    case 1 -> new Command.Renew(any.number());
                    case 2 -> any.number() == divider ? new Command.Tick() : new Command.Leave(any.number());
                    case 3 ->
                        new Command.Cede(
                                any.number(),
                                "db",
                                one.word("db", any.number())
                                                .map(Allotment::number)
                                                .orElse(0L)
                                        - chance.nextInt(2),
                                chance.nextInt(12));
                    default -> {
                        most = 5 + chance.nextInt(20);
                        long[] shares = new long[2 * sessions.size()];
                        for (int j = 0; j < sessions.size(); j++) {
                            shares[2 * j] = sessions.get(j).number();
                            shares[2 * j + 1] = chance.nextInt(1 + most / sessions.size());
                        }
                        yield divide(
                                divider,
                                fence,
                                one.budget("db").map(Budget::number).orElse(0L),
                                most,
                                150,
                                shares);
                    }
                };
                Machine restored = new Machine(one.state());
                Entry entry = new Entry(now, command);
                assertEquals(restored.apply(entry), one.apply(entry), what);
                assertEquals(restored.state(), one.state(), what);
                long granted = 0;
                if (one.budget("db").isPresent()) {
                    Budget of = one.budget("db").get();
                    granted = of.granted();
                    assertTrue(
                            granted
                                    <= Math.max(
                                            before,
                                            of.figures().most() - of.figures().reserve()),
                            what + ": " + of);
                    of.grants()
                            .forEach(each -> assertTrue(
                                    each.most() <= each.granted()
                                            && each.own() <= each.floor()
                                            && each.floor() <= each.granted(),
                                    what + ": " + each));
                }
            }
        }
    }
}
