package rushpin.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** Starts that the machines' clock has dated, by a clock that goes on. */
class StartTimesTest {
    private static final long SECOND = 1_000_000_000L, HOUR = 3_600 * SECOND, NOW = 5 * HOUR;

    private static ServerListUpdate roll(Readiness readiness, String id, long started) {
        return new ServerListUpdate(
                1,
                true,
                List.of(new Member(
                        new Server(id, 1, 0, 0, 0, readiness, started), new InetSocketAddress("127.0.0.1", 80))));
    }

    private static long start(ServerListUpdate of) {
        return of.members().get(0).server().startedAt();
    }

    @Test
    void withoutAJumpTheListStaysTheVeryList() {
        ServerListUpdate roll = roll(Readiness.READY, "a", 5 * HOUR);
        assertSame(roll, new StartTimes().carry(roll, true, NOW, 0));
    }

    @Test
    void aStartAfterAJumpIsDatedByThisNodesClock() {
        StartTimes starts = new StartTimes();
        assertEquals(
                5 * HOUR,
                start(starts.carry(roll(Readiness.READY, "a", 6 * HOUR), true, NOW, HOUR)),
                "set forward by an hour");
        assertEquals(
                5 * HOUR,
                start(starts.carry(roll(Readiness.READY, "b", 4 * HOUR), true, NOW, -HOUR)),
                "set back by an hour");
    }

    @Test
    void theSameListToldAgainAfterAJumpMakesNothingColdOrWarm() {
        StartTimes starts = new StartTimes();
        long before = start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, NOW, 0));
        assertEquals(before, start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, NOW, HOUR)));
        assertEquals(before, start(starts.carry(roll(Readiness.READY, "a", 5 * HOUR), true, NOW, -HOUR)));
    }

    /** What was set is unknown: this machine's clock alone, or all machines'. */
    @ParameterizedTest
    @ValueSource(longs = {SECOND, -SECOND, 10 * SECOND, -10 * SECOND, HOUR, -HOUR})
    void aColdServerIsNeverTakenForAWarmOneWhicheverClocksWereSet(long set) {
        for (long age : new long[] {0, SECOND / 2, 5 * SECOND, 11 * SECOND, HOUR / 2, 2 * HOUR}) {
            long started = NOW - age;
            for (long told : new long[] {started, started + set}) {
                long here = start(new StartTimes().carry(roll(Readiness.READY, "a", told), true, NOW, set));
                assertTrue(
                        here >= started, "set by " + set + ", told " + (told - NOW) + ": older by " + (started - here));
                assertTrue(here <= NOW, "not in the future");
                assertTrue(here - started <= Math.abs(set), "no younger than the clock was set by");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {SECOND, -SECOND, 10 * SECOND, -10 * SECOND, HOUR, -HOUR, 0})
    void aStartThatLiesInTheFutureIsAsOfNowAndStaysSo(long set) {
        StartTimes starts = new StartTimes();
        ServerListUpdate ahead = roll(Readiness.READY, "a", NOW + 2 * HOUR);
        assertEquals(NOW, start(starts.carry(ahead, true, NOW, set)));
        assertEquals(NOW, start(starts.carry(ahead, true, NOW + 3 * HOUR, set)), "told again, it is no other start");
        assertEquals(
                NOW + 1,
                start(starts.carry(roll(Readiness.READY, "a", NOW + 3 * HOUR), true, NOW + 1, set)),
                "a restart");
    }

    @Test
    void longAgoStaysLongAgo() {
        assertEquals(0, start(new StartTimes().carry(roll(Readiness.READY, "a", 0), true, NOW, HOUR)));
    }

    @Test
    void whatIsGoneIsForgotten() {
        StartTimes starts = new StartTimes();
        starts.carry(roll(Readiness.READY, "a", 5 * HOUR), false, NOW, 0);
        starts.carry(roll(Readiness.GONE, "a", 5 * HOUR), false, NOW, 0);
        assertEquals(0, starts.size());
        starts.carry(roll(Readiness.READY, "a", 5 * HOUR), false, NOW, 0);
        starts.carry(new ServerListUpdate(2, true, List.of()), true, NOW, 0);
        assertEquals(0, starts.size());
    }
}
