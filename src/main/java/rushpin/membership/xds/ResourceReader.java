package rushpin.membership.xds;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.RoutingPriority;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.type.v3.FractionalPercent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushpin.gateway.Ports.Readiness;

/**
 * Reads clusters and endpoints of xDS v3. What is used, what is left aside and what is refused stands in
 * {@code docs/operate/xds.md}. No I/O; no name is looked up.
 *
 * <p>Bounds: {@value #MOST_ENDPOINTS} endpoints a cluster.
 */
public final class ResourceReader {
    /** Type of a cluster. */
    public static final String CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /** Type of a cluster's endpoints. */
    public static final String ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    /** The filter's name in an endpoint's metadata under which a start, a kind, a cell and an id may stand. */
    public static final String METADATA = "rushpin";
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    static final int MOST_ENDPOINTS = 20_000;
    private static final int MOST_PORT = 65_535, MOST_ID = 256;
    private static final long S = 1_000_000_000L, MS = 1_000_000L, MOST_SPAN_S = 86_400L * 365;

    private ResourceReader() {
    }

    /** Reads a cluster. */
    public static ClusterSpec cluster(Any any) throws Rejected {
        if (!any.getTypeUrl().equals(CLUSTER)) {
            throw new Rejected("it is of type " + any.getTypeUrl() + "; allowed: " + CLUSTER);
        }
        try {
            return cluster(Cluster.parseFrom(any.getValue()));
        } catch (InvalidProtocolBufferException e) {
            throw new Rejected("it cannot be read as a Cluster: " + e.getMessage());
        }
    }

    /** The name of a resource that may be worth nothing else; empty if there is none. */
    public static String name(Any any) {
        try {
            return switch (any.getTypeUrl()) {
                case CLUSTER -> Cluster.parseFrom(any.getValue()).getName();
                case ENDPOINTS -> ClusterLoadAssignment.parseFrom(any.getValue()).getClusterName();
                default -> "";
            };
        } catch (InvalidProtocolBufferException e) {
            return "";
        }
    }

    static ClusterSpec cluster(Cluster from) throws Rejected {
        if (from.getName().isEmpty()) {
            throw new Rejected("name is empty");
        }
        if (from.hasClusterType()) {
            throw new Rejected("cluster_type " + from.getClusterType().getName() + " is no cluster of this node's; allowed: "
                + "type EDS or STATIC");
        }
        String eds = null, path = null;
        Endpoints inline = null;
        switch (from.getType()) {
            case EDS -> {
                if (!from.getEdsClusterConfig().hasEdsConfig()) {
                    throw new Rejected("eds_cluster_config.eds_config is missing; allowed: ads or self");
                }
                if (!from.getEdsClusterConfig().getEdsConfig().hasAds()
                    && !from.getEdsClusterConfig().getEdsConfig().hasSelf()
                    && !from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()) {
                    throw new Rejected("eds_cluster_config.eds_config names another server; allowed: ads or self");
                }
                String service = from.getEdsClusterConfig().getServiceName();
                path = from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()
                    ? from.getEdsClusterConfig().getEdsConfig().getPathConfigSource().getPath() : null;
                eds = service.isEmpty() ? from.getName() : service;
            }
            case STATIC -> {
                if (!from.hasLoadAssignment()) {
                    throw new Rejected("load_assignment is missing in a STATIC cluster");
                }
                inline = endpoints(from.getLoadAssignment());
            }
            case STRICT_DNS, LOGICAL_DNS -> throw new Rejected("type " + from.getType()
                + " wants names to be looked up, and look-ups are off here; allowed: EDS, STATIC");
            default -> throw new Rejected("type " + from.getType() + " is not for this node; allowed: EDS, STATIC");
        }
        long connect = span("connect_timeout", from.getConnectTimeout());
        int connections = 0, requests = 0;
        for (CircuitBreakers.Thresholds thresholds : from.getCircuitBreakers().getThresholdsList()) {
            if (thresholds.getPriority() == RoutingPriority.DEFAULT) {
                connections = bound("max_connections", thresholds.hasMaxConnections(), thresholds.getMaxConnections());
                requests = bound("max_requests", thresholds.hasMaxRequests(), thresholds.getMaxRequests());
            }
        }
        return new ClusterSpec(from.getName(), eds, path, inline, connect, connections, requests);
    }

