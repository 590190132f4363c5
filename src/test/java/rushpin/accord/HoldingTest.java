package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.accord.Holding.Ask;
import rushpin.accord.Holding.Event;

class HoldingTest {
    private static final Terms TERMS = new Terms(90, 0, 0, 9, 9);
    private static final Outcome DONE = new Outcome.Done();
    private static final Who WHO = new Who("a", 1, "z", "", 1);

    private final Holding holding = new Holding(WHO, 30, 2, 0);

    private static Outcome joined(long session) {
        return new Outcome.Joined(session, TERMS);
    }

    private static Outcome gone() {
        return new Outcome.Refused(Outcome.Reason.NO_SESSION);
    }

    /** The one thing due now. */
    private Ask ask(long now, Command expected) {
        List<Ask> due = holding.due(now);
        assertEquals(List.of(expected), due.stream().map(Ask::command).toList());
        return due.get(0);
    }

    private void joins(long session) {
        holding.answered(ask(0, new Command.Join(WHO)).id(), joined(session), 1);
    }

    private void holds(long session, long fence) {
        joins(session);
        holding.want("r", 1);
        assertEquals(
                List.of(new Event.Gained("r", fence)),
                holding.answered(ask(1, new Command.Acquire(session, "r")).id(), new Outcome.Granted("r", fence), 2));
    }

    @Test
    void theLeaseCountsFromTheAskingOfEachAnswer() {
        Ask first = ask(0, new Command.Join(WHO));
        assertEquals(List.of(), holding.due(29));
        Ask second = ask(30, new Command.Join(WHO));
        holding.answered(first.id(), joined(5), 40);
        assertEquals(90, holding.until());
        holding.answered(first.id(), joined(5), 41);
        assertEquals(90, holding.until(), "the same answer again");
        Ask renewal = ask(60, new Command.Renew(5));
        holding.answered(renewal.id(), DONE, 80);
        assertEquals(150, holding.until());
        holding.answered(second.id(), joined(5), 85);
        assertEquals(150, holding.until(), "a late answer to an older ask");
        assertTrue(holding.isAlive(149));
        assertFalse(holding.isAlive(150));
    }

    @Test
    void allIsLostWithTheLeaseAndAcquiredAnew() {
        holds(5, 6);
        Ask late = ask(30, new Command.Renew(5));
        assertEquals(6, holding.fence("r", 89));
        assertEquals(0, holding.fence("r", 90));
        assertEquals(List.of(new Event.Lost("r", 6)), holding.time(90));
        assertEquals(List.of(), holding.time(91));
        holding.answered(late.id(), DONE, 100);
        assertTrue(holding.isAlive(119));
        assertFalse(holding.holds("r", 101), "it was lost in between");
        Ask again = holding.due(101).get(1);
        assertEquals(new Command.Acquire(5, "r"), again.command());
        assertEquals(List.of(), holding.answered(again.id(), new Outcome.Granted("r", 6), 120), "the lease is over");
        assertFalse(holding.holds("r", 120));
    }

    @Test
    void withoutASessionItHoldsNothingAndJoinsAnew() {
        holds(5, 6);
        Ask renewal = ask(30, new Command.Renew(5));
        assertEquals(List.of(new Event.Lost("r", 6)), holding.answered(renewal.id(), gone(), 31));
        assertFalse(holding.isAlive(31));
        Ask join = ask(31, new Command.Join(WHO));
        holding.answered(join.id(), joined(5), 32);
        assertFalse(holding.isAlive(32), "a late answer: that session is known to be over");
        Ask next = ask(61, new Command.Join(WHO));
        holding.answered(next.id(), joined(9), 62);
        assertTrue(holding.isAlive(62));
        assertEquals(new Command.Acquire(9, "r"), holding.due(62).get(0).command());
    }

    @Test
    void anAnswerToAnEarlierSessionCountsForNothing() {
        joins(5);
        holding.want("r", 1);
        Ask acquire = ask(1, new Command.Acquire(5, "r"));
        Ask renewal = ask(30, new Command.Renew(5));
        holding.answered(renewal.id(), gone(), 31);
        holding.answered(ask(31, new Command.Join(WHO)).id(), joined(9), 32);
        assertEquals(List.of(), holding.answered(acquire.id(), new Outcome.Granted("r", 6), 33));
        assertFalse(holding.holds("r", 33));
        holding.heard(new Decision.Went(5, WHO), 33);
        assertTrue(holding.isAlive(33));
        assertEquals(List.of(), holding.heard(new Decision.Went(9, WHO), 34));
        assertFalse(holding.isAlive(34));
    }

