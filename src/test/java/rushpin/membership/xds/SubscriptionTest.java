package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.membership.xds.XdsFixtures.any;
import static rushpin.membership.xds.XdsFixtures.assignment;
import static rushpin.membership.xds.XdsFixtures.eds;
import static rushpin.membership.xds.XdsFixtures.endpoint;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.membership.xds.Subscription.Answer;
import rushpin.membership.xds.Subscription.Item;
import rushpin.membership.xds.Subscription.ResourceRequest;

/** Tests what a subscription requests, accepts and refuses, message by message. */
class SubscriptionTest {
    private static final String CDS = ResourceReader.CLUSTER;
    private static final String EDS = ResourceReader.ENDPOINTS;

    /** Records the calls of the subscription. */
    static final class Client implements Subscription.Port {
        final List<ResourceRequest> requests = new ArrayList<>();
        final List<Endpoints> assignments = new ArrayList<>();
        final List<String> logs = new ArrayList<>();
        final List<String> giveUps = new ArrayList<>();
        ClusterSpec cluster;
        /** How often the cluster was replaced. */
        int clusterCount;

        @Override
        public void ask(ResourceRequest request) {
            requests.add(request);
        }

        @Override
        public void cluster(ClusterSpec spec) {
            cluster = spec;
            clusterCount++;
        }

        @Override
        public void endpoints(Endpoints endpoints) {
            assignments.add(endpoints);
        }

        @Override
        public void giveUp(String why) {
            giveUps.add(why);
        }

        @Override
        public void log(String text) {
            logs.add(text);
        }

        ResourceRequest last() {
            return requests.get(requests.size() - 1);
        }
    }

    private final Client client = new Client();

    private Subscription subscription(XdsVariant form) {
        Subscription made = new Subscription(form, "c", false, client);
        made.opened();
        return made;
    }

    private static Answer fullAnswer(String type, String version, String nonce, Any... resources) {
        List<Item> items = new ArrayList<>();
        for (Any each : resources) {
            items.add(new Item("", version, each));
        }
        return new Answer(type, version, nonce, items, List.of());
    }

    private static Answer deltaAnswer(String type, String nonce, List<String> removed, Item... items) {
        return new Answer(type, "s", nonce, List.of(items), removed);
    }

