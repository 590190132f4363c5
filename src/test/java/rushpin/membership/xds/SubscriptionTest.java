package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.membership.xds.Worlds.any;
import static rushpin.membership.xds.Worlds.assignment;
import static rushpin.membership.xds.Worlds.eds;
import static rushpin.membership.xds.Worlds.endpoint;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.membership.xds.Subscription.Answer;
import rushpin.membership.xds.Subscription.ResourceRequest;
import rushpin.membership.xds.Subscription.Item;

/** What a subscription asks, takes and refuses, message by message. */
class SubscriptionTest {
    private static final String CDS = ResourceReader.CLUSTER, EDS = ResourceReader.ENDPOINTS;

    /** Writes down what comes out. */
    static final class Client implements Subscription.Port {
        final List<ResourceRequest> asks = new ArrayList<>();
        final List<Endpoints> told = new ArrayList<>();
        final List<String> logs = new ArrayList<>(), givenUp = new ArrayList<>();
        ClusterSpec cluster;
        int clusters;

        @Override
        public void ask(ResourceRequest ask) {
            asks.add(ask);
        }

        @Override
        public void cluster(ClusterSpec spec) {
            cluster = spec;
            clusters++;
        }

        @Override
        public void endpoints(Endpoints endpoints) {
            told.add(endpoints);
        }

        @Override
        public void giveUp(String why) {
            givenUp.add(why);
        }

        @Override
        public void log(String text) {
            logs.add(text);
        }

        Ask last() {
            return asks.get(asks.size() - 1);
        }
    }

    private final Client client = new Client();

    private Subscription subscription(XdsVariant form) {
        Subscription made = new Subscription(form, "c", false, client);
        made.opened();
        return made;
    }

    private static Answer whole(String type, String version, String nonce, Any... of) {
        List<Item> items = new ArrayList<>();
        for (Any each : of) {
            items.add(new Item("", version, each));
        }
        return new Answer(type, version, nonce, items, List.of());
    }

    private static Answer change(String type, String nonce, List<String> removed, Item... of) {
        return new Answer(type, "s", nonce, List.of(of), removed);
    }

    @Test
    void clustersComeBeforeEndpointsAndEachAnswerIsAcknowledged() {
        Subscription s = subscription(XdsVariant.SOTW);
        assertEquals(new ResourceRequest(CDS, "", "", List.of("c"), List.of(), List.of(), Map.of(), null), client.last());
        assertEquals(1, client.asks.size());
        s.answered(whole(CDS, "7", "n1", any(eds("c", "svc"))));
        assertEquals(new ResourceRequest(CDS, "7", "n1", List.of("c"), List.of(), List.of(), Map.of(), null), client.asks.get(1));
        assertEquals(new ResourceRequest(EDS, "", "", List.of("svc"), List.of(), List.of(), Map.of(), null), client.last());
        s.answered(whole(EDS, "3", "n2", any(assignment("svc", endpoint(80)))));
        assertEquals(new ResourceRequest(EDS, "3", "n2", List.of("svc"), List.of(), List.of(), Map.of(), null), client.last());
        assertEquals(1, client.told.get(0).all().size());
    }

