package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Four real processes behind a front, handed over, reloaded and killed under load. Its speeds are not looked at. */
@Timeout(180)
class FleetTest {
    @Test
    void aSmallFleetKeepsTheRulesOverHandOversReloadsAndAKill() throws Exception {
        Report report = new FleetScenario().play(new Scenario.Options(7, true, null, 5));
        assertFalse(report.isEmpty());
        assertEquals("", report.brokenRules(), "seed 7");
    }
}
