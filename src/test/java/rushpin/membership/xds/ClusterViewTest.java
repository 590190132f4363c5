package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Readiness;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/** Tests the server list that a pool gets from a cluster and its endpoints, in simulated time. */
class ClusterViewTest implements ClusterView.Port {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of("a", "b"), List.of("m"));
    private static final long SECOND = 1_000_000_000L;
    private static final ClusterSpec CLUSTER = new ClusterSpec("c", "c", null, null, 0, 0, 0);

    private final List<ServerListUpdate> updates = new ArrayList<>();
    private final List<Boolean> whole = new ArrayList<>();
    private final List<String> logs = new ArrayList<>();
    private final Map<String, Member> pool = new TreeMap<>();
    private ClusterView view = view(1, 0, List.of());
    private long now = 100 * SECOND;

    private ClusterView view(double maxRemoved, long guard, List<Member> known) {
        return new ClusterView(NAMES, new ClusterView.Rules(maxRemoved, guard, 15 * SECOND, 60 * SECOND), known, this);
    }

    @Override
    public void list(ServerListUpdate update, boolean isWhole) {
        updates.add(update);
        whole.add(isWhole);
        XdsFixtures.follow(pool, update);
    }

    @Override
    public void log(String text) {
        logs.add(text);
    }

    private static Endpoints.Endpoint endpoint(String id, int port, Readiness readiness, int priority) {
        return new Endpoints.Endpoint(
                id, new InetSocketAddress("127.0.0.1", port), readiness, 1, "a", priority, -1, "m", 0);
    }

    private static Endpoints.Endpoint endpoint(String id, int port) {
        return endpoint(id, port, Readiness.READY, 0);
    }

    private void update(Endpoints.Endpoint... endpoints) {
        view.endpoints(new Endpoints("c", Arrays.asList(endpoints), 0, 0), now, now);
    }

    private long start(String id) {
        return pool.get(id).server().startedAt();
    }

    private Readiness readiness(String id) {
        return pool.get(id).server().readiness();
    }

    @Test
    void serversOfTheFirstListAreWarmAndLaterOnesCold() {
        update(endpoint("a", 1), endpoint("b", 2));
        assertEquals(List.of(true), whole);
        assertEquals(0, start("a"));
        now += SECOND;
        update(endpoint("a", 1), endpoint("b", 2), endpoint("new", 3));
        assertEquals(now, start("new"));
        assertEquals(0, start("a"));
        assertEquals(1, updates.get(1).members().size(), "only changes are reported");
    }

    @Test
    void repeatedUpdateReportsNothing() {
        update(endpoint("a", 1), endpoint("b", 2));
        now += 5 * SECOND;
        view.cluster(CLUSTER, now, now);
        update(endpoint("a", 1), endpoint("b", 2));
        assertEquals(1, updates.size());
    }

    @Test
    void returningServerIsColdUnlessALargeUpdateRemovedIt() {
        update(endpoint("a", 1), endpoint("b", 2), endpoint("c", 3));
        now += SECOND;
        update(endpoint("a", 1), endpoint("b", 2));
        now += SECOND;
        update(endpoint("a", 1), endpoint("b", 2), endpoint("c", 3));
        assertEquals(now, start("c"), "it was removed alone and returned: it was restarted");
        now += SECOND;
        update();
        assertTrue(pool.isEmpty());
        now += SECOND;
        update(endpoint("a", 1), endpoint("b", 2));
        assertEquals(0, start("a"), "an update that empties a cluster restarts no server");
        now += SECOND;
        update();
        now += 61 * SECOND;
        view.time(now, now);
        update(endpoint("a", 1));
        assertEquals(now, start("a"), "the start is forgotten after a minute");
    }

    @Test
    void changedAddressMeansAnotherProcess() {
        update(endpoint("a", 1), endpoint("b", 2));
        now += SECOND;
        update(endpoint("a", 9), endpoint("b", 2));
        assertEquals(now, start("a"));
    }

    @Test
    void removalIsReportedBeforeTheNewServerAtTheAddress() {
        update(endpoint("a", 1), endpoint("b", 2));
        update(endpoint("b", 2), endpoint("z", 1));
        List<Member> change = updates.get(1).members();
        assertEquals("a", change.get(0).server().id());
        assertEquals(Readiness.GONE, change.get(0).server().readiness());
        assertEquals("z", change.get(1).server().id());
    }

    @Test
    void lowestPriorityWithAReadyEndpointIsActiveAndOthersDrain() {
        update(endpoint("a", 1), endpoint("spare", 2, Readiness.READY, 1));
        assertEquals(Readiness.READY, readiness("a"));
        assertEquals(Readiness.DRAINING, readiness("spare"));
        now += SECOND;
        update(endpoint("a", 1, Readiness.DRAINING, 0), endpoint("spare", 2, Readiness.READY, 1));
        assertEquals(Readiness.READY, readiness("spare"));
        assertEquals(0, start("spare"), "it was listed all the time");
    }

    @Test
    void eachChangeBetweenDrainingAndReadyIsReported() {
        update(endpoint("a", 1));
        for (int i = 0; i < 10; i++) {
            now += SECOND / 100;
            Readiness next = i % 2 == 0 ? Readiness.DRAINING : Readiness.READY;
            update(endpoint("a", 1, next, 0));
            assertEquals(next, readiness("a"));
            assertEquals(0, start("a"), "a drain is no start");
        }
        assertEquals(11, updates.size());
    }

    @Test
    void clusterWithoutEndpointsKeepsKnownOnesUntilWarmingEnds() {
        update(endpoint("a", 1));
        view.cluster(CLUSTER, now, now);
        view.cluster(new ClusterSpec("c", "other", null, null, 0, 0, 0), now, now);
        now += 14 * SECOND;
        view.time(now, now);
        assertEquals(1, pool.size(), "warming");
        now += 2 * SECOND;
        view.time(now, now);
        assertTrue(pool.isEmpty());
        assertTrue(logs.get(0).contains("do not come"), logs.toString());
    }

    @Test
    void removedClusterIsEmptyAndReturnsWithItsStarts() {
        view.cluster(CLUSTER, now, now);
        update(endpoint("a", 1), endpoint("b", 2));
        view.cluster(null, now, now);
        assertTrue(pool.isEmpty());
        view.cluster(CLUSTER, now, now);
        update(endpoint("a", 1), endpoint("b", 2));
        assertEquals(0, start("a"));
    }

    @Test
    void staleEndpointsDrainUntilTheyAreSentAgain() {
        Endpoints expiring = new Endpoints("c", List.of(endpoint("a", 1)), 0, 5 * SECOND);
        view.endpoints(expiring, now, now);
        now += 4 * SECOND;
        view.time(now, now);
        assertEquals(Readiness.READY, readiness("a"));
        now += 2 * SECOND;
        view.time(now, now);
        assertEquals(Readiness.DRAINING, readiness("a"));
        view.endpoints(expiring, now, now);
        assertEquals(Readiness.READY, readiness("a"));
        assertEquals(0, start("a"));
    }

    @Test
    void guardHoldsBackOneLargeRemovalButNoDrain() {
        view = view(0.5, 10 * SECOND, List.of());
        update(endpoint("a", 1), endpoint("b", 2), endpoint("c", 3), endpoint("d", 4));
        update(endpoint("a", 1, Readiness.DRAINING, 0));
        assertEquals(4, pool.size(), "held back: " + logs);
        assertEquals(Readiness.DRAINING, readiness("a"), "a drain is deliberate");
        now += 5 * SECOND;
        view.time(now, now);
        assertEquals(4, pool.size());
        update(endpoint("a", 1, Readiness.DRAINING, 0));
        assertEquals(1, pool.size(), "the second update applies");
        update(endpoint("a", 1), endpoint("b", 2), endpoint("c", 3), endpoint("d", 4));
        update(endpoint("a", 1));
        assertEquals(4, pool.size());
        now += 11 * SECOND;
        view.time(now, now);
        assertEquals(1, pool.size(), "no other update came within the guard interval");
    }

    @Test
    void listFromBeforeTheStartKeepsItsStartTimes() {
        update(endpoint("a", 1));
        List<Member> known = view.members();
        updates.clear();
        whole.clear();
        now += 100 * SECOND;
        view = view(1, 0, known);
        update(endpoint("a", 1), endpoint("b", 2));
        assertEquals(0, start("a"));
        assertEquals(now, start("b"), "it appeared while this process was down");
        assertEquals(List.of(false), whole);
    }

    @Test
    void changedWeightChangesOneServer() {
        List<Endpoints.Endpoint> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(new Endpoints.Endpoint(
                    "s" + i, new InetSocketAddress("127.0.0.1", 1 + i), Readiness.READY, 100, "a", 0, -1, "m", 0));
        }
        view.endpoints(new Endpoints("c", List.copyOf(all), 0, 0), now, now);
        assertEquals(1, pool.get("s7").server().size(), 1e-9, "the usual size is 1");
        all.set(
                7,
                new Endpoints.Endpoint(
                        "s7", new InetSocketAddress("127.0.0.1", 8), Readiness.READY, 50, "a", 0, -1, "m", 0));
        view.endpoints(new Endpoints("c", List.copyOf(all), 0, 0), now, now);
        assertEquals(1, updates.get(1).members().size());
        assertEquals(0.5, pool.get("s7").server().size(), 1e-9);
    }

    @Test
    void removedServersAreBoundedWhenTheWholeListIsReplacedAgainAndAgain() {
        for (int i = 0; i < 30; i++) {
            List<Endpoints.Endpoint> all = new ArrayList<>();
            for (int j = 0; j < 1_000; j++) {
                all.add(endpoint(i + "-" + j, 1 + j));
            }
            view.endpoints(new Endpoints("c", all, 0, 0), now, now);
        }
        assertEquals(ClusterView.MAX_REMOVED, view.remembered());
        now += 61 * SECOND;
        view.time(now, now);
        assertEquals(0, view.remembered());
    }
}
