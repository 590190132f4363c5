package rushpin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.judge.Zones.Rule;
import rushpin.judge.Zones.Sent;
import rushpin.judge.Zones.Trouble;

/** Each rule of where requests go is broken here by a record made up for it; a clean one passes. */
class ZonesTest {
    private static final long MS = 1_000_000L, END = 100_000 * MS;
    private static final Zones.Bounds BOUNDS = new Zones.Bounds(1_000 * MS, 3_000 * MS, 2, 1e-6);
    private final Accords accords = new Accords();
    private final Accords.Run one = accords.run("n0"), two = accords.run("n1");
    private final List<Sent> sent = new ArrayList<>();
    private final List<Trouble> troubles = new ArrayList<>();

    private static void told(Accords.Run by, int number, String ways, long at) {
        assertTrue(by.said("fleet agreed number=" + number + " fence=5 ways=" + ways + " at=" + at * MS));
    }

    private static void goes(Accords.Run by, int number, long at) {
        assertTrue(by.said("fleet plan pool=p number=" + number + " fence=5 at=" + at * MS));
    }

    private void sent(Accords.Run by, String of, String to, long at, boolean first) {
        sent.add(new Sent(by, "p", "a", of, to, at * MS, first));
    }

    /** So many one after the other, each 10 ms, of which every {@code each}-th goes to b and the others to a. */
    private void sends(Accords.Run by, int count, int each, long from) {
        for (int i = 0; i < count; i++) {
            sent(by, "p.order", i % each == 0 ? "b" : "a", from + 10 * i, true);
        }
    }

    private List<Rule> found() {
        return Zones.judge(BOUNDS, accords.said(), sent, troubles, END).stream()
                .map(Breach::rule)
                .distinct()
                .toList();
    }

    @Test
    void aRunThatKeepsToItsPlansIsClean() {
        sends(one, 50, 1, 0);
        told(one, 1, "a>a=500,b=500;b>b=1000", 1_000);
        goes(one, 1, 1_001);
        sends(one, 400, 2, 2_100);
        told(one, 2, "a>a=1000;a/p.order>a=750,b=250", 10_000);
        goes(one, 2, 10_001);
        // What was out, and then by the class's own way.
        sent(one, "p.look", "b", 10_900, true);
        sends(one, 400, 4, 11_100);
        sent(one, "p.look", "a", 12_000, true);
        told(one, 3, "-", 20_000);
        goes(one, 3, 20_001);
        sends(one, 100, 1, 22_000);
        assertEquals(List.of(), found());
    }

    @Test
    void aPlanThatNobodyWasToldIsFound() {
        goes(one, 1, 10);
        assertEquals(List.of(Rule.PLANS_KNOWN), found());
    }

    @Test
    void aNumberThatMeansTwoPlansIsFound() {
        told(one, 1, "a>a=1000", 10);
        told(two, 1, "a>b=1000", 20);
        assertEquals(List.of(Rule.PLANS_KNOWN), found());
    }

    @Test
    void whatGoesWhereThePlanDoesNotNameIsFound() {
        told(one, 1, "a>a=1000;a/p.order>b=1000", 10);
        goes(one, 1, 11);
        sent(one, "p.order", "b", 2_000, false);
        sent(one, "p.look", "b", 2_000, false);
        assertEquals(List.of(Rule.ONLY_NAMED), found());
    }

    @Test
    void whatIsStillSentByThePlanBeforeIsFound() {
        told(one, 1, "a>a=1000", 10);
        goes(one, 1, 11);
        told(one, 2, "a>b=1000", 5_000);
        goes(one, 2, 5_001);
        sent(one, "p.order", "a", 6_002, false);
        assertEquals(List.of(Rule.ONLY_NAMED), found());
    }

    @Test
    void aZoneThatGetsMoreThanItsPartIsFound() {
        told(one, 1, "a>a=900,b=100", 0);
        goes(one, 1, 0);
        // A quarter where a tenth was agreed: 150 of 600, 60 and 64 by chance.
        sends(one, 600, 4, 2_000);
        assertEquals(List.of(Rule.PARTS_KEPT), found());
    }

