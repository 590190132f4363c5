package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** How old what is read may be: never taken for younger than it is. */
class EarliestArrivalTest {
    private static final long MS = 1_000_000L;

    private static void pass(LoopWatch watch, long at) {
        watch.pollBegins(at);
        watch.socketsRead();
    }

    /** Guards against requests that waited in the queue of a held socket and counted as new. */
    @Test
    void aConnectionThatWaitedIsAsOldAsItsWaitUntilItWasPolled() {
        LoopWatch watch = new LoopWatch(0, Runnable::run);
        pass(watch, 100);
        watch.pollBegins(200);
        EarliestArrival arrival = new EarliestArrival(watch, 40);
        assertEquals(40, arrival.after());
        watch.socketsRead();
        watch.pollBegins(300);
        assertEquals(40, arrival.after(), "the first poll that it is in finds what was there before");
        watch.socketsRead();
        watch.pollBegins(400);
        assertEquals(300, arrival.after(), "what was not there at 300");
    }

    @Test
    void whatNobodyKnowsIsOlderThanAnything() {
        EarliestArrival arrival = new EarliestArrival(new LoopWatch(0, Runnable::run), EarliestArrival.UNKNOWN);
        assertEquals(Long.MAX_VALUE, EarliestArrival.age(arrival.after()));
    }

    /** Guards against what came while a connection was not read from, and counted as new. */
    @Test
    void whatCameWhileNothingWasReadIsAsOldAsThat() {
        LoopWatch watch = new LoopWatch(0, Runnable::run);
        EarliestArrival arrival = new EarliestArrival(watch, 0);
        pass(watch, 100);
        pass(watch, 200);
        pass(watch, 300);
        arrival.pause();
        arrival.pause();
        pass(watch, 400);
        pass(watch, 500);
        assertEquals(300, arrival.after());
        arrival.resume();
        arrival.resume();
        watch.pollBegins(600);
        assertEquals(300, arrival.after());
        watch.socketsRead();
        watch.pollBegins(700);
        assertEquals(600, arrival.after());
    }

    /** However reads and requests lie: no request counts as younger than its last byte. */
    @Property(tries = 300)
    void noRequestCountsAsYoungerThanItsLastByte(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ArrivalTimes times = new ArrivalTimes();
        List<Long> bytes = new ArrayList<>();
        long now = 0;
        int consumed = 0;
        for (int i = 0; i < 300; i++) {
            now += random.nextInt(4) == 0 ? random.nextLong(100 * MS) : random.nextLong(MS);
            int read = 1 + random.nextInt(20);
            times.read(read, now);
            for (int j = 0; j < read; j++) {
                bytes.add(now);
            }
            while (consumed < bytes.size() && random.nextInt(3) > 0) {
                consumed += 1 + random.nextInt(bytes.size() - consumed);
                long after = times.of(bytes.size() - consumed);
                assertTrue(after <= bytes.get(consumed - 1), "seed " + seed);
            }
        }
    }

    /** What is read together is told apart from what came long before it, so that nobody is turned away by another's wait. */
    @Test
    void readsThatAreFarApartAreToldApart() {
        ArrivalTimes times = new ArrivalTimes();
        times.read(10, 100 * MS);
        times.read(10, 105 * MS);
        times.read(10, 900 * MS);
        assertEquals(100 * MS, times.of(20));
        assertEquals(100 * MS, times.of(10));
        assertEquals(900 * MS, times.of(0));
    }

    /** However the loop is stopped: what is read counts as no younger than it is, and the bound is no older than one pass. */
    @Property(tries = 300)
    void theBoundCoversEachStopAndEndsWithTheNextPass(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoopWatch watch = new LoopWatch(0, Runnable::run);
        EarliestArrival arrival = new EarliestArrival(watch, 0);
        long now = 0, polled = 0, polledBefore = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(4) == 0 ? random.nextLong(5_000 * MS) : random.nextLong(30 * MS);
            polledBefore = polled;
            polled = now;
            watch.pollBegins(now);
            // What is found now was not there at the poll before; it came at any time since.
            long came = polledBefore + random.nextLong(polled - polledBefore + 1);
            assertTrue(arrival.after() <= came, "seed " + seed);
            assertTrue(i < 2 || arrival.after() == polledBefore, "seed " + seed);
            watch.socketsRead();
        }
    }
}
