package rushpin.membership.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.Struct;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Metadata;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import rushpin.membership.Member;
import rushpin.membership.ServerListUpdate;

/** Builds clusters and endpoints as a management server sends them. */
final class XdsFixtures {
    private XdsFixtures() {}

    static Cluster eds(String name) {
        return Cluster.newBuilder()
                .setName(name)
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSource.newBuilder().setAds(AggregatedConfigSource.getDefaultInstance())))
                .setConnectTimeout(Duration.newBuilder().setSeconds(1))
                .build();
    }

    static Cluster eds(String name, String service) {
        Cluster made = eds(name);
        return made.toBuilder()
                .setEdsClusterConfig(made.getEdsClusterConfig().toBuilder().setServiceName(service))
                .build();
    }

    static LbEndpoint endpoint(String host, int port, HealthStatus health) {
        return LbEndpoint.newBuilder()
                .setHealthStatus(health)
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress(host)
                                        .setPortValue(port))))
                .build();
    }

    static LbEndpoint endpoint(int port) {
        return endpoint("127.0.0.1", port, HealthStatus.HEALTHY);
    }

    static LbEndpoint weighted(LbEndpoint endpoint, int weight) {
        return endpoint.toBuilder()
                .setLoadBalancingWeight(UInt32Value.of(weight))
                .build();
    }

    static LbEndpoint withMetadata(LbEndpoint endpoint, String key, Value value) {
        Metadata.Builder all = endpoint.getMetadata().toBuilder();
        Struct before = all.getFilterMetadataOrDefault(ResourceReader.METADATA, Struct.getDefaultInstance());
        return endpoint.toBuilder()
                .setMetadata(all.putFilterMetadata(
                        ResourceReader.METADATA,
                        before.toBuilder().putFields(key, value).build()))
                .build();
    }

    static Value text(String value) {
        return Value.newBuilder().setStringValue(value).build();
    }

    static Value number(double value) {
        return Value.newBuilder().setNumberValue(value).build();
    }

    static LocalityLbEndpoints locality(String zone, int priority, List<LbEndpoint> endpoints) {
        return LocalityLbEndpoints.newBuilder()
                .setLocality(Locality.newBuilder().setZone(zone))
                .setPriority(priority)
                .addAllLbEndpoints(endpoints)
                .build();
    }

    static ClusterLoadAssignment assignment(String name, LbEndpoint... endpoints) {
        return ClusterLoadAssignment.newBuilder()
                .setClusterName(name)
                .addEndpoints(locality("a", 0, Arrays.asList(endpoints)))
                .build();
    }

    static Any any(com.google.protobuf.Message message) {
        return Any.pack(message);
    }

    /** Applies a list, or changes to it, to the members of a pool. */
    static void follow(Map<String, Member> pool, ServerListUpdate update) {
        for (Member member : update.members()) {
            if (member.isGone()) {
                pool.remove(member.server().id());
            } else {
                pool.put(member.server().id(), member);
            }
        }
    }
}
