package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.KEYED_ALL;
import static rushpin.gateway.Host.KEYED_CELL;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;
import static rushpin.gateway.Host.UNSAFE;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Readiness;

/** The five rules in their edge cases. */
class RulesTest {
    private final Host host = new Host(Host.FREE, 3, 0);

    @Test
    void requestQueuedTooLongIsRefusedBeforeItsDeadline() {
        String id = host.request(SAFE, 1);
        assertEquals(List.of(), host.sent);
        host.pass(1000 * MS);
        assertEquals(List.of(id), host.refused);
    }

    @Test
    void shortDeadlineBehindALongOneIsAnsweredInTime() {
        Host busy = new Host(Host.FREE, 1, 0).servers(1);
        for (int i = 0; i < 6; i++) {
            busy.request(SAFE, 1);
        }
        busy.request(SAFE, 0, 1, 1, busy.now + 3000 * MS);
        String urgent = busy.request(SAFE, 0, 1, 1, busy.now + 300 * MS);
        busy.pass(300 * MS);
        assertEquals(List.of(urgent), busy.refused);
    }

    @Test
    void emptyListRefusesAllRequestsAfterAGracePeriod() {
        host.servers(1);
        String inFlight = host.request(SAFE, 1);
        for (int i = 0; i < 40; i++) {
            host.request(UNSAFE, 1);
        }
        host.server("a", 0, Readiness.DRAINING, 0);
        host.pass(300 * MS);
        assertEquals(41 - host.sent.size(), host.refused.size(), "what was queued");
        String late = host.request(SAFE, 1);
        assertTrue(host.refused.contains(late), "requests are refused without waiting");
        assertFalse(host.refused.contains(inFlight), "a request in flight ends with its attempt");
        host.server("b", 0, Readiness.READY, 0);
        host.end(inFlight, Outcome.OK);
        host.request(SAFE, 1);
        assertEquals("b", host.sent.get(host.sent.size() - 1).server());
    }

    @Test
    void emptyCachedListRefusesNothing() {
        host.gateway.list(host.now, ListKind.CACHED, List.of());
        String id = host.request(SAFE, 1);
        host.pass(500 * MS);
        assertEquals(List.of(), host.refused);
        host.servers(1);
        assertEquals(1, host.attempts(id).size());
    }

    @Test
    void requestWithNoTimeLeftIsRefusedImmediately() {
        host.servers(1);
        String id = host.request(SAFE, 0, 1, 1, host.now + MS);
        assertEquals(List.of(id), host.refused);
        assertEquals(List.of(), host.sent);
    }

    @Test
    void timeoutAtTheDeadlineStillGetsAnAnswer() {
        host.servers(1);
        String id = host.request(UNSAFE, 1);
        host.now += 3000 * MS;
        host.end(id, Outcome.TIMEOUT, false);
        assertEquals(List.of(id), host.failed);
        assertEquals(List.of(), host.refused);
    }