    private static int bound(String key, boolean said, UInt32Value value) throws Rejected {
        if (said && value.getValue() == 0) {
            throw new Rejected("circuit_breakers " + key + " is 0, and so no request could be sent; allowed: from 1");
        }
        // Unsigned: what does not fit is no bound at all.
        return said && value.getValue() > 0 ? value.getValue() : 0;
    }

    private static long span(String key, Duration of) throws Rejected {
        boolean negative = of.getSeconds() < 0 || of.getNanos() < 0;
        if (negative || of.getSeconds() > MOST_SPAN_S || of.getNanos() >= S) {
            throw new Rejected(key + " is " + of.getSeconds() + " s and " + of.getNanos() + " ns; allowed: 0 to a year");
        }
        return of.getSeconds() * S + of.getNanos();
    }

    /** Reads a cluster's endpoints. */
    public static Endpoints endpoints(Any any) throws Rejected {
        if (!any.getTypeUrl().equals(ENDPOINTS)) {
            throw new Rejected("it is of type " + any.getTypeUrl() + "; allowed: " + ENDPOINTS);
        }
        try {
            return endpoints(ClusterLoadAssignment.parseFrom(any.getValue()));
        } catch (InvalidProtocolBufferException e) {
            throw new Rejected("it cannot be read as a ClusterLoadAssignment: " + e.getMessage());
        }
    }

    static Endpoints endpoints(ClusterLoadAssignment from) throws Rejected {
        List<Endpoints.One> all = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Map<InetSocketAddress, String> holders = new HashMap<>();
        for (LocalityLbEndpoints locality : from.getEndpointsList()) {
            if (locality.hasLedsClusterLocalityConfig()) {
                throw new Rejected("leds_cluster_locality_config: lists of endpoints apart are not followed; allowed: lb_endpoints");
            }
            if (Integer.compareUnsigned(locality.getPriority(), 128) > 0) {
                throw new Rejected("priority is " + Integer.toUnsignedString(locality.getPriority()) + "; allowed: 0 to 128");
            }
            double part = part(locality);
            for (LbEndpoint endpoint : locality.getLbEndpointsList()) {
                Endpoints.One one = one(endpoint, locality, part);
                if (!ids.add(one.id())) {
                    throw new Rejected("endpoint " + one.id() + " stands there twice; allowed: each once");
                }
                String holder = holders.put(one.address(), one.id());
                if (holder != null) {
                    throw new Rejected("endpoints " + holder + " and " + one.id() + " have one address");
                }
                all.add(one);
                if (all.size() > MOST_ENDPOINTS) {
                    throw new Rejected("it has more than " + MOST_ENDPOINTS + " endpoints");
                }
            }
        }
        double dropped = 0;
        for (ClusterLoadAssignment.Policy.DropOverload drop : from.getPolicy().getDropOverloadsList()) {
            // One after another, as Envoy does: each acts on what the one before lets pass.
            dropped += (1 - dropped) * fraction(drop);
        }
        return new Endpoints(from.getClusterName(), List.copyOf(all), dropped,
            span("policy.endpoint_stale_after", from.getPolicy().getEndpointStaleAfter()));
    }

    /** What each weight in a locality counts, where localities have weights themselves. */
    private static double part(LocalityLbEndpoints of) throws Rejected {
        if (!of.hasLoadBalancingWeight()) {
            return 1;
        }
        double sum = 0;
        for (LbEndpoint endpoint : of.getLbEndpointsList()) {
            sum += weight(endpoint);
        }
        if (of.getLoadBalancingWeight().getValue() == 0) {
            throw new Rejected("load_balancing_weight of locality " + of.getLocality().getZone() + " is 0; allowed: from 1");
        }
        return sum == 0 ? 1 : Integer.toUnsignedLong(of.getLoadBalancingWeight().getValue()) / sum;
    }

