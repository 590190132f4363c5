package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Five real processes that decide in common: the leader killed, the planner stopped and cut off, links at fault over one
 * another, under load. Its speeds are not looked at.
 */
@Tag("long")
@Timeout(600)
class AccordTest {
    @Test
    void whatIsDecidedInCommonHoldsOverAKillAStopACutAndFaultsOfLinks() throws Exception {
        Report report = new AccordScenario().play(new Scenario.Options(7, true, null, 5));
        assertFalse(report.isEmpty());
        assertEquals("", report.shortfall(), "seed 7");
    }
}
