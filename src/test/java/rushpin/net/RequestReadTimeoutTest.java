package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestReadTimeoutTest {
    private static final long MS = 1_000_000L;
    private final RequestReadTimeout pace = new RequestReadTimeout();

    @Test
    void aHeadHasItsSpan() {
        pace.begin(0);
        assertFalse(pace.isTooSlow(2_400 * MS));
        assertTrue(pace.isTooSlow(2_600 * MS));
    }

    @Test
    void aBodyAtTheLeastRateMayTakeItsTimeAndASlowerOneNot() {
        pace.begin(0);
        for (long ms = 0; ms < 60_000; ms += 100) {
            pace.came(4_000, ms * MS);
            assertFalse(pace.isTooSlow(ms * MS), ms + " ms");
        }
        pace.begin(0);
        boolean slow = false;
        for (long ms = 0; ms < 60_000 && !slow; ms += 100) {
            pace.came(1, ms * MS);
            slow = pace.isTooSlow(ms * MS);
        }
        assertTrue(slow, "a trickle is never silent, and must end all the same");
    }

    @Test
    void whatCameFastAllowsNoSilence() {
        pace.begin(0);
        pace.came(30_000_000, 100 * MS);
        assertFalse(pace.isTooSlow(2_500 * MS));
        assertTrue(pace.isTooSlow(2_700 * MS));
    }

    /** The moment in which it may go on, with nothing read yet: its silence was not its own. */
    @Test
    void whoIsHeldBackIsNeitherSilentNorSlow() {
        pace.begin(0);
        pace.came(100_000, 500 * MS);
        pace.hold(true, 600 * MS);
        pace.hold(true, 700 * MS);
        assertFalse(pace.isTooSlow(60_000 * MS));
        pace.hold(false, 60_000 * MS);
        assertFalse(pace.isTooSlow(60_001 * MS));
        assertFalse(pace.isTooSlow(62_000 * MS));
        assertTrue(pace.isTooSlow(63_000 * MS), "then it counts again");
    }

    @Test
    void aNewRequestBeginsAnew() {
        pace.begin(0);
        pace.hold(true, MS);
        pace.begin(100_000 * MS);
        assertFalse(pace.isTooSlow(102_000 * MS));
        assertTrue(pace.isTooSlow(103_000 * MS));
    }
}