    @Test
    void whatOneAloneCouldDoByChanceIsFoundInTheSum() {
        told(one, 1, "a>a=900,b=100", 0);
        for (Accords.Run run : List.of(one, two, accords.run("n2"), accords.run("n3"))) {
            goes(run, 1, 0);
            sends(run, 100, 3, 2_000);
        }
        assertEquals(List.of(Rule.PARTS_KEPT), found());
    }

    @Test
    void whatCouldNotGoToAZoneInTroubleMayGoToTheOthersOfThePlan() {
        told(one, 1, "a>a=900,b=100", 0);
        goes(one, 1, 0);
        sends(one, 600, 1, 2_000);
        troubles.add(new Trouble("n1", "a", 0, END));
        assertEquals(List.of(Rule.PARTS_KEPT), found());
        troubles.add(new Trouble("n0", "a", 1_500 * MS, 8_100 * MS));
        assertEquals(List.of(), found());
    }

    @Test
    void whoHoldsItsZoneOutSendsNoMoreThanIsSpare() {
        told(one, 1, "a>a=900,b=100+300;c>c=1000", 0);
        goes(one, 1, 0);
        troubles.add(new Trouble("", "a", 0, END, true));
        sends(one, 600, 3, 2_000);
        assertEquals(List.of(), found());
        sends(one, 600, 2, 9_000);
        sends(one, 600, 1, 16_000);
        assertEquals(List.of(Rule.PARTS_KEPT), found());
    }

    @Test
    void theLocalRuleMayKeepMoreNearAndNothingElse() {
        told(one, 1, "a>b=1000;c>c=1000", 0);
        goes(one, 1, 0);
        assertTrue(one.said("fleet rule pool=p rule=local at=" + 1_000 * MS));
        sends(one, 300, 3, 2_100);
        assertEquals(List.of(), found());
        assertTrue(one.said("fleet rule pool=p rule=plan at=" + 5_000 * MS));
        assertEquals(List.of(), found());
        sent(one, "p.order", "a", 6_500, false);
        sent(one, "p.order", "c", 2_500, false);
        assertEquals(2, Zones.judge(BOUNDS, accords.said(), sent, troubles, END).size());
    }

    @Test
    void whoIsTwoPlansBehindIsFoundUnlessItCouldNotHear() {
        for (int plan = 1; plan <= 3; plan++) {
            told(one, plan, "a>a=1000", plan * 100);
            goes(one, plan, plan * 100);
        }
        goes(two, 1, 100);
        goes(two, 3, 3_301);
        assertEquals(List.of(Rule.TWO_PLANS), found());
        two.stopped(250 * MS, 302 * MS);
        assertEquals(List.of(), found());
    }

    @Test
    void whoHasNoSessionIsNotBehind() {
        for (int plan = 1; plan <= 3; plan++) {
            told(one, plan, "a>a=1000", plan * 100);
            goes(one, plan, plan * 100);
        }
        goes(two, 1, 100);
        two.said("fleet lost number=4 at=" + 200 * MS);
        two.said("fleet session number=9 at=" + 50_000 * MS);
        goes(two, 3, 50_100);
        assertEquals(List.of(), found());
        two.said("fleet lost number=9 at=" + 60_000 * MS);
        assertEquals(List.of(), found());
    }

    @Test
    void aZoneThatIsLeftMoreOftenThanAgreedIsFound() {
        int number = 0;
        for (int time = 0; time < 2; time++) {
            told(one, ++number, "a>a=1000", number);
            told(one, ++number, "a>a=400,b=600", number);
            told(one, ++number, "a>b=1000", number);
        }
        told(one, ++number, "a>a=1000", number);
        assertEquals(List.of(), found());
        told(one, ++number, "a>a=499,b=501", number);
        assertEquals(List.of(Rule.MOVES_BOUNDED), found());
    }
}
