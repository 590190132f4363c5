package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.membership.xds.Worlds.any;
import static rushpin.membership.xds.Worlds.assignment;
import static rushpin.membership.xds.Worlds.eds;
import static rushpin.membership.xds.Worlds.endpoint;
import static rushpin.membership.xds.Worlds.locality;
import static rushpin.membership.xds.Worlds.number;
import static rushpin.membership.xds.Worlds.said;
import static rushpin.membership.xds.Worlds.text;
import static rushpin.membership.xds.Worlds.weighted;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Duration;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Pipe;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.type.v3.FractionalPercent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Ports.Readiness;

/** What is taken of clusters and endpoints, and what is refused, by name. */
class ResourceReaderTest {
    private static String refused(LbEndpoint... of) {
        return assertThrows(InvalidResourceException.class, () -> ResourceReader.endpoints(any(assignment("c", of))))
                .getMessage();
    }

    private static String refused(Cluster of) {
        return assertThrows(InvalidResourceException.class, () -> ResourceReader.cluster(any(of)))
                .getMessage();
    }

    private static Endpoints.Endpoint one(LbEndpoint of) throws InvalidResourceException {
        return ResourceReader.endpoints(any(assignment("c", of))).all().get(0);
    }

    @Test
    void anEndpointIsReadWithAllThatItsMetadataSays() throws Exception {
        LbEndpoint from = said(
                said(
                        said(
                                said(weighted(endpoint(8081), 3), "id", text("s-1")),
                                "started_ms",
                                number(1_700_000_000_000.0)),
                        "kind",
                        text("m")),
                "cell",
                number(2));
        Endpoints.Endpoint read = one(from);
        assertEquals("s-1", read.id());
        assertEquals(1_700_000_000_000_000_000L, read.started());
        assertEquals("m", read.kind());
        assertEquals(2, read.cell());
        assertEquals(3, read.weight());
        assertEquals("a", read.zone());
        Endpoints.Endpoint bare = one(endpoint(8081));
        assertEquals("127.0.0.1:8081", bare.id());
        assertEquals(-1, bare.started(), "not said");
    }

