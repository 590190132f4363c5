package rushpin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.judge.Accords.Rule;

/** Each rule of what is decided in common is broken here by a record made up for it; a clean one passes. */
class AccordsTest {
    private static final long MS = 1_000_000L, LEASE = 3_000 * MS, EFFECT = 1_000 * MS;
    private final Accords accords = new Accords();
    private final Accords.Run a = accords.run("a"), b = accords.run("b"), c = accords.run("c");

    private static void holds(Accords.Run by, int fence, long at, long until) {
        assertTrue(by.said("fleet holds resource=planner fence=" + fence + " until=" + until * MS + " at=" + at * MS));
    }

    private static void yields(Accords.Run by, int fence, long at) {
        assertTrue(by.said("fleet yields resource=planner fence=" + fence + " at=" + at * MS));
    }

    private static void plan(Accords.Run by, int number, int fence, long at) {
        assertTrue(by.said("fleet plan pool=p number=" + number + " fence=" + fence + " at=" + at * MS));
    }

    private static void session(Accords.Run by, int number, long at) {
        assertTrue(by.said("fleet session number=" + number + " at=" + at * MS));
    }

    private List<Rule> found() {
        return accords.judge(new Accords.Bounds(LEASE, EFFECT), List.of(a, b, c)).stream()
                .map(Breach::rule)
                .distinct()
                .toList();
    }

    private void broken(Rule rule) {
        assertEquals(List.of(rule), found());
    }

    @Test
    void aRunWithARenewalAGiftBackADeathAStopAndARestartIsClean() {
        session(a, 1, 0);
        session(b, 2, 1);
        session(c, 3, 2);
        a.said("fleet voter id=x blank=true group=g at=0");
        a.said("fleet leads at=5");
        holds(a, 4, 10, 3_000);
        holds(a, 4, 1_000, 4_000);
        plan(a, 1, 4, 1_100);
        plan(b, 1, 4, 1_150);
        plan(c, 1, 4, 1_120);
        // Given back: the next one need not wait.
        yields(a, 4, 1_500);
        holds(b, 5, 1_510, 4_400);
        plan(b, 2, 5, 1_600);
        plan(a, 2, 5, 1_610);
        plan(c, 2, 5, 1_620);
        b.ended(2_000 * MS);
        holds(c, 6, 5_400, 8_300);
        // Stopped for longer than its lease: it yields first, and has it again under another fence.
        c.stopped(5_500 * MS, 12_000 * MS);
        yields(c, 6, 12_001);
        a.said("fleet steps-back why=disk at=12001");
        a.said("fleet follows at=12001");
        holds(a, 7, 12_500, 15_000);
        Accords.Run again = accords.run("a");
        a.ended(12_600 * MS);
        again.said("fleet voter id=x blank=false group=g at=12700");
        again.said("fleet voter id=y blank=true group=g at=12701");
        session(again, 8, 12_800);
        assertFalse(again.said("serving on 127.0.0.1:1"));
        again.said("fleet something newer at=1");
        assertEquals(List.of(), accords.judge(new Accords.Bounds(LEASE, EFFECT), List.of(a, c)));
    }

    @Test
    void aLineThatCannotBeReadIsFound() {
        a.said("fleet holds resource=planner fence=x until=1 at=1");
        broken(Rule.ALL_READ);
    }

    @Test
    void twoHoldersAtOnceAreFound() {
        holds(a, 1, 0, 2_000);
        yields(a, 1, 1_000);
        holds(b, 2, 999, 2_000);
        broken(Rule.ONE_HOLDER);
    }

    @Test
    void aHolderThatRenewsPastItsSuccessorIsFound() {
        holds(a, 1, 0, 2_000);
        holds(b, 2, 4_000, 6_000);
        holds(a, 1, 4_500, 7_000);
        assertEquals(List.of(Rule.ONE_HOLDER, Rule.WAITED_FOR, Rule.FENCES_GROW), found());
    }

    @Test
    void aLeaseBeyondWhatWasAgreedIsFound() {
        holds(a, 1, 0, 3_001);
        broken(Rule.LEASES_KEPT);
    }

    @Test
    void whoDoesNotWaitForTheLongestEffectIsFound() {
        holds(a, 1, 0, 2_000);
        a.ended(500 * MS);
        holds(b, 2, 2_999, 5_000);
        broken(Rule.WAITED_FOR);
    }

    @Test
    void whoWaitsForAnEarlierLeaseThanTheLastIsFound() {
        holds(a, 1, 0, 2_000);
        holds(a, 1, 1_000, 3_000);
        yields(a, 1, 3_000);
        holds(b, 2, 3_500, 6_000);
        broken(Rule.WAITED_FOR);
    }

    @Test
    void whoWakesAndGoesOnIsFound() {
        holds(a, 1, 0, 2_000);
        a.stopped(100 * MS, 3_101 * MS);
        holds(a, 1, 3_200, 5_000);
        broken(Rule.YIELDS_FIRST);
    }

    @Test
    void aFenceThatGoesBackIsFound() {
        holds(a, 5, 0, 2_000);
        yields(a, 5, 1_000);
        holds(b, 4, 1_001, 2_000);
        broken(Rule.FENCES_GROW);
    }

    @Test
    void aFenceOrSessionThatIsGivenTwiceIsFound() {
        holds(a, 5, 0, 2_000);
        session(b, 5, 10);
        broken(Rule.FENCES_GROW);
    }

    @Test
    void aSessionOfTwoProcessesIsFound() {
        session(a, 5, 0);
        session(a, 5, 5);
        assertEquals(List.of(), found());
        session(accords.run("a"), 5, 10);
        broken(Rule.FENCES_GROW);
    }

    @Test
    void aPoolThatGoesBackIsFound() {
        plan(a, 2, 1, 0);
        plan(a, 1, 1, 1);
        broken(Rule.PLANS_GO_FORWARD);
    }

    @Test
    void onePlanOfTwoFencesIsFound() {
        plan(a, 1, 1, 0);
        plan(b, 1, 2, 1);
        broken(Rule.PLAN_IS_ONE);
    }

    @Test
    void aLaterPlanUnderAnOlderFenceIsFound() {
        plan(a, 1, 2, 0);
        plan(b, 2, 1, 1);
        broken(Rule.PLAN_IS_ONE);
    }

    @Test
    void whoIsThereWithoutTheLastPlanIsFound() {
        session(a, 1, 0);
        session(b, 2, 0);
        session(c, 3, 0);
        c.said("fleet lost number=3 at=1");
        plan(a, 1, 1, 1);
        a.said("fleet plan pool=q number=1 fence=1 at=1");
        plan(b, 1, 1, 1);
        assertEquals(List.of(), found());
        List<Accords.Said> end = accords.said();
        plan(a, 2, 1, 2);
        plan(b, 2, 1, 2);
        assertEquals(List.of(), accords.judge(new Accords.Bounds(LEASE, EFFECT), List.of(a, b, c), end));
        broken(Rule.SAME_LAST_PLAN);
    }

    @Test
    void aVoterThatIsItselfAgainWithoutItsFolderIsFound() {
        a.said("fleet voter id=x blank=true group=g at=0");
        accords.run("a").said("fleet voter id=x blank=true group=g at=9");
        broken(Rule.BLANK_IS_NEW);
    }

    @Test
    void twoVotersOfOneIdAreFound() {
        a.said("fleet voter id=x blank=true group=g at=0");
        b.said("fleet voter id=x blank=false group=g at=9");
        broken(Rule.BLANK_IS_NEW);
    }
}