    @Test
    void clusterIsRequestedBeforeEndpointsAndAnswersAreAcknowledged() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        assertEquals(
                new ResourceRequest(CDS, "", "", List.of("c"), List.of(), List.of(), Map.of(), null), client.last());
        assertEquals(1, client.requests.size());
        subscription.answered(fullAnswer(CDS, "7", "n1", any(eds("c", "svc"))));
        assertEquals(
                new ResourceRequest(CDS, "7", "n1", List.of("c"), List.of(), List.of(), Map.of(), null),
                client.requests.get(1));
        assertEquals(
                new ResourceRequest(EDS, "", "", List.of("svc"), List.of(), List.of(), Map.of(), null), client.last());
        subscription.answered(fullAnswer(EDS, "3", "n2", any(assignment("svc", endpoint(80)))));
        assertEquals(
                new ResourceRequest(EDS, "3", "n2", List.of("svc"), List.of(), List.of(), Map.of(), null),
                client.last());
        assertEquals(1, client.assignments.get(0).all().size());
    }

    @Test
    void refusalNamesTheResourceAndKeepsTheAcceptedVersion() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.answered(fullAnswer(CDS, "1", "n1", any(eds("c"))));
        Cluster bad =
                eds("c").toBuilder().setType(Cluster.DiscoveryType.STRICT_DNS).build();
        subscription.answered(fullAnswer(CDS, "2", "n2", any(bad), any(eds("other"))));
        assertEquals("1", client.last().version());
        assertEquals("n2", client.last().nonce());
        assertTrue(
                client.last().error().startsWith("c: type STRICT_DNS"),
                client.last().error());
        assertNotNull(client.cluster, "the accepted cluster stays in force");
        assertEquals(1, client.clusterCount);
    }

    @Test
    void goodResourcesOfAPartlyBadAnswerAreAccepted() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.answered(fullAnswer(
                CDS,
                "1",
                "n1",
                any(eds("other").toBuilder()
                        .setType(Cluster.DiscoveryType.LOGICAL_DNS)
                        .build()),
                any(eds("c"))));
        assertNotNull(client.cluster);
        ResourceRequest refusal = client.requests.get(1);
        assertTrue(refusal.error().startsWith("other: "), refusal.error());
        assertEquals("", refusal.version());
    }

    @Test
    void unreadableResourceIsNoRemoval() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.answered(fullAnswer(CDS, "1", "n1", any(eds("c"))));
        subscription.answered(fullAnswer(
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
    void clusterMissingFromTheWorldIsRemovedAndItsEndpointsUnsubscribed() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.answered(fullAnswer(CDS, "1", "n1", any(eds("c"))));
        subscription.answered(fullAnswer(CDS, "2", "n2"));
        assertNull(client.cluster);
        assertEquals(EDS, client.last().type());
        assertEquals(List.of(), client.last().names());
        subscription.answered(fullAnswer(CDS, "3", "n3", any(eds("c"))));
        assertNotNull(client.cluster);
        assertEquals(List.of("c"), client.last().names());
    }

    @Test
    void incrementalVariantRemovesOnlyWhatIsNamed() {
        Subscription subscription = subscription(XdsVariant.DELTA);
        assertEquals(
                new ResourceRequest(CDS, "", "", List.of(), List.of("c"), List.of(), Map.of(), null), client.last());
        subscription.answered(deltaAnswer(CDS, "n1", List.of(), new Item("c", "5", any(eds("c", "svc")))));
        assertEquals(
                new ResourceRequest(EDS, "", "", List.of(), List.of("svc"), List.of(), Map.of(), null), client.last());
        subscription.answered(deltaAnswer(
                EDS, "n2", List.of(), new Item("svc", "6", any(assignment("svc", endpoint(80))))));
        subscription.answered(deltaAnswer(CDS, "n3", List.of("other")));
        assertNotNull(client.cluster);
        subscription.answered(deltaAnswer(CDS, "n4", List.of(), new Item("c", "8", any(eds("c", "svc2")))));
        assertEquals(List.of("svc2"), client.last().subscribe());
        assertEquals(List.of("svc"), client.last().unsubscribe());
        subscription.answered(deltaAnswer(CDS, "n5", List.of("c")));
        assertNull(client.cluster);
        assertEquals(List.of("svc2"), client.last().unsubscribe());
    }

    @Test
    void newStreamSendsHeldVersionsAndNoNonce() {
        Subscription subscription = subscription(XdsVariant.DELTA);
        subscription.answered(deltaAnswer(CDS, "n1", List.of(), new Item("c", "5", any(eds("c")))));
        subscription.answered(deltaAnswer(
                EDS, "n2", List.of(), new Item("c", "6", any(assignment("c", endpoint(80))))));
        subscription.closed();
        client.requests.clear();
        subscription.opened();
        assertEquals(
                new ResourceRequest(CDS, "", "", List.of(), List.of("c"), List.of(), Map.of("c", "5"), null),
                client.requests.get(0));
        assertEquals(
                new ResourceRequest(EDS, "", "", List.of(), List.of("c"), List.of(), Map.of("c", "6"), null),
                client.requests.get(1));
        Client other = new Client();
        Subscription whole = new Subscription(XdsVariant.SOTW, "c", false, other);
        whole.opened();
        whole.answered(fullAnswer(CDS, "4", "n1", any(eds("c"))));
        whole.closed();
        whole.opened();
        assertEquals(
                new ResourceRequest(CDS, "4", "", List.of("c"), List.of(), List.of(), Map.of(), null),
                other.requests.get(3));
    }

    @Test
    void resourceUnderAnotherNameIsRefused() {
        Subscription subscription = subscription(XdsVariant.DELTA);
        subscription.answered(deltaAnswer(CDS, "n1", List.of(), new Item("c", "5", any(eds("d")))));
        assertNull(client.cluster);
        assertTrue(client.last().error().startsWith("c: "));
    }

    @Test
    void answersOfOtherTypesAreIgnoredAndManyOfThemEndTheStream() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        for (int i = 0; i < Subscription.MAX_UNREQUESTED; i++) {
            assertTrue(client.giveUps.isEmpty());
            subscription.answered(fullAnswer("type.googleapis.com/x", "1", "n" + i));
        }
        assertEquals(1, client.giveUps.size());
        assertEquals(1, client.logs.size(), "one log line for all of them");
        assertEquals(1, client.requests.size(), "they lead to no request");
    }

    @Test
    void endpointsThatWereNotRequestedAreIgnored() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.answered(fullAnswer(EDS, "1", "n1", any(assignment("c", endpoint(80)))));
        assertTrue(client.assignments.isEmpty());
    }

    @Test
    void wildcardSelectsItsClusterFromAll() {
        Subscription subscription = new Subscription(XdsVariant.SOTW, "c", true, client);
        subscription.opened();
        assertEquals(List.of("*"), client.last().names());
        subscription.answered(fullAnswer(CDS, "1", "n1", any(eds("a")), any(eds("c")), any(eds("z"))));
        assertEquals("c", client.cluster.name());
    }

    @Test
    void answerAfterTheEndOfTheStreamIsIgnored() {
        Subscription subscription = subscription(XdsVariant.SOTW);
        subscription.closed();
        subscription.answered(fullAnswer(CDS, "1", "n1", any(eds("c"))));
        assertNull(client.cluster);
    }

    @Test
    void versionsOfAnotherServerAreNotSent() {
        Subscription subscription = subscription(XdsVariant.DELTA);
        subscription.answered(deltaAnswer(CDS, "n1", List.of(), new Item("c", "5", any(eds("c")))));
        subscription.closed();
        subscription.opened(false);
        assertEquals(Map.of(), client.last().initial());
        assertNotNull(client.cluster, "the accepted cluster stays in force all the same");
    }
}
