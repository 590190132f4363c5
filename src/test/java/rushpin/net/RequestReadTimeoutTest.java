package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a client that sends its request too slowly is rejected. */
class RequestReadTimeoutTest {
    private static final long MS = 1_000_000L;
    private final RequestReadTimeout readTimeout = new RequestReadTimeout();

    @Test
    void aHeadMayTakeTheTimeout() {
        readTimeout.begin(0);
        assertFalse(readTimeout.isExceeded(2_400 * MS));
        assertTrue(readTimeout.isExceeded(2_600 * MS));
    }

    @Test
    void aBodyAtTheMinimumRateMayTakeLongAndASlowerOneMayNot() {
        readTimeout.begin(0);
        for (long ms = 0; ms < 60_000; ms += 100) {
            readTimeout.bodyReceived(4_000, ms * MS);
            assertFalse(readTimeout.isExceeded(ms * MS), ms + " ms");
        }
        readTimeout.begin(0);
        boolean slow = false;
        for (long ms = 0; ms < 60_000 && !slow; ms += 100) {
            readTimeout.bodyReceived(1, ms * MS);
            slow = readTimeout.isExceeded(ms * MS);
        }
        assertTrue(slow, "a trickle is never silent and must be rejected all the same");
    }

    @Test
    void aFastStartDoesNotAllowASilence() {
        readTimeout.begin(0);
        readTimeout.bodyReceived(30_000_000, 100 * MS);
        assertFalse(readTimeout.isExceeded(2_500 * MS));
        assertTrue(readTimeout.isExceeded(2_700 * MS));
    }

    /** Guards against rejecting a client just after reading resumes: the pause must not count as its silence. */
    @Test
    void aPausedClientIsNeitherSilentNorSlow() {
        readTimeout.begin(0);
        readTimeout.bodyReceived(100_000, 500 * MS);
        readTimeout.setPaused(true, 600 * MS);
        readTimeout.setPaused(true, 700 * MS);
        assertFalse(readTimeout.isExceeded(60_000 * MS));
        readTimeout.setPaused(false, 60_000 * MS);
        assertFalse(readTimeout.isExceeded(60_001 * MS));
        assertFalse(readTimeout.isExceeded(62_000 * MS));
        assertTrue(readTimeout.isExceeded(63_000 * MS), "the silence after the pause counts");
    }

    @Test
    void aNewRequestStartsWithANewTimeout() {
        readTimeout.begin(0);
        readTimeout.setPaused(true, MS);
        readTimeout.begin(100_000 * MS);
        assertFalse(readTimeout.isExceeded(102_000 * MS));
        assertTrue(readTimeout.isExceeded(103_000 * MS));
    }
}
