package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.membership.xds.XdsFixtures.any;
import static rushpin.membership.xds.XdsFixtures.assignment;
import static rushpin.membership.xds.XdsFixtures.eds;
import static rushpin.membership.xds.XdsFixtures.endpoint;
import static rushpin.membership.xds.XdsFixtures.locality;
import static rushpin.membership.xds.XdsFixtures.number;
import static rushpin.membership.xds.XdsFixtures.text;
import static rushpin.membership.xds.XdsFixtures.weighted;
import static rushpin.membership.xds.XdsFixtures.withMetadata;

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

/** Tests which clusters and endpoints are accepted, and which are refused with the name of the field. */
class ResourceReaderTest {
    private static String refusal(LbEndpoint... endpoints) {
        return assertThrows(
                        InvalidResourceException.class, () -> ResourceReader.endpoints(any(assignment("c", endpoints))))
                .getMessage();
    }

    private static String refusal(Cluster cluster) {
        return assertThrows(InvalidResourceException.class, () -> ResourceReader.cluster(any(cluster)))
                .getMessage();
    }

    private static Endpoints.Endpoint read(LbEndpoint endpoint) throws InvalidResourceException {
        return ResourceReader.endpoints(any(assignment("c", endpoint))).all().get(0);
    }

    @Test
    void endpointIsReadWithItsMetadata() throws Exception {
        LbEndpoint from = withMetadata(
                withMetadata(
                        withMetadata(
                                withMetadata(weighted(endpoint(8081), 3), "id", text("s-1")),
                                "started_ms",
                                number(1_700_000_000_000.0)),
                        "kind",
                        text("m")),
                "cell",
                number(2));
        Endpoints.Endpoint read = read(from);
        assertEquals("s-1", read.id());
        assertEquals(1_700_000_000_000_000_000L, read.started());
        assertEquals("m", read.kind());
        assertEquals(2, read.cell());
        assertEquals(3, read.weight());
        assertEquals("a", read.zone());
        Endpoints.Endpoint bare = read(endpoint(8081));
        assertEquals("127.0.0.1:8081", bare.id());
        assertEquals(-1, bare.started(), "not given");
    }

    @ParameterizedTest
    @EnumSource(value = HealthStatus.class, names = "UNRECOGNIZED", mode = EnumSource.Mode.EXCLUDE)
    void eachHealthStatusHasAReadiness(HealthStatus health) throws Exception {
        boolean ready = List.of(HealthStatus.UNKNOWN, HealthStatus.HEALTHY, HealthStatus.DEGRADED)
                .contains(health);
        assertEquals(
                ready ? Readiness.READY : Readiness.DRAINING,
                read(endpoint("10.0.0.1", 80, health)).readiness());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 70_000, -1, 65_536})
    void invalidPortIsRefused(int port) {
        assertTrue(refusal(endpoint(port)).contains("allowed: 1 to 65535"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "localhost", "999.1.1.1", "1.2.3", "example.org", "1.2.3.4.5", ":::", "gg::1"})
    void hostNameIsRefusedAndNotResolved(String host) {
        assertTrue(refusal(endpoint(host, 80, HealthStatus.HEALTHY)).contains("no IP address"));
    }

    @Test
    void ipv6AddressIsAccepted() throws Exception {
        assertEquals(
                80,
                read(endpoint("fe80::1", 80, HealthStatus.HEALTHY)).address().getPort());
    }

    @Test
    void missingFieldIsNamed() {
        assertTrue(refusal(LbEndpoint.getDefaultInstance()).contains("no endpoint"));
        assertTrue(refusal(LbEndpoint.newBuilder()
                        .setEndpoint(Endpoint.getDefaultInstance())
                        .build())
                .contains("socket_address"));
        LbEndpoint pipe = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(
                                Address.newBuilder().setPipe(Pipe.newBuilder().setPath("/run/x"))))
                .build();
        assertTrue(refusal(pipe).contains("socket_address"));
        LbEndpoint named = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("10.0.0.1")
                                        .setNamedPort("http"))))
                .build();
        assertTrue(refusal(named).contains("missing"));
        LbEndpoint udp = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("10.0.0.1")
                                        .setPortValue(1)
                                        .setProtocol(SocketAddress.Protocol.UDP))))
                .build();
        assertTrue(refusal(udp).contains("allowed: TCP"));
    }

    @Test
    void duplicateEndpointIsRefused() {
        assertTrue(refusal(endpoint(80), endpoint(80)).contains("stands there twice"));
        assertTrue(refusal(withMetadata(endpoint(80), "id", text("a")), withMetadata(endpoint(80), "id", text("b")))
                .contains("one address"));
        ClusterLoadAssignment two = ClusterLoadAssignment.newBuilder()
                .setClusterName("c")
                .addEndpoints(locality("a", 0, List.of(endpoint(80))))
                .addEndpoints(locality("b", 0, List.of(endpoint(80))))
                .build();
        assertThrows(InvalidResourceException.class, () -> ResourceReader.endpoints(any(two)), "in two localities");
    }

    @Test
    void invalidNumberIsRefused() {
        assertTrue(refusal(weighted(endpoint(80), 0)).contains("weight"));
        for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY, 1e300}) {
            assertTrue(refusal(withMetadata(endpoint(80), "started_ms", number(bad)))
                    .contains("started_ms"));
        }
        assertTrue(
                refusal(withMetadata(endpoint(80), "started_ms", text("now"))).contains("started_ms"));
        assertTrue(refusal(withMetadata(endpoint(80), "id", text(""))).contains("id"));
    }

    @Test
    void dropOverloadsApplyInSequence() throws Exception {
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
    void clusterIsReadWithItsLimits() throws Exception {
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
    void unsupportedClusterIsRefusedWithTheReason() {
        assertTrue(refusal(eds("c").toBuilder()
                        .setType(Cluster.DiscoveryType.STRICT_DNS)
                        .build())
                .contains("look-ups are off"));
        assertTrue(refusal(eds("c").toBuilder()
                        .setType(Cluster.DiscoveryType.ORIGINAL_DST)
                        .build())
                .contains("allowed: EDS, STATIC"));
        assertTrue(refusal(eds("")).contains("name is empty"));
        assertTrue(refusal(eds("c").toBuilder().clearEdsClusterConfig().build()).contains("eds_config"));
        assertTrue(refusal(eds("c").toBuilder()
                        .setConnectTimeout(Duration.newBuilder().setSeconds(-1))
                        .build())
                .contains("connect_timeout"));
    }

    @Test
    void malformedBytesAreRefused() {
        Any torn = Any.newBuilder()
                .setTypeUrl(ResourceReader.CLUSTER)
                .setValue(ByteString.copyFrom(new byte[] {10, 50, 1}))
                .build();
        assertThrows(InvalidResourceException.class, () -> ResourceReader.cluster(torn));
        assertEquals("", ResourceReader.name(torn));
        assertThrows(InvalidResourceException.class, () -> ResourceReader.endpoints(any(eds("c"))), "another type");
    }

    /** An endpoint whose bytes are unchanged is not parsed again, and the result is the same as if it were. */
    @Test
    void onlyChangedEndpointsAreParsed() throws Exception {
        List<LbEndpoint> all = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            all.add(withMetadata(
                    endpoint("10.1." + i / 256 + "." + i % 256, 80, HealthStatus.HEALTHY), "id", text("s" + i)));
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
        assertEquals(read, reader.read(next), "a refused assignment changes no state");
    }
}
