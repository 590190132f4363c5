package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Which server next, and when. */
class ReconnectBackoffTest {
    @Property
    void waitsAreBoundedAndServersAreTriedInOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int servers = random.nextInt(1, 5);
        ReconnectBackoff retry = new ReconnectBackoff(servers, 200, 10_000, random.split());
        int expected = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(expected, retry.server(), "seed " + seed);
            boolean answered = random.nextInt(10) == 0;
            long wait = retry.ended(answered);
            assertTrue(wait >= 160 && wait <= 12_000, "seed " + seed + ": " + wait);
            assertTrue(!answered || wait <= 240, "seed " + seed + ": one that answered is asked again soon");
            expected = answered ? 0 : (expected + 1) % servers;
        }
    }
}
