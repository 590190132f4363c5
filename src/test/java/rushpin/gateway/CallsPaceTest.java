package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** The rate of a fleet's calls to a counter that serves them one after another at a fixed rate. */
class CallsPaceTest {
    private static final Plan QUOTA = new Plan(40, 80, 0, 1, 0, 1, 0, 0, 0);
    private static final long STEP = 5 * MS;
    private static final long TIMEOUT = 50 * MS;
    private static final long SECOND = 1_000 * MS;
    private static final int CUSTOMERS = 200;

    private static final class QueuedCall {
        final Host host;
        final long name;
        final long at;
        final double amount;
        boolean ended;

        QueuedCall(Host host, Host.Counted call, long at) {
            this.host = host;
            name = call.name();
            amount = call.amount();
            this.at = at;
        }

        void end(Outcome outcome) {
            ended = true;
            host.gateway.counted(host.now, name, outcome, amount);
        }
    }

    /** The counter's queue must neither run empty for want of calls nor grow so long that callers time out. */
    @ParameterizedTest(name = "{0} gateways, capacity of {1} calls a second")
    @CsvSource({"100, 900", "100, 450", "14, 900", "3, 900"})
    void queueOfTheCounterStaysShort(int nodes, int capacity) {
        long seed = 17;
        SplittableRandom random = new SplittableRandom(seed);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            hosts.add(new Host(QUOTA, nodes, i, true, random.nextLong(), false).servers(4));
        }
        int[] read = new int[nodes];
        int[] ended = new int[nodes];
        ArrayDeque<QueuedCall> queue = new ArrayDeque<>();
        double served = 0;
        double calls = 0;
        double answered = 0;
        double requestsPerStep = 1.6 * capacity / nodes * STEP / SECOND;
        for (long at = 0; at < 12 * SECOND; at += STEP) {
            for (int i = 0; i < nodes; i++) {
                Host host = hosts.get(i);
                for (double due = requestsPerStep; random.nextDouble() < due; due--) {
                    host.request(SAFE, 0, random.nextInt(CUSTOMERS), 1 + random.nextInt(4), host.now + 3 * SECOND);
                }
                host.pass(STEP);
                for (; ended[i] < host.sent.size(); ended[i]++) {
                    host.end(host.sent.get(ended[i]).id(), Outcome.OK);
                }
                for (; read[i] < host.counted.size(); read[i]++) {
                    QueuedCall call = new QueuedCall(host, host.counted.get(read[i]), host.now);
                    calls++;
                    if (queue.size() > 2 * TIMEOUT * capacity / SECOND) {
                        call.end(Outcome.FULL);
                    } else {
                        queue.add(call);
                    }
                }
            }
            for (served += (double) capacity * STEP / SECOND; served >= 1 && !queue.isEmpty(); served--) {
                QueuedCall call = queue.poll();
                if (!call.ended) {
                    answered++;
                    call.end(Outcome.OK);
                }
            }
            served = Math.min(served, 1);
            for (Iterator<QueuedCall> each = queue.iterator(); each.hasNext(); ) {
                QueuedCall call = each.next();
                if (!call.ended && call.host.now - call.at > TIMEOUT) {
                    call.end(Outcome.TIMEOUT);
                }
            }
        }
        String about = String.format("seed %d: %.0f calls in 12 s, %.0f answered in time", seed, calls, answered);
        assertTrue(answered > 0.85 * calls, about);
        assertTrue(answered > 0.4 * 12 * capacity, about);
    }

    /**
     * A node that does not run for 40 ms finds answers that have waited for it. If it took them for slow answers, it
     * would lower its rate of calls although the counter has capacity.
     */
    @Test
    void ownDelaysDoNotSlowTheCalls() {
        for (boolean delayed : List.of(true, false)) {
            Host host = new Host(QUOTA, 100, 0, true, 7, false).servers(4);
            int calls = 0;
            for (int i = 0; i < 400; i++) {
                int before = host.counted.size();
                host.request(SAFE, 0, i, 1, host.now + 3 * SECOND);
                calls += host.counted.size() - before;
                if (delayed) {
                    host.now += 40 * MS;
                    host.gateway.timer(host.now, 0);
                } else {
                    host.pass(40 * MS);
                }
                for (Host.Counted call : host.counted.subList(before, host.counted.size())) {
                    host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
                }
            }
            // 16 s with 4 calls a second make 64; a counter that is slow for all is called a quarter as often.
            String about = calls + " calls, own delay: " + delayed;
            assertEquals(delayed, calls > 60, about);
            assertFalse(calls == 0, about);
        }
    }
}
