package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.HashSet;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** Calls to the counter that the host ends late or never: the waiting requests go on without an answer, once each. */
class LateCallTest {
    /** Half of the ceiling is drawn through the counter, and the quota needs a call as well. */
    private static final Plan QUOTA_AND_CEILING = new Plan(4, 8, 0, 1, -1, 1, 40, 72, 4);

    private static final double UNITS = 0.2;

    /**
     * Two requests of a customer wait for the ceiling's pool; the answer to one leaves room for both. The late end of
     * the other call must not admit its request a second time.
     */
    @Test
    void requestWhosePoolCallIsLateCallsForItsQuotaOnce() {
        Host host = new Host(QUOTA_AND_CEILING, 14, 0).servers(4);
        host.pass(20 * MS);
        long late = requestThatCalls(host, 1);
        long answered = requestThatCalls(host, 2);
        host.gateway.counted(host.now, answered, Outcome.OK, host.counted.get(1).amount());
        assertEquals(3, host.counted.size(), "under the ceiling the quota needs a call");
        host.pass(110 * MS);
        assertEquals(
                4, host.counted.size(), "the first call is given up, and its request uses the units that were left");
        assertEquals(1, host.sent.size(), "the second got no answer about its quota either: the quota is divided");
        double taken = host.unreported.values().stream().mapToDouble(u -> u).sum();
        // The host ends the late call while its request waits for the quota's call.
        host.gateway.counted(host.now, late, Outcome.TIMEOUT, 0);
        host.pass(30 * MS);
        assertEquals(4, host.counted.size(), "no second call");
        assertEquals(
                taken, host.unreported.values().stream().mapToDouble(u -> u).sum(), 1e-9, "units are taken once");
        host.pass(200 * MS);
        assertEquals(2, new HashSet<>(host.sent).size());
        assertEquals(2, host.sent.size());
    }

    /** A call that is added while overdue calls are given up must not end the iteration or the timer event. */
    @Test
    void allOverdueCallsAreGivenUpInOneTimerEvent() {
        Host host = new Host(QUOTA_AND_CEILING, 14, 0).servers(4);
        host.pass(20 * MS);
        requestThatCalls(host, 1, 1);
        requestThatCalls(host, 2, 2);
        host.gateway.counted(
                host.now,
                requestThatCalls(host, 1, 3),
                Outcome.OK,
                host.counted.get(2).amount());
        host.gateway.counted(host.now, host.counted.get(3).name(), Outcome.TIMEOUT, 0);
        host.pass(110 * MS);
        assertEquals(5, host.counted.size(), "the first request uses the units that were left");
        assertEquals(1, host.refused.size(), "the other customer has no units left");
    }

    private static long requestThatCalls(Host host, int calls) {
        return requestThatCalls(host, 1, calls);
    }

    private static long requestThatCalls(Host host, long customer, int calls) {
        host.request(SAFE, 0, customer, UNITS, host.now + 3_000 * MS);
        assertEquals(calls, host.counted.size());
        return host.counted.get(calls - 1).name();
    }
}
