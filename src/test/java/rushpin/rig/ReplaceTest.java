package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three real processes, one after the other, at one address under load. Its speeds are not looked at. */
@Timeout(180)
class ReplaceTest {
    @Test
    void aNodeWhoseProcessIsReplacedKeepsTheRules() throws Exception {
        Report report = new ReplaceScenario().play(new Scenario.Options(7, true, null, 5));
        assertFalse(report.isEmpty());
        assertEquals("", report.brokenRules(), "seed 7");
    }
}
