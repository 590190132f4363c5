package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** When an answer that stops on its way is broken off. */
class ResponseStallDetectorTest {
    private static final long MS = 1_000_000L, DUE = 2_000 * MS;

    @Test
    void nothingIsBrokenOffBeforeItsClientsTimeIsUp() {
        ResponseStallDetector still = new ResponseStallDetector(DUE, 300 * MS);
        assertEquals(DUE - 300 * MS, still.left(300 * MS));
        assertEquals(1, still.left(DUE - 1));
        assertEquals(0, still.left(DUE));
    }

    @Test
    void whatHasPassedTheShortOnesLengthGoesOn() {
        ResponseStallDetector more = new ResponseStallDetector(DUE, 0);
        more.gave(ResponseStallDetector.SHORT, 1);
        assertEquals(0, more.left(DUE));
        more.gave(1, 2);
        assertEquals(-1, more.left(DUE + 60_000 * MS));
    }

    /** However its bytes come: it ends by its span of silence after the last of them, or the client's time if that is later. */
    @Test
    void anEndComesASilenceAfterTheLastByte() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            ResponseStallDetector giving = new ResponseStallDetector(DUE, 0);
            long last = 0, at = 0, looks = 0;
            long next = giving.left(0);
            int pieces = random.nextInt(40);
            for (int i = 0; i < pieces; i++) {
                at += (long) (random.nextDouble() * 400 * MS);
                while (next >= 0 && next <= at && giving.left(next) > 0) {
                    next += giving.left(next);
                    looks++;
                }
                if (next <= at) {
                    break;
                }
                giving.gave(1 + random.nextInt(1_000), at);
                last = at;
            }
            for (; giving.left(next) > 0; looks++) {
                next += giving.left(next);
            }
            assertEquals(Math.max(DUE, last + ResponseStallDetector.SILENCE), next, "seed " + seed);
            assertTrue(looks <= pieces + 2, "seed " + seed + ": looked at " + looks + " times");
        }
    }
}