    @ParameterizedTest
    @EnumSource(value = HealthStatus.class, names = "UNRECOGNIZED", mode = EnumSource.Mode.EXCLUDE)
    void eachHealthHasAMeaning(HealthStatus health) throws Exception {
        boolean ready = List.of(HealthStatus.UNKNOWN, HealthStatus.HEALTHY, HealthStatus.DEGRADED)
                .contains(health);
        assertEquals(
                ready ? Readiness.READY : Readiness.DRAINING,
                one(endpoint("10.0.0.1", 80, health)).readiness());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 70_000, -1, 65_536})
    void aPortThatIsNoneIsRefused(int port) {
        assertTrue(refused(endpoint(port)).contains("allowed: 1 to 65535"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "localhost", "999.1.1.1", "1.2.3", "example.org", "1.2.3.4.5", ":::", "gg::1"})
    void whatIsNoAddressIsRefusedAndNotLookedUp(String host) {
        assertTrue(refused(endpoint(host, 80, HealthStatus.HEALTHY)).contains("no IP address"));
    }

    @Test
    void sixIsAnAddressToo() throws Exception {
        assertEquals(
                80, one(endpoint("fe80::1", 80, HealthStatus.HEALTHY)).address().getPort());
    }

    @Test
    void whatIsMissingIsNamed() {
        assertTrue(refused(LbEndpoint.getDefaultInstance()).contains("no endpoint"));
        assertTrue(refused(LbEndpoint.newBuilder()
                        .setEndpoint(Endpoint.getDefaultInstance())
                        .build())
                .contains("socket_address"));
        LbEndpoint pipe = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(
                                Address.newBuilder().setPipe(Pipe.newBuilder().setPath("/run/x"))))
                .build();
        assertTrue(refused(pipe).contains("socket_address"));
        LbEndpoint named = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("10.0.0.1")
                                        .setNamedPort("http"))))
                .build();
        assertTrue(refused(named).contains("missing"));
        LbEndpoint udp = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("10.0.0.1")
                                        .setPortValue(1)
                                        .setProtocol(SocketAddress.Protocol.UDP))))
                .build();
        assertTrue(refused(udp).contains("allowed: TCP"));
    }

    @Test
    void whatStandsThereTwiceIsRefused() {
        assertTrue(refused(endpoint(80), endpoint(80)).contains("stands there twice"));
        assertTrue(refused(said(endpoint(80), "id", text("a")), said(endpoint(80), "id", text("b")))
                .contains("one address"));
        ClusterLoadAssignment two = ClusterLoadAssignment.newBuilder()
                .setClusterName("c")
                .addEndpoints(locality("a", 0, List.of(endpoint(80))))
                .addEndpoints(locality("b", 0, List.of(endpoint(80))))
                .build();
        assertThrows(InvalidResourceException.class, () -> ResourceReader.endpoints(any(two)), "in two localities");
    }

    @Test
    void figuresThatAreNoneAreRefused() {
        assertTrue(refused(weighted(endpoint(80), 0)).contains("weight"));
        for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY, 1e300}) {
            assertTrue(refused(said(endpoint(80), "started_ms", number(bad))).contains("started_ms"));
        }
        assertTrue(refused(said(endpoint(80), "started_ms", text("now"))).contains("started_ms"));
        assertTrue(refused(said(endpoint(80), "id", text(""))).contains("id"));
    }

    @Test
    void overloadsAreDroppedOneAfterAnother() throws Exception {
        FractionalPercent half = FractionalPercent.newBuilder()
                .setNumerator(50)
                .setDenominator(FractionalPercent.DenominatorType.HUNDRED)
                .build();
        ClusterLoadAssignment.Policy.DropOverload drop = ClusterLoadAssignment.Policy.DropOverload.newBuilder()
                .setCategory("x")
                .setDropPercentage(half)
                .build();
        Endpoints read = ResourceReader.endpoints(any(assignment("c", endpoint(80)).toBuilder()
                .setPolicy(ClusterLoadAssignment.Policy.newBuilder()
                        .addDropOverloads(drop)
                        .addDropOverloads(drop)
                        .setEndpointStaleAfter(Duration.newBuilder().setSeconds(5)))
                .build()));
        assertEquals(0.75, read.dropped(), 1e-9);
        assertEquals(5_000_000_000L, read.staleAfter());
    }

    @Test
    void aClusterIsReadWithItsBounds() throws Exception {
        Cluster from = eds("c", "s").toBuilder()
                .setCircuitBreakers(CircuitBreakers.newBuilder()
                        .addThresholds(CircuitBreakers.Thresholds.newBuilder()
                                .setMaxConnections(UInt32Value.of(7))
                                .setMaxRequests(UInt32Value.of(9))))
                .build();
        ClusterSpec read = ResourceReader.cluster(any(from));
        assertEquals(new ClusterSpec("c", "s", null, null, 1_000_000_000L, 7, 9), read);
        assertNull(ResourceReader.cluster(any(eds("c"))).inline());
        Cluster fixed = Cluster.newBuilder()
                .setName("c")
                .setType(Cluster.DiscoveryType.STATIC)
                .setLoadAssignment(assignment("c", endpoint(80)))
                .build();
        assertEquals(1, ResourceReader.cluster(any(fixed)).inline().all().size());
    }

    @Test
    void clustersThatAreNotForThisNodeAreRefusedWithTheReason() {
        assertTrue(refused(eds("c").toBuilder()
                        .setType(Cluster.DiscoveryType.STRICT_DNS)
                        .build())
                .contains("look-ups are off"));
        assertTrue(refused(eds("c").toBuilder()
                        .setType(Cluster.DiscoveryType.ORIGINAL_DST)
                        .build())
                .contains("allowed: EDS, STATIC"));
        assertTrue(refused(eds("")).contains("name is empty"));
        assertTrue(refused(eds("c").toBuilder().clearEdsClusterConfig().build()).contains("eds_config"));
        assertTrue(refused(eds("c").toBuilder()
                        .setConnectTimeout(Duration.newBuilder().setSeconds(-1))
                        .build())
                .contains("connect_timeout"));
    }

    @Test
    void bytesThatAreNoResourceAreRefused() {
        Any torn = Any.newBuilder()
                .setTypeUrl(ResourceReader.CLUSTER)
                .setValue(ByteString.copyFrom(new byte[] {10, 50, 1}))
                .build();
        assertThrows(InvalidResourceException.class, () -> ResourceReader.cluster(torn));
        assertEquals("", ResourceReader.name(torn));
        assertThrows(InvalidResourceException.class, () -> ResourceReader.endpoints(any(eds("c"))), "another type");
    }

    /** What has stood there before in the same bytes is not parsed again, and reads the same as if it were. */
    @Test
    void oneChangeAmongThousandsIsOneThatIsParsed() throws Exception {
        List<LbEndpoint> all = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            all.add(said(endpoint("10.1." + i / 256 + "." + i % 256, 80, HealthStatus.HEALTHY), "id", text("s" + i)));
        }
        AssignmentReader reader = new AssignmentReader();
        reader.read(any(assignment("c", all.toArray(LbEndpoint[]::new))));
        assertEquals(5_000, reader.parsed());
        all.set(7, endpoint("10.2.0.1", 80, HealthStatus.DRAINING));
        all.remove(9);
        Any next = any(assignment("c", all.toArray(LbEndpoint[]::new)));
        Endpoints read = reader.read(next);
        assertEquals(1, reader.parsed());
        assertEquals(new AssignmentReader().read(next), read);
        assertThrows(InvalidResourceException.class, () -> reader.read(any(assignment("c", endpoint(0)))));
        assertEquals(read, reader.read(next), "what was refused leaves no trace");
    }
}