    @Test
    void whatIsGivenBackStaysSoWhateverComesLate() {
        joins(5);
        holding.want("r", 1);
        Ask first = ask(1, new Command.Acquire(5, "r"));
        Ask second = holding.due(31).get(1);
        holding.answered(first.id(), new Outcome.Granted("r", 6), 32);
        holding.giveBack("r", 33);
        assertFalse(holding.holds("r", 33));
        Ask release = ask(33, new Command.Release(5, "r", 6));
        holding.want("r", 34);
        holding.answered(second.id(), new Outcome.Granted("r", 6), 35);
        assertFalse(holding.holds("r", 35), "that grant was before the release");
        ask(35, new Command.Release(5, "r", 6));
        holding.answered(release.id(), DONE, 36);
        Ask third = ask(36, new Command.Acquire(5, "r"));
        assertEquals(List.of(new Event.Gained("r", 7)), holding.answered(third.id(), new Outcome.Granted("r", 7), 37));
    }

    /** A log that is read anew tells once more what it decided. */
    @Test
    void whatIsGivenBackAndForgottenIsNotGainedByLateWord() {
        holds(5, 6);
        holding.giveBack("r", 2);
        holding.answered(ask(2, new Command.Release(5, "r", 6)).id(), DONE, 3);
        assertEquals(0, holding.memory().items().size(), "forgotten");
        holding.want("r", 4);
        Ask acquire = ask(4, new Command.Acquire(5, "r"));
        assertEquals(List.of(new Event.Held("r", "b")), holding.answered(acquire.id(), new Outcome.Held("r", "b"), 5));
        assertEquals(List.of(), holding.heard(new Decision.Holds("r", 5, 6), 6));
        assertFalse(holding.holds("r", 6), "another may have it by now");
        Ask again = ask(6, new Command.Acquire(5, "r"));
        assertEquals(List.of(new Event.Gained("r", 8)), holding.answered(again.id(), new Outcome.Granted("r", 8), 7));
        assertEquals(List.of(), holding.heard(new Decision.Holds("r", 5, 6), 8));
        assertEquals(8, holding.fence("r", 8));
        // Of another resource, whose answer was lost: an answer counts under however low a fence, late word does not.
        holding.want("s", 8);
        Ask other = ask(8, new Command.Acquire(5, "s"));
        assertEquals(List.of(), holding.heard(new Decision.Holds("s", 5, 4), 9));
        assertEquals(List.of(new Event.Gained("s", 4)), holding.answered(other.id(), new Outcome.Granted("s", 4), 9));
    }

    @Test
    void aGrantThatNobodyWantsAnyMoreIsGivenBack() {
        joins(5);
        holding.want("r", 1);
        Ask acquire = ask(1, new Command.Acquire(5, "r"));
        holding.giveBack("r", 2);
        holding.answered(acquire.id(), new Outcome.Granted("r", 6), 3);
        ask(3, new Command.Release(5, "r", 6));
        holding.heard(new Decision.Holds("s", 5, 8), 4);
        ask(4, new Command.Release(5, "s", 8));
        assertFalse(holding.want("t", 5), "bounded by what still has to be given back");
        assertTrue(holding.want("s", 5));
    }

    @Test
    void whatBecomesFreeIsAskedForAtOnceButOneAtATime() {
        joins(5);
        holding.want("r", 1);
        Ask acquire = ask(1, new Command.Acquire(5, "r"));
        holding.heard(new Decision.Free("r"), 2);
        assertEquals(List.of(), holding.due(2));
        assertEquals(List.of(new Event.Held("r", "b")), holding.answered(acquire.id(), new Outcome.Held("r", "b"), 3));
        assertEquals(30, holding.next());
        holding.heard(new Decision.Free("r"), 4);
        assertEquals(4, holding.next());
        ask(4, new Command.Acquire(5, "r"));
    }

    @Test
    void unansweredAsksAreBounded() {
        joins(5);
        holding.want("r", 1);
        holding.want("s", 1);
        for (long now = 1; now < 2_000; now++) {
            holding.due(now);
            holding.heard(new Decision.Free("r"), now);
            assertTrue(holding.memory().out().size() <= 3 * (Holding.MOST_OUT + 1), "at " + now);
        }
    }

    @Test
    void leavingIsToldUntilItIsAnsweredOrTheRoundsAreOver() {
        holds(5, 6);
        holding.leave(2);
        assertFalse(holding.holds("r", 2));
        Ask leave = ask(2, new Command.Leave(5));
        ask(32, new Command.Leave(5));
        assertFalse(holding.want("s", 33));
        holding.answered(leave.id(), DONE, 34);
        assertTrue(holding.isOver());
        assertEquals(Holding.NEVER, holding.next());
        Holding other = new Holding(WHO, 30, 2, 0);
        other.due(0);
        other.leave(1);
        other.due(1);
        assertFalse(other.isOver(), "the Join may still be answered");
        other.due(91);
        assertTrue(other.isOver());
    }
}