    @Test
    void aRefusalNamesTheResourceAndKeepsTheVersionThatWasTaken() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.answered(whole(CDS, "1", "n1", any(eds("c"))));
        Cluster bad =
                eds("c").toBuilder().setType(Cluster.DiscoveryType.STRICT_DNS).build();
        s.answered(whole(CDS, "2", "n2", any(bad), any(eds("other"))));
        assertEquals("1", client.last().version());
        assertEquals("n2", client.last().nonce());
        assertTrue(
                client.last().error().startsWith("c: type STRICT_DNS"),
                client.last().error());
        assertNotNull(client.cluster, "what was taken stays in force");
        assertEquals(1, client.clusters);
    }

    @Test
    void theGoodOnesOfAHalfBadAnswerAreTaken() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.answered(whole(
                CDS,
                "1",
                "n1",
                any(eds("other").toBuilder()
                        .setType(Cluster.DiscoveryType.LOGICAL_DNS)
                        .build()),
                any(eds("c"))));
        assertNotNull(client.cluster);
        ResourceRequest refusal = client.asks.get(1);
        assertTrue(refusal.error().startsWith("other: "), refusal.error());
        assertEquals("", refusal.version());
    }

    @Test
    void anAnyThatCannotBeReadIsNoRemoval() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.answered(whole(CDS, "1", "n1", any(eds("c"))));
        s.answered(whole(
                CDS,
                "2",
                "n2",
                Any.newBuilder()
                        .setTypeUrl(CDS)
                        .setValue(ByteString.copyFrom(new byte[] {10, 9}))
                        .build()));
        assertNotNull(client.cluster);
        assertTrue(client.last().error().startsWith("resource 1: "));
    }

    @Test
    void aClusterThatTheWorldNoLongerNamesIsGoneAndItsEndpointsAreAskedForNoMore() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.answered(whole(CDS, "1", "n1", any(eds("c"))));
        s.answered(whole(CDS, "2", "n2"));
        assertNull(client.cluster);
        assertEquals(EDS, client.last().type());
        assertEquals(List.of(), client.last().names());
        s.answered(whole(CDS, "3", "n3", any(eds("c"))));
        assertNotNull(client.cluster);
        assertEquals(List.of("c"), client.last().names());
    }

    @Test
    void incrementallyOnlyWhatIsNamedAsRemovedIsGone() {
        Subscription s = subscription(XdsVariant.DELTA);
        assertEquals(new ResourceRequest(CDS, "", "", List.of(), List.of("c"), List.of(), Map.of(), null), client.last());
        s.answered(change(CDS, "n1", List.of(), new Item("c", "5", any(eds("c", "svc")))));
        assertEquals(new ResourceRequest(EDS, "", "", List.of(), List.of("svc"), List.of(), Map.of(), null), client.last());
        s.answered(change(EDS, "n2", List.of(), new Item("svc", "6", any(assignment("svc", endpoint(80))))));
        s.answered(change(CDS, "n3", List.of("other")));
        assertNotNull(client.cluster);
        s.answered(change(CDS, "n4", List.of(), new Item("c", "8", any(eds("c", "svc2")))));
        assertEquals(List.of("svc2"), client.last().subscribe());
        assertEquals(List.of("svc"), client.last().unsubscribe());
        s.answered(change(CDS, "n5", List.of("c")));
        assertNull(client.cluster);
        assertEquals(List.of("svc2"), client.last().unsubscribe());
    }

    @Test
    void aNewStreamSaysWhatIsHadAndForgetsNonces() {
        Subscription s = subscription(XdsVariant.DELTA);
        s.answered(change(CDS, "n1", List.of(), new Item("c", "5", any(eds("c")))));
        s.answered(change(EDS, "n2", List.of(), new Item("c", "6", any(assignment("c", endpoint(80))))));
        s.closed();
        client.asks.clear();
        s.opened();
        assertEquals(
                new ResourceRequest(CDS, "", "", List.of(), List.of("c"), List.of(), Map.of("c", "5"), null), client.asks.get(0));
        assertEquals(
                new ResourceRequest(EDS, "", "", List.of(), List.of("c"), List.of(), Map.of("c", "6"), null), client.asks.get(1));
        Client other = new Client();
        Subscription whole = new Subscription(XdsVariant.SOTW, "c", false, other);
        whole.opened();
        whole.answered(whole(CDS, "4", "n1", any(eds("c"))));
        whole.closed();
        whole.opened();
        assertEquals(new ResourceRequest(CDS, "4", "", List.of("c"), List.of(), List.of(), Map.of(), null), other.asks.get(3));
    }

    @Test
    void anItemUnderAnotherNameThanItsOwnIsRefused() {
        Subscription s = subscription(XdsVariant.DELTA);
        s.answered(change(CDS, "n1", List.of(), new Item("c", "5", any(eds("d")))));
        assertNull(client.cluster);
        assertTrue(client.last().error().startsWith("c: "));
    }

    @Test
    void answersOfOtherTypesAreLeftAsideAndAFloodOfThemEndsTheStream() {
        Subscription s = subscription(XdsVariant.SOTW);
        for (int i = 0; i < Subscription.MOST_STRAY; i++) {
            assertTrue(client.givenUp.isEmpty());
            s.answered(whole("type.googleapis.com/x", "1", "n" + i));
        }
        assertEquals(1, client.givenUp.size());
        assertEquals(1, client.logs.size(), "one line, not a hundred");
        assertEquals(1, client.asks.size(), "nothing is asked because of them");
    }

    @Test
    void endpointsThatNobodyAskedForAreNotTaken() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.answered(whole(EDS, "1", "n1", any(assignment("c", endpoint(80)))));
        assertTrue(client.told.isEmpty());
    }

    @Test
    void aWildcardTakesItsClusterOutOfAll() {
        Subscription s = new Subscription(XdsVariant.SOTW, "c", true, client);
        s.opened();
        assertEquals(List.of("*"), client.last().names());
        s.answered(whole(CDS, "1", "n1", any(eds("a")), any(eds("c")), any(eds("z"))));
        assertEquals("c", client.cluster.name());
    }

    @Test
    void anAnswerAfterTheStreamIsOverIsNoAnswer() {
        Subscription s = subscription(XdsVariant.SOTW);
        s.closed();
        s.answered(whole(CDS, "1", "n1", any(eds("c"))));
        assertNull(client.cluster);
    }

    @Test
    void anotherServersVersionsAreNotTakenForItsOwn() {
        Subscription s = subscription(XdsVariant.DELTA);
        s.answered(change(CDS, "n1", List.of(), new Item("c", "5", any(eds("c")))));
        s.closed();
        s.opened(false);
        assertEquals(Map.of(), client.last().initial());
        assertNotNull(client.cluster, "what was had stays in force all the same");
    }
}
