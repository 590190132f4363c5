package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A real process whose servers come and go by xDS under load. Its speeds are not looked at. */
@Timeout(180)
class XdsTest {
    @Test
    void aPoolByXdsKeepsTheRulesOverDrainsEmptiesAndAManagementServersDeath() throws Exception {
        Report report = new XdsScenario().play(new Scenario.Options(7, true, null, 5));
        assertFalse(report.isEmpty());
        assertEquals("", report.brokenRules(), "seed 7");
    }
}
