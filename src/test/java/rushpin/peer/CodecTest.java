package rushpin.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import rushpin.accord.Allotment;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Encoding.Unreadable;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.State;
import rushpin.accord.Terms;
import rushpin.accord.Who;

/** Values survive their bytes; other bytes are said to be unreadable, and nothing else happens. */
class CodecTest {
    private static final long HOUR = 3_600_000_000_000L;

    private final Codec codec = new Codec();

    private static Arbitrary<Long> any() {
        return Arbitraries.longs();
    }

    private static Arbitrary<String> name() {
        return Arbitraries.strings().withCharRange('a', 'z').withChars("0.-_:é").ofMaxLength(12);
    }

    private static Arbitrary<Terms> terms() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, HOUR),
                        Arbitraries.integers().between(0, 499_999),
                        Arbitraries.longs().between(0, HOUR),
                        Arbitraries.integers().between(1, Integer.MAX_VALUE),
                        Arbitraries.integers().between(1, Integer.MAX_VALUE))
                .as(Terms::new);
    }

    private static Arbitrary<Who> who() {
        return Combinators.combine(name(), any(), name(), name(), Arbitraries.integers())
                .as(Who::new);
    }

    private static Arbitrary<List<Plan.Way>> ways() {
        Arbitrary<Plan.Part> part =
                Combinators.combine(name(), Arbitraries.integers()).as(Plan.Part::new);
        return Combinators.combine(name(), name(), part.list().ofMaxSize(5))
                .as(Plan.Way::new)
                .list()
                .ofMaxSize(5);
    }

    private static Arbitrary<List<Plan.Mark>> marks() {
        Arbitrary<Integer> number = Arbitraries.integers();
        return Combinators.combine(name(), name(), name(), number, any(), number)
                .as(Plan.Mark::new)
                .list()
                .ofMaxSize(5);
    }

    private static Arbitrary<Plan> plan() {
        return Combinators.combine(any(), any(), ways(), marks()).as(Plan::new);
    }

    @Provide
    Arbitrary<Command> commands() {
        return Arbitraries.oneOf(
                Combinators.combine(any(), terms()).as(Command.Found::new),
                Arbitraries.just(new Command.Tick()),
                who().map(Command.Join::new),
                any().map(Command.Renew::new),
                any().map(Command.Leave::new),
                Combinators.combine(any(), name()).as(Command.Acquire::new),
                Combinators.combine(any(), name(), any()).as(Command.Release::new),
                Combinators.combine(any(), any(), any(), ways(), marks()).as(Command.Publish::new),
                Combinators.combine(
                                any(),
                                any(),
                                any(),
                                name(),
                                figures(),
                                name().list().ofMaxSize(3),
                                shares())
                        .as(Command.Divide::new),
                Combinators.combine(any(), name(), any(), Arbitraries.integers())
                        .as(Command.Cede::new));
    }

    private static Arbitrary<Budget.Figures> figures() {
        Arbitrary<Integer> number = Arbitraries.integers();
        return Combinators.combine(number, number, number, any(), any()).as(Budget.Figures::new);
    }

    private static Arbitrary<List<Budget.Share>> shares() {
        return Combinators.combine(
                        any(),
                        Arbitraries.integers(),
                        Arbitraries.integers().list().ofMaxSize(3))
                .as(Budget.Share::new)
                .list()
                .ofMaxSize(4);
    }

    private static Arbitrary<Budget> budget() {
        Arbitrary<Integer> number = Arbitraries.integers();
        Arbitrary<Budget.Grant> grant = Combinators.combine(any(), name(), any(), any(), number, number, number, number)
                .as((session, name, incarnation, word, most, own, granted, floor) ->
                        new Budget.Grant(session, name, incarnation, word, most, own, granted, floor, word - 1));
        return Combinators.combine(
                        name(),
                        figures(),
                        any(),
                        any(),
                        any(),
                        any(),
                        shares(),
                        grant.list().ofMaxSize(3))
                .as((group, figures, of, fence, at, first, shares, grants) ->
                        new Budget(group, figures, of, fence, at, first, fence + 1, List.of(group), shares, grants));
    }

    @Provide
    Arbitrary<Outcome> outcomes() {
        return Arbitraries.oneOf(
                Arbitraries.just(new Outcome.Done()),
                Combinators.combine(any(), terms()).as(Outcome.Joined::new),
                Combinators.combine(name(), any()).as(Outcome.Granted::new),
                Combinators.combine(name(), name()).as(Outcome.Held::new),
                any().map(Outcome.Published::new),
                any().map(Outcome.Divided::new),
                Combinators.combine(name(), any(), any(), any(), Arbitraries.integers())
                        .as((group, session, word, forget, most) -> new Outcome.Allotted(new Allotment(
                                group,
                                session,
                                word,
                                most,
                                most / 2,
                                most + 1,
                                forget,
                                word - 1,
                                List.of(new Allotment.Quota(group, most))))),
                Arbitraries.of(Outcome.Reason.class).map(Outcome.Refused::new));
    }

    @Provide
    Arbitrary<State> states() {
        return Combinators.combine(
                        any(),
                        terms().injectNull(0.2),
                        any(),
                        any(),
                        Combinators.combine(any(), who(), any())
                                .as(State.Session::new)
                                .list()
                                .ofMaxSize(5),
                        Combinators.combine(name(), any(), any())
                                .as(State.Holder::new)
                                .list()
                                .ofMaxSize(5),
                        plan(),
                        budget().list().ofMaxSize(2))
                .as(State::new);
    }

    @Property
    void commandsComeBack(@ForAll("commands") Command command) throws Unreadable {
        assertEquals(command, codec.command(codec.bytes(command)));
    }

    @Property
    void outcomesComeBack(@ForAll("outcomes") Outcome outcome) throws Unreadable {
        assertEquals(outcome, codec.outcome(codec.bytes(outcome)));
    }

    @Property(tries = 300)
    void snapshotsComeBack(@ForAll("states") State state) throws Unreadable {
        assertEquals(state, codec.state(codec.bytes(state)));
    }

    @Example
    void needsOfAReportComeBack() {
        Report report = new Report(
                7,
                1,
                "p",
                "z",
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                List.of(new Report.Need("db", "t", 5, 3), new Report.Need("db", "", 0, 0)));
        assertEquals(report, Codec.report(Codec.wire(report)));
    }

    @Example
    void theReasonsAreAllKnown() throws Unreadable {
        for (Outcome.Reason each : Outcome.Reason.values()) {
            assertEquals(new Outcome.Refused(each), codec.outcome(codec.bytes(new Outcome.Refused(each))));
        }
    }

    /** Whatever the bytes: a value, whose own form can be read again, or unreadable. */
    @Property(tries = 3_000)
    void otherBytesAreAtMostUnreadable(@ForAll byte[] bytes) {
        readAll(bytes);
    }

    @Property
    void tornAndSpoiltBytesAreAtMostUnreadable(
            @ForAll("states") State state, @ForAll("commands") Command command, @ForAll int cut, @ForAll byte spoilt) {
        for (byte[] whole : List.of(codec.bytes(state), codec.bytes(command))) {
            if (whole.length > 0) {
                readAll(Arrays.copyOf(whole, Math.floorMod(cut, whole.length)));
                byte[] other = whole.clone();
                other[Math.floorMod(cut, whole.length)] = spoilt;
                readAll(other);
            }
        }
    }

    private void readAll(byte[] bytes) {
        try {
            codec.bytes(codec.command(bytes));
        } catch (Unreadable e) {
            // Said.
        }
        try {
            codec.bytes(codec.outcome(bytes));
        } catch (Unreadable e) {
            // Said.
        }
        try {
            codec.bytes(codec.state(bytes));
        } catch (Unreadable e) {
            // Said.
        }
    }

    private static byte[] field(int number, byte[] content) throws IOException {
        ByteArrayOutputStream to = new ByteArrayOutputStream();
        CodedOutputStream coded = CodedOutputStream.newInstance(to);
        coded.writeByteArray(number, content);
        coded.flush();
        return to.toByteArray();
    }

    @Property
    void aCommandOfANewerVersionKeepsItsBytes(@ForAll byte[] content) throws Exception {
        byte[] newer = field(900, content);
        Command.Unknown unknown = assertInstanceOf(Command.Unknown.class, codec.command(newer));
        assertArrayEquals(newer, codec.bytes(unknown));
    }

    @Example
    void aFieldOfANewerVersionIsNoHindrance() throws Exception {
        // A renewal (field 4) of session 7 with a field 55 that this version doesn't know.
        byte[] newer = field(4, new byte[] {8, 7, (byte) 0xb8, 3, 1});
        Command.Carried carried = assertInstanceOf(Command.Carried.class, codec.command(newer));
        assertEquals(new Command.Renew(7), carried.of());
        assertArrayEquals(newer, codec.bytes(carried), "and is kept");
    }

    @Example
    void boundsHoldBothWays() {
        assertThrows(Unreadable.class, () -> codec.command(new byte[0]));
        assertThrows(Unreadable.class, () -> codec.outcome(new byte[0]));
        assertThrows(Unreadable.class, () -> codec.command(field(6, new byte[Codec.MOST_COMMAND])));
        assertThrows(Unreadable.class, () -> codec.outcome(field(4, new byte[Codec.MOST_OUTCOME])));
        assertThrows(Unreadable.class, () -> codec.state(field(99, new byte[Codec.MOST_STATE])));
        assertThrows(
                IllegalArgumentException.class,
                () -> codec.bytes(new Command.Acquire(1, "x".repeat(Codec.MOST_COMMAND))));
        assertThrows(
                IllegalArgumentException.class,
                () -> codec.bytes(new Outcome.Held("x".repeat(Codec.MOST_OUTCOME), "y")));
        // Groups in groups, which a reader that calls itself would follow into its stack's end.
        byte[] deep = new byte[100_000];
        Arrays.fill(deep, (byte) (99 << 3 | 3));
        readAll(deep);
    }
}