    @Test
    void noAnswerAfterTheClientHasLeft() {
        host.servers(2);
        String id = host.request(SAFE, 1);
        host.gateway.clientGone(host.now, id);
        host.end(id, Outcome.ERROR, true);
        host.pass(2000 * MS);
        assertEquals(1, host.attempts(id).size());
        assertEquals(List.of(), host.refused);
        assertEquals(List.of(), host.failed);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"OK"},
            mode = EnumSource.Mode.EXCLUDE)
    void unsafeRequestIsRetriedOnlyIfItNeverRan(Outcome outcome) {
        host.servers(3);
        String id = host.request(UNSAFE, 1);
        host.end(id, outcome, false);
        if (outcome.provesNeverRan()) {
            assertEquals(2, host.attempts(id).size());
        } else {
            assertEquals(1, host.attempts(id).size());
            assertEquals(List.of(id), host.failed);
            assertFalse(host.refused.contains(id));
        }
    }

    @Test
    void keyedRequestIsRetriedInItsCell() {
        host.servers(4);
        String id = host.request(KEYED_CELL, 1);
        host.end(id, Outcome.ERROR, false);
        List<Host.Sent> attempts = host.attempts(id);
        assertEquals(2, attempts.size());
        assertNotEquals(attempts.get(0).server(), attempts.get(1).server());
        assertEquals(
                attempts.get(0).server().charAt(0) % 2, attempts.get(1).server().charAt(0) % 2);
    }

    @Test
    void keyedRequestFailsAfterItsWindow() {
        host.servers(4);
        String id = host.request(KEYED_CELL, 1);
        host.now += 700 * MS;
        host.end(id, Outcome.TIMEOUT, false);
        assertEquals(1, host.attempts(id).size());
        assertEquals(List.of(id), host.failed);
    }

    /** A connection may take long and the process may pause, so the rest of the key's window is passed on. */
    @Test
    void retryOfAKeyedRequestHasALimitOnItsStart() {
        host.servers(4);
        String id = host.request(KEYED_CELL, 1);
        host.now += 300 * MS;
        host.end(id, Outcome.RESET, false);
        List<Long> within = host.startWithin(id);
        assertEquals(2, within.size());
        assertEquals(Long.MAX_VALUE, within.get(0));
        assertEquals(700 * MS - 300 * MS - 160 * MS, within.get(1));
    }

    @Test
    void keyedRequestIsNotRetriedIfAPauseCouldExceedItsWindow() {
        host.servers(4);
        String id = host.request(KEYED_CELL, 1);
        host.now += 550 * MS;
        host.end(id, Outcome.RESET, false);
        assertEquals(1, host.attempts(id).size());
        assertEquals(List.of(id), host.failed);
    }

    @Test
    void requestKeyedOverAllServersMayBeRefused() {
        host.servers(4);
        String id = host.request(KEYED_ALL, 1);
        host.now += 700 * MS;
        host.end(id, Outcome.TIMEOUT, false);
        assertEquals(List.of(id), host.refused);
    }

    @Test
    void requestsOverTheConcurrencyLimitWaitWithoutBlockingOthers() {
        Host capped = new Host(new Plan(100, 100, 3, 1, 0, 1, 0, 0, 0), 1, 0).servers(4);
        for (int i = 0; i < 4; i++) {
            capped.request(SAFE, 1);
        }
        assertEquals(3, capped.sent.size());
        capped.request(SAFE, 0, 2, 1, capped.now + 3000 * MS);
        assertEquals("r4", capped.sent.get(3).id());
        capped.end("r0", Outcome.OK);
        assertEquals("r3", capped.sent.get(4).id());
    }

    @Test
    void drainDuringQueueingIsKept() {
        host.servers(1);
        host.server("a", 0, Readiness.DRAINING, 0);
        host.request(SAFE, 1);
        host.pass(100 * MS);
        assertEquals(List.of(), host.sent);
        host.server("a", 0, Readiness.READY, 0);
        assertEquals(1, host.sent.size());
    }

    @Test
    void goneAndBackUnderTheSameIdIsCold() {
        host.servers(1);
        host.server("a", 0, Readiness.GONE, 0);
        host.request(SAFE, 1);
        assertEquals(List.of(), host.sent);
        host.server("a", 0, Readiness.READY, host.now);
        for (int i = 0; i < 20; i++) {
            host.request(SAFE, 1);
        }
        assertTrue(host.sent.size() <= 1, "sent to a cold server at the same time: " + host.sent.size());
    }

    @Test
    void serverMissingFromAFullListIsGone() {
        host.servers(2);
        host.gateway.list(host.now, ListKind.FULL, List.of());
        host.request(SAFE, 1);
        assertEquals(List.of(), host.sent);
    }

    @Test
    void coldServerGetsASmallPart() {
        host.servers(4);
        host.server("z", 0, Readiness.READY, host.now);
        Map<String, Integer> sends = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            String id = host.request(SAFE, 1);
            host.pass(10 * MS);
            host.end(id, Outcome.OK);
        }
        host.sent.forEach(s -> sends.merge(s.server(), 1, Integer::sum));
        int warm = (300 - sends.getOrDefault("z", 0)) / 4;
        assertTrue(sends.getOrDefault("z", 0) > 0, "a cold server must warm");
        assertTrue(sends.get("z") < 0.6 * warm, "cold " + sends.get("z") + " against warm " + warm);
    }

    @Test
    void ceilingHoldsOverAllGatewaysWithoutTheCounterAndOverARestart() {
        Plan plan = new Plan(5, 20, 0, 1, 0, 1, 8, 32, 4);
        double sent = 0;
        for (int me = 0; me < 3; me++) {
            Host one = new Host(plan, 3, me).servers(6);
            sent += flood(one, 300);
            // The same gateway restarts a moment later, with no units under the ceiling.
            Host again = new Host(plan, 3, me).servers(6);
            sent += flood(again, 100);
        }
        assertTrue(sent > 0, "something is let in");
        assertTrue(sent <= 32 + 8 * 4 + 4, "sent " + sent);
    }

    private static double flood(Host host, int ticks) {
        for (int i = 0; i < ticks; i++) {
            int before = host.sent.size();
            host.pass(10 * MS);
            host.request(SAFE, 2);
            host.sent.subList(before, host.sent.size()).stream().toList().forEach(s -> host.end(s.id(), Outcome.OK));
        }
        return 2.0 * host.sent.size();
    }
}
