package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** A gateway must not hand out units of a customer's quota that others may have used since their last report. */
class UnheardUseTest {
    private static final long MS = 1_000_000L;
    private static final int SAFE = 0;
    /** Ten units a second and a burst of forty, so that a total is recent for a second. */
    private final Host host = new Host(new Plan(10, 40, 0, 1, 0, 1, 0, 0, 0), 4, 0, true).servers(4);

    /** Sends a request that calls the counter, which holds {@code others} units of other gateways by then. */
    private String requestThatCalls(double others) {
        int before = host.counted.size();
        String id = host.request(SAFE, 1);
        assertEquals(before + 1, host.counted.size(), "it calls the counter");
        double own = host.counted.stream().mapToDouble(Host.Counted::amount).sum();
        host.gateway.counted(host.now, host.counted.get(before).name(), Outcome.OK, own + others);
        return id;
    }

    @Test
    void quotaThatOthersUseFastIsKeptForThemUntilTheNextTotal() {
        requestThatCalls(0);
        host.pass(1_050 * MS);
        // The others took 34 units in one second: six units are left, which they may take as fast.
        String admitted = requestThatCalls(34);
        assertTrue(host.refused.isEmpty());
        host.end(admitted, Outcome.OK);
        host.now += 100 * MS;

        int calls = host.counted.size();
        String refused = host.request(SAFE, 1);
        assertEquals(calls, host.counted.size(), "the recent total decides");
        assertEquals(List.of(refused), host.refused);
    }
}
