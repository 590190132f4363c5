package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;

import java.util.HashSet;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** A call to the counter that the host ends late, or never: what waits for it goes on without it, and once. */
class LateCallTest {
    /** Half of the ceiling is drawn through the counter, and the quota has to be asked about as well. */
    private static final Plan BOTH = new Plan(4, 8, 0, 1, -1, 1, 40, 72, 4);

    private static final double UNITS = 0.2;

    /** Two requests of a customer wait for the ceiling's pool; the answer that one gets leaves room for both. */
    @Test
    void whatWaitsForAPoolThatDoesNotAnswerAsksForItsQuotaOnce() {
        Host host = new Host(BOTH, 14, 0).servers(4);
        host.pass(20 * MS);
        long late = ask(host, 1);
        long answered = ask(host, 2);
        host.gateway.counted(host.now, answered, Outcome.OK, host.counted.get(1).amount());
        assertEquals(3, host.counted.size(), "under the ceiling the quota is asked about");
        host.pass(110 * MS);
        assertEquals(4, host.counted.size(), "given up, the first goes by the room that was left");
        assertEquals(1, host.sent.size(), "the second's quota had no answer either: divided");
        double taken = host.untold.values().stream().mapToDouble(u -> u).sum();
        // The host ends the call after all, while its request waits for the quota's.
        host.gateway.counted(host.now, late, Outcome.TIMEOUT, 0);
        host.pass(30 * MS);
        assertEquals(4, host.counted.size(), "asked once");
        assertEquals(taken, host.untold.values().stream().mapToDouble(u -> u).sum(), 1e-9, "taken once");
        host.pass(200 * MS);
        assertEquals(2, new HashSet<>(host.sent).size());
        assertEquals(2, host.sent.size());
    }

    /** The call that is added meanwhile must not end the look at the others, nor the rest of the timer's event. */
    @Test
    void theOthersThatAreOverdueAreGivenUpInTheSameLook() {
        Host host = new Host(BOTH, 14, 0).servers(4);
        host.pass(20 * MS);
        ask(host, 1, 1);
        ask(host, 2, 2);
        host.gateway.counted(
                host.now, ask(host, 1, 3), Outcome.OK, host.counted.get(2).amount());
        host.gateway.counted(host.now, host.counted.get(3).name(), Outcome.TIMEOUT, 0);
        host.pass(110 * MS);
        assertEquals(5, host.counted.size(), "the first goes by the room that was left");
        assertEquals(1, host.refused.size(), "the other customer has none");
    }

    private static long ask(Host host, int calls) {
        return ask(host, 1, calls);
    }

    private static long ask(Host host, long customer, int calls) {
        host.request(SAFE, 0, customer, UNITS, host.now + 3_000 * MS);
        assertEquals(calls, host.counted.size());
        return host.counted.get(calls - 1).name();
    }
}
