package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.judge.Judge;
import rushpin.judge.Judge.Rule;

/** What a scenario draws, and what its report says. */
class FaultsTest {
    @Test
    void theSameFaultsComeFromTheSameSeed() {
        List<Faults.Kind> kinds = List.of(Faults.Kind.STALL, Faults.Kind.RESET);
        assertEquals(
                Faults.drawn(7, 60_000, kinds).all(),
                Faults.drawn(7, 60_000, kinds).all());
        assertTrue(Faults.drawn(7, 60_000, kinds).all().size() > 3);
        Faults one = new Faults(List.of(new Faults.Fault(Faults.Kind.LIE, 100, 50)));
        assertEquals(null, one.at(99));
        assertEquals(Faults.Kind.LIE, one.at(100));
        assertEquals(null, one.at(150));
    }

    @Test
    void aReportHoldsOnlyIfAllOfItDoes() {
        Report report = new Report("x", 1);
        report.claim("good", true);
        assertTrue(report.holds());
        report.claim("bad", false);
        assertEquals("bad", report.shortfall());
        report.add(List.of(new Judge.Breach(Rule.DRAINS_KEPT, "w")));
        assertTrue(report.shortfall().contains("DRAINS_KEPT"));
    }
}
