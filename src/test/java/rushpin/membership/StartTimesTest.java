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

/** Tests the conversion of start times by the machines' clocks to a clock that is never set. */
class StartTimesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;
    private static final long NOW = 5 * HOUR;

    private static ServerListUpdate update(Readiness readiness, String id, long started) {
        return new ServerListUpdate(
                1,
                true,
                List.of(new Member(
                        new Server(id, 1, 0, 0, 0, readiness, started), new InetSocketAddress("127.0.0.1", 80))));
    }

    private static long start(ServerListUpdate update) {
        return update.members().get(0).server().startedAt();
    }

    @Test
    void withoutClockStepTheSameObjectIsReturned() {
        ServerListUpdate update = update(Readiness.READY, "a", 5 * HOUR);
        assertSame(update, new StartTimes().carry(update, true, NOW, 0));
    }

    @Test
    void startAfterClockStepIsConvertedToThisNodesClock() {
        StartTimes starts = new StartTimes();
        assertEquals(
                5 * HOUR,
                start(starts.carry(update(Readiness.READY, "a", 6 * HOUR), true, NOW, HOUR)),
                "set forward by an hour");
        assertEquals(
                5 * HOUR,
                start(starts.carry(update(Readiness.READY, "b", 4 * HOUR), true, NOW, -HOUR)),
                "set back by an hour");
    }

    @Test
    void repeatedListAfterClockStepChangesNoStart() {
        StartTimes starts = new StartTimes();
        long before = start(starts.carry(update(Readiness.READY, "a", 5 * HOUR), true, NOW, 0));
        assertEquals(before, start(starts.carry(update(Readiness.READY, "a", 5 * HOUR), true, NOW, HOUR)));
        assertEquals(before, start(starts.carry(update(Readiness.READY, "a", 5 * HOUR), true, NOW, -HOUR)));
    }

    /** Whether only this machine's clock was set, or those of all machines, is unknown. */
    @ParameterizedTest
    @ValueSource(longs = {SECOND, -SECOND, 10 * SECOND, -10 * SECOND, HOUR, -HOUR})
    void coldServerIsNeverTakenForWarmWhicheverClocksWereSet(long set) {
        for (long age : new long[] {0, SECOND / 2, 5 * SECOND, 11 * SECOND, HOUR / 2, 2 * HOUR}) {
            long started = NOW - age;
            for (long listed : new long[] {started, started + set}) {
                long converted = start(new StartTimes().carry(update(Readiness.READY, "a", listed), true, NOW, set));
                assertTrue(
                        converted >= started,
                        "set by " + set + ", listed " + (listed - NOW) + ": older by " + (started - converted));
                assertTrue(converted <= NOW, "not in the future");
                assertTrue(converted - started <= Math.abs(set), "no younger than the clock was set by");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {SECOND, -SECOND, 10 * SECOND, -10 * SECOND, HOUR, -HOUR, 0})
    void startInTheFutureBecomesNowAndStaysSo(long set) {
        StartTimes starts = new StartTimes();
        ServerListUpdate ahead = update(Readiness.READY, "a", NOW + 2 * HOUR);
        assertEquals(NOW, start(starts.carry(ahead, true, NOW, set)));
        assertEquals(
                NOW, start(starts.carry(ahead, true, NOW + 3 * HOUR, set)), "listing it again makes no other start");
        assertEquals(
                NOW + 1,
                start(starts.carry(update(Readiness.READY, "a", NOW + 3 * HOUR), true, NOW + 1, set)),
                "a restart");
    }

    @Test
    void zeroStaysZero() {
        assertEquals(0, start(new StartTimes().carry(update(Readiness.READY, "a", 0), true, NOW, HOUR)));
    }

    @Test
    void goneServersAreForgotten() {
        StartTimes starts = new StartTimes();
        starts.carry(update(Readiness.READY, "a", 5 * HOUR), false, NOW, 0);
        starts.carry(update(Readiness.GONE, "a", 5 * HOUR), false, NOW, 0);
        assertEquals(0, starts.size());
        starts.carry(update(Readiness.READY, "a", 5 * HOUR), false, NOW, 0);
        starts.carry(new ServerListUpdate(2, true, List.of()), true, NOW, 0);
        assertEquals(0, starts.size());
    }
}
