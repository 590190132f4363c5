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

/** Endpoints as the pool sees them, in simulated time. */
class ClusterViewTest implements ClusterView.Port {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of("a", "b"), List.of("m"));
    private static final long S = 1_000_000_000L;
    private static final ClusterSpec CLUSTER = new ClusterSpec("c", "c", null, null, 0, 0, 0);

    private final List<ServerListUpdate> told = new ArrayList<>();
    private final List<Boolean> whole = new ArrayList<>();
    private final List<String> logs = new ArrayList<>();
    private final Map<String, Member> pool = new TreeMap<>();
    private ClusterView view = view(1, 0, List.of());
    private long now = 100 * S;

    private ClusterView view(double mostRemoved, long guard, List<Member> known) {
        return new ClusterView(NAMES, new ClusterView.Rules(mostRemoved, guard, 15 * S, 60 * S), known, this);
    }

    @Override
    public void list(ServerListUpdate roll, boolean isWhole) {
        told.add(roll);
        whole.add(isWhole);
        Worlds.follow(pool, roll);
    }

    @Override
    public void log(String text) {
        logs.add(text);
    }

    private static Endpoints.Endpoint one(String id, int port, Readiness readiness, int priority) {
        return new Endpoints.Endpoint(id, new InetSocketAddress("127.0.0.1", port), readiness, 1, "a", priority, -1, "m", 0);
    }

    private static Endpoints.Endpoint one(String id, int port) {
        return one(id, port, Readiness.READY, 0);
    }

    private void tell(Endpoints.Endpoint... of) {
        view.endpoints(new Endpoints("c", Arrays.asList(of), 0, 0), now, now);
    }

    private long start(String id) {
        return pool.get(id).server().startedAt();
    }

    private Readiness readiness(String id) {
        return pool.get(id).server().readiness();
    }

    @Test
    void theFirstListIsWarmAndWhatComesLaterIsCold() {
        tell(one("a", 1), one("b", 2));
        assertEquals(List.of(true), whole);
        assertEquals(0, start("a"));
        now += S;
        tell(one("a", 1), one("b", 2), one("new", 3));
        assertEquals(now, start("new"));
        assertEquals(0, start("a"));
        assertEquals(1, told.get(1).members().size(), "only what has changed is told");
    }

    @Test
    void theSameWorldToldAgainTellsThePoolNothing() {
        tell(one("a", 1), one("b", 2));
        now += 5 * S;
        view.cluster(CLUSTER, now, now);
        tell(one("a", 1), one("b", 2));
        assertEquals(1, told.size());
    }

    @Test
    void whatComesBackAloneIsColdAndWhatALargeUpdateTookIsAsItWas() {
        tell(one("a", 1), one("b", 2), one("c", 3));
        now += S;
        tell(one("a", 1), one("b", 2));
        now += S;
        tell(one("a", 1), one("b", 2), one("c", 3));
        assertEquals(now, start("c"), "gone alone and back: it was started again");
        now += S;
        tell();
        assertTrue(pool.isEmpty());
        now += S;
        tell(one("a", 1), one("b", 2));
        assertEquals(0, start("a"), "an update that empties a cluster restarts no server");
        now += S;
        tell();
        now += 61 * S;
        view.time(now, now);
        tell(one("a", 1));
        assertEquals(now, start("a"), "after so long nobody knows");
    }

    @Test
    void anotherAddressIsAnotherProcess() {
        tell(one("a", 1), one("b", 2));
        now += S;
        tell(one("a", 9), one("b", 2));
        assertEquals(now, start("a"));
    }

    @Test
    void whatGoesIsToldBeforeWhoeverHasItsAddress() {
        tell(one("a", 1), one("b", 2));
        tell(one("b", 2), one("z", 1));
        List<Member> change = told.get(1).members();
        assertEquals("a", change.get(0).server().id());
        assertEquals(Readiness.GONE, change.get(0).server().readiness());
        assertEquals("z", change.get(1).server().id());
    }

    @Test
    void theLowestPriorityWithAReadyOneHasAllAndTheOthersDrain() {
        tell(one("a", 1), one("spare", 2, Readiness.READY, 1));
        assertEquals(Readiness.READY, readiness("a"));
        assertEquals(Readiness.DRAINING, readiness("spare"));
        now += S;
        tell(one("a", 1, Readiness.DRAINING, 0), one("spare", 2, Readiness.READY, 1));
        assertEquals(Readiness.READY, readiness("spare"));
        assertEquals(0, start("spare"), "it has been there all the time");
    }

    @Test
    void drainReadyDrainIsToldEachTime() {
        tell(one("a", 1));
        for (int i = 0; i < 10; i++) {
            now += S / 100;
            Readiness next = i % 2 == 0 ? Readiness.DRAINING : Readiness.READY;
            tell(one("a", 1, next, 0));
            assertEquals(next, readiness("a"));
            assertEquals(0, start("a"), "a drain is no start");
        }
        assertEquals(11, told.size());
    }

    @Test
    void aClusterWhoseEndpointsDoNotComeKeepsWhatItHadAndIsThenEmpty() {
        tell(one("a", 1));
        view.cluster(CLUSTER, now, now);
        view.cluster(new ClusterSpec("c", "other", null, null, 0, 0, 0), now, now);
        now += 14 * S;
        view.time(now, now);
        assertEquals(1, pool.size(), "warming");
        now += 2 * S;
        view.time(now, now);
        assertTrue(pool.isEmpty());
        assertTrue(logs.get(0).contains("do not come"), logs.toString());
    }

    @Test
    void aClusterThatIsRemovedIsEmptyAndTheNextUpdateHeals() {
        view.cluster(CLUSTER, now, now);
        tell(one("a", 1), one("b", 2));
        view.cluster(null, now, now);
        assertTrue(pool.isEmpty());
        view.cluster(CLUSTER, now, now);
        tell(one("a", 1), one("b", 2));
        assertEquals(0, start("a"));
    }

    @Test
    void staleEndpointsHaveNothingNewUntilTheyAreToldAgain() {
        Endpoints lasting = new Endpoints("c", List.of(one("a", 1)), 0, 5 * S);
        view.endpoints(lasting, now, now);
        now += 4 * S;
        view.time(now, now);
        assertEquals(Readiness.READY, readiness("a"));
        now += 2 * S;
        view.time(now, now);
        assertEquals(Readiness.DRAINING, readiness("a"));
        view.endpoints(lasting, now, now);
        assertEquals(Readiness.READY, readiness("a"));
        assertEquals(0, start("a"));
    }

    @Test
    void theGuardHoldsBackOneUpdateThatTakesTooMuchAndNoDrain() {
        view = view(0.5, 10 * S, List.of());
        tell(one("a", 1), one("b", 2), one("c", 3), one("d", 4));
        tell(one("a", 1, Readiness.DRAINING, 0));
        assertEquals(4, pool.size(), "held back: " + logs);
        assertEquals(Readiness.DRAINING, readiness("a"), "a drain is a word, not a slip");
        now += 5 * S;
        view.time(now, now);
        assertEquals(4, pool.size());
        tell(one("a", 1, Readiness.DRAINING, 0));
        assertEquals(1, pool.size(), "said again it is meant");
        tell(one("a", 1), one("b", 2), one("c", 3), one("d", 4));
        tell(one("a", 1));
        assertEquals(4, pool.size());
        now += 11 * S;
        view.time(now, now);
        assertEquals(1, pool.size(), "nothing else has come in its span");
    }

    @Test
    void theListFromBeforeTheStartKeepsItsStarts() {
        tell(one("a", 1));
        List<Member> known = view.members();
        told.clear();
        whole.clear();
        now += 100 * S;
        view = view(1, 0, known);
        tell(one("a", 1), one("b", 2));
        assertEquals(0, start("a"));
        assertEquals(now, start("b"), "it came while nobody looked");
        assertEquals(List.of(false), whole);
    }

    @Test
    void oneWeightThatChangesIsOneChange() {
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
        assertEquals(1, told.get(1).members().size());
        assertEquals(0.5, pool.get("s7").server().size(), 1e-9);
    }

    @Test
    void aServerThatReplacesItsWholeListForEverFillsNoTable() {
        for (int i = 0; i < 30; i++) {
            List<Endpoints.Endpoint> all = new ArrayList<>();
            for (int j = 0; j < 1_000; j++) {
                all.add(one(i + "-" + j, 1 + j));
            }
            view.endpoints(new Endpoints("c", all, 0, 0), now, now);
        }
        assertEquals(ClusterView.MOST_LEFT, view.remembered());
        now += 61 * S;
        view.time(now, now);
        assertEquals(0, view.remembered());
    }
}
