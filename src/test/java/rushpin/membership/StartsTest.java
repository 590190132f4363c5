package rushpin.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** Starts that the machines' clock has dated, by a clock that goes on. */
class StartsTest {
    private static final long HOUR = 3_600_000_000_000L;

    private static Roll roll(Readiness readiness, String id, long started) {
        return new Roll(1, true, List.of(new Member(new Server(id, 1, 0, 0, 0, readiness, started),
            new InetSocketAddress("127.0.0.1", 80))));
    }

    private static long start(Roll of) {
        return of.members().get(0).server().startedAt();
    }

    @Test
    void withoutAJumpTheListStaysTheVeryList() {
        Roll roll = roll(Readiness.READY, "a", 5 * HOUR);
        assertSame(roll, new Starts().carry(roll, true, 0));
    }

    @Test
    void aStartAfterAJumpIsDatedByThisNodesClock() {
        Starts starts = new Starts();
        assertEquals(5 * HOUR, start(starts.carry(roll(Readiness.READY, "a", 6 * HOUR), true, HOUR)), "set forward by an hour");
        assertEquals(5 * HOUR, start(starts.carry(roll(Readiness.READY, "b", 4 * HOUR), true, -HOUR)), "set back by an hour");
    }

    @Test
    void theSameListToldAgainAfterAJumpMakesNothingColdOrWarm() {
        Starts starts = new Starts();
        long before = start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, 0));
        assertEquals(before, start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, HOUR)));
        assertEquals(before, start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, -HOUR)));
    }

    @Test
    void longAgoStaysLongAgo() {
        assertEquals(0, start(new Starts().carry(roll(Readiness.READY, "a", 0), true, HOUR)));
    }

    @Test
    void whatIsGoneIsForgotten() {
        Starts starts = new Starts();
        starts.carry(roll(Readiness.READY, "a", 5 * HOUR), false, 0);
        starts.carry(roll(Readiness.GONE, "a", 5 * HOUR), false, 0);
        assertEquals(0, starts.size());
        starts.carry(roll(Readiness.READY, "a", 5 * HOUR), false, 0);
        starts.carry(new Roll(2, true, List.of()), true, 0);
        assertEquals(0, starts.size());
    }
}
