package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the order of management servers and the delays between attempts. */
class ReconnectBackoffTest {
    @Property
    void delaysAreBoundedAndServersAreTriedInOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int servers = random.nextInt(1, 5);
        ReconnectBackoff backoff = new ReconnectBackoff(servers, 200, 10_000, random.split());
        int expected = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(expected, backoff.server(), "seed " + seed);
            boolean answered = random.nextInt(10) == 0;
            long delay = backoff.ended(answered);
            assertTrue(delay >= 160 && delay <= 12_000, "seed " + seed + ": " + delay);
            assertTrue(!answered || delay <= 240, "seed " + seed + ": a server that answered is tried again soon");
            expected = answered ? 0 : (expected + 1) % servers;
        }
    }
}
