package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;

/** What other gateways may have taken of a customer's quota since they last told is not given away here. */
class UnheardUseTest {
    private static final long MS = 1_000_000L;
    private static final int SAFE = 0;
    /** Ten units a second and a burst of forty: news is young for a second. */
    private final Host host = new Host(new Plan(10, 40, 0, 1, 0, 1, 0, 0, 0), 4, 0, true).servers(4);

    /** A request that asks the counter, which has so many units of others by then. */
    private String askingRequest(double others) {
        int before = host.counted.size();
        String id = host.request(SAFE, 1);
        assertEquals(before + 1, host.counted.size(), "it asks the counter");
        double own = host.counted.stream().mapToDouble(Host.Counted::amount).sum();
        host.gateway.counted(host.now, host.counted.get(before).name(), Outcome.OK, own + others);
        return id;
    }

    @Test
    void aStoreThatOthersDrawOnFastIsLeftToThemUntilTheyAreHeardAgain() {
        askingRequest(0);
        host.pass(1_050 * MS);
        // In one second others took 34: six units are left, and they may go on so.
        String admitted = askingRequest(34);
        assertTrue(host.refused.isEmpty());
        host.end(admitted, Outcome.OK);
        host.now += 100 * MS;

        int calls = host.counted.size();
        String unheard = host.request(SAFE, 1);
        assertEquals(calls, host.counted.size(), "the news is young, and decides");
        assertEquals(List.of(unheard), host.refused);
    }
}