    private static double weight(LbEndpoint of) throws Rejected {
        if (!of.hasLoadBalancingWeight()) {
            return 1;
        }
        if (of.getLoadBalancingWeight().getValue() == 0) {
            throw new Rejected("load_balancing_weight of an endpoint is 0; allowed: from 1, or DRAINING for none");
        }
        return Integer.toUnsignedLong(of.getLoadBalancingWeight().getValue());
    }

    private static double fraction(ClusterLoadAssignment.Policy.DropOverload drop) throws Rejected {
        FractionalPercent percent = drop.getDropPercentage();
        double whole = switch (percent.getDenominator()) {
            case HUNDRED -> 100;
            case TEN_THOUSAND -> 10_000;
            case MILLION -> 1_000_000;
            default -> throw new Rejected("drop_percentage of category " + drop.getCategory() + " has a denominator that is none");
        };
        return Math.min(1, Integer.toUnsignedLong(percent.getNumerator()) / whole);
    }

    private static Endpoints.One one(LbEndpoint from, LocalityLbEndpoints locality, double part) throws Rejected {
        if (!from.hasEndpoint()) {
            throw new Rejected("an lb_endpoint has no endpoint; allowed: endpoint, as named ones are not kept");
        }
        InetSocketAddress address = address(from.getEndpoint().getAddress());
        Struct said = from.getMetadata().getFilterMetadataMap().getOrDefault(METADATA, Struct.getDefaultInstance());
        String id = text(said, "id", address.getAddress().getHostAddress() + ":" + address.getPort());
        if (id.isEmpty() || id.length() > MOST_ID) {
            throw new Rejected("metadata " + METADATA + ".id of " + address + " has " + id.length() + " characters; allowed: 1 to " + MOST_ID);
        }
        double started = number(said, "started_ms", -1, id);
        double cell = number(said, "cell", 0, id);
        return new Endpoints.One(id, address, readiness(from.getHealthStatus()), weight(from) * part,
            locality.getLocality().getZone(), locality.getPriority(), started < 0 ? -1 : (long) started * MS,
            text(said, "kind", ""), (int) cell);
    }

    /** A degraded one serves, and the module sees by its answers how well; what fails its checks gets nothing new. */
    private static Readiness readiness(HealthStatus status) throws Rejected {
        return switch (status) {
            case UNKNOWN, HEALTHY, DEGRADED -> Readiness.READY;
            case DRAINING, UNHEALTHY, TIMEOUT -> Readiness.DRAINING;
            default -> throw new Rejected("health_status is a value that is not known");
        };
    }

    private static InetSocketAddress address(Address from) throws Rejected {
        if (!from.hasSocketAddress()) {
            throw new Rejected("an endpoint has no socket_address; allowed: an IP address with a port");
        }
        SocketAddress socket = from.getSocketAddress();
        String host = socket.getAddress();
        int port = socket.getPortValue();
        if (socket.getPortSpecifierCase() != SocketAddress.PortSpecifierCase.PORT_VALUE || port < 1 || port > MOST_PORT) {
            throw new Rejected("port_value of " + host + " is " + (socket.hasPortValue() ? Integer.toUnsignedString(port) : "missing")
                + "; allowed: 1 to " + MOST_PORT);
        }
        if (socket.getProtocol() != SocketAddress.Protocol.TCP) {
            throw new Rejected("protocol of " + host + ":" + port + " is " + socket.getProtocol() + "; allowed: TCP");
        }
        // Only what is an address already: a name would be looked up.
        if (!host.matches(OCTET + "(\\." + OCTET + "){3}|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*")) {
            throw new Rejected("address \"" + host + "\" is no IP address, and look-ups are off; allowed: an IP address");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new Rejected("address \"" + host + "\" is no IP address; allowed: an IP address");
        }
    }

    private static String text(Struct from, String key, String otherwise) throws Rejected {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.hasStringValue()) {
            throw new Rejected("metadata " + METADATA + "." + key + " is no text");
        }
        return value.getStringValue();
    }

    private static double number(Struct from, String key, double otherwise, String id) throws Rejected {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return otherwise;
        }
        double number = value.getNumberValue();
        if (!value.hasNumberValue() || !(number >= 0 && number <= 1e13)) {
            throw new Rejected("metadata " + METADATA + "." + key + " of " + id + " is no number from 0 to 1e13");
        }
        return number;
    }
}
