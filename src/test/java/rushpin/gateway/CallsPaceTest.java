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

/** How many calls a fleet gives the counter that serves them in turn, so many a second. */
class CallsPaceTest {
    private static final Plan QUOTA = new Plan(40, 80, 0, 1, 0, 1, 0, 0, 0);
    private static final long STEP = 5 * MS, TIMEOUT = 50 * MS, S = 1_000 * MS;
    private static final int CUSTOMERS = 200;

    private static final class Waiting {
        final Host host;
        final long name, at;
        final double amount;
        boolean over;

        Waiting(Host host, Host.Counted call, long at) {
            this.host = host;
            name = call.name();
            amount = call.amount();
            this.at = at;
        }

        void end(Outcome outcome) {
            over = true;
            host.gateway.counted(host.now, name, outcome, amount);
        }
    }

    /** A line that is never left empty for want of calls, and never so long that callers have given up. */
    @ParameterizedTest(name = "{0} gateways, {1} calls a second are borne")
    @CsvSource({"100, 900", "100, 450", "14, 900", "3, 900"})
    void theCountersLineStaysShort(int nodes, int borne) {
        long seed = 17;
        SplittableRandom random = new SplittableRandom(seed);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            hosts.add(new Host(QUOTA, nodes, i, true, random.nextLong(), false).servers(4));
        }
        int[] read = new int[nodes], ended = new int[nodes];
        ArrayDeque<Waiting> line = new ArrayDeque<>();
        double served = 0, calls = 0, answered = 0, most = 1.6 * borne / nodes * STEP / S;
        for (long at = 0; at < 12 * S; at += STEP) {
            for (int i = 0; i < nodes; i++) {
                Host host = hosts.get(i);
                for (double due = most; random.nextDouble() < due; due--) {
                    host.request(SAFE, 0, random.nextInt(CUSTOMERS), 1 + random.nextInt(4), host.now + 3 * S);
                }
                host.pass(STEP);
                for (; ended[i] < host.sent.size(); ended[i]++) {
                    host.end(host.sent.get(ended[i]).id(), Outcome.OK);
                }
                for (; read[i] < host.counted.size(); read[i]++) {
                    Waiting call = new Waiting(host, host.counted.get(read[i]), host.now);
                    calls++;
                    if (line.size() > 2 * TIMEOUT * borne / S) {
                        call.end(Outcome.FULL);
                    } else {
                        line.add(call);
                    }
                }
            }
            for (served += (double) borne * STEP / S; served >= 1 && !line.isEmpty(); served--) {
                Waiting call = line.poll();
                if (!call.over) {
                    answered++;
                    call.end(Outcome.OK);
                }
            }
            served = Math.min(served, 1);
            for (Iterator<Waiting> each = line.iterator(); each.hasNext(); ) {
                Waiting call = each.next();
                if (!call.over && call.host.now - call.at > TIMEOUT) {
                    call.end(Outcome.TIMEOUT);
                }
            }
        }
        String seen = String.format("seed %d: %.0f calls in 12 s, %.0f answered in time", seed, calls, answered);
        assertTrue(answered > 0.85 * calls, seen);
        assertTrue(answered > 0.4 * 12 * borne, seen);
    }

    /** A node that is not let run for 40 ms finds answers that have waited for it: that is no load of the counter's. */
    @Test
    void ownLatenessIsNotTheCounters() {
        for (boolean own : List.of(true, false)) {
            Host host = new Host(QUOTA, 100, 0, true, 7, false).servers(4);
            int calls = 0;
            for (int i = 0; i < 400; i++) {
                int before = host.counted.size();
                host.request(SAFE, 0, i, 1, host.now + 3 * S);
                calls += host.counted.size() - before;
                if (own) {
                    host.now += 40 * MS;
                    host.gateway.timer(host.now, 0);
                } else {
                    host.pass(40 * MS);
                }
                for (Host.Counted call : host.counted.subList(before, host.counted.size())) {
                    host.gateway.counted(host.now, call.name(), Outcome.OK, call.amount());
                }
            }
            // 16 s at 4 a second are 64; a counter that is slow for all is called a quarter as often.
            String seen = calls + " calls, own lateness: " + own;
            assertEquals(own, calls > 60, seen);
            assertFalse(calls == 0, seen);
        }
    }
}
