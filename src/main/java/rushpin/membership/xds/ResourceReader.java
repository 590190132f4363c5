package rushpin.membership.xds;

import com.google.protobuf.Any;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.Duration;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.RoutingPriority;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import java.io.IOException;

/**
 * Reads clusters and endpoints of xDS v3. {@code docs/operate/xds.md} lists which fields are used, ignored and refused.
 * No I/O; host names are not resolved.
 */
public final class ResourceReader {
    /** The type URL of a cluster. */
    public static final String CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /** The type URL of a cluster's endpoints. */
    public static final String ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    /** The filter name in an endpoint's metadata under which start, kind, cell and id may be given. */
    public static final String METADATA = "rushpin";
    /** The protobuf tag of field 1, length-delimited: the name, in both types. */
    private static final int NAME_TAG = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long MAX_DURATION_S = 86_400L * 365;

    private ResourceReader() {}

    /** Reads a cluster. */
    public static ClusterSpec cluster(Any any) throws InvalidResourceException {
        if (!any.getTypeUrl().equals(CLUSTER)) {
            throw new InvalidResourceException("it is of type " + any.getTypeUrl() + "; allowed: " + CLUSTER);
        }
        try {
            return cluster(Cluster.parseFrom(any.getValue()));
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidResourceException("it cannot be read as a Cluster: " + e.getMessage());
        }
    }

    /**
     * The name of a resource, even if the rest is malformed; empty if there is none. It is field 1 of both types, and
     * the last occurrence counts; other fields are skipped.
     */
    public static String name(Any any) {
        String name = "";
        try {
            CodedInputStream in = any.getValue().newCodedInput();
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                if (tag == NAME_TAG) {
                    name = in.readStringRequireUtf8();
                } else if (!in.skipField(tag)) {
                    return "";
                }
            }
            return name;
        } catch (IOException e) {
            return "";
        }
    }

    static ClusterSpec cluster(Cluster from) throws InvalidResourceException {
        if (from.getName().isEmpty()) {
            throw new InvalidResourceException("name is empty");
        }
        if (from.hasClusterType()) {
            throw new InvalidResourceException(
                    "cluster_type " + from.getClusterType().getName() + " is no cluster of this node's; allowed: "
                            + "type EDS or STATIC");
        }
        String edsName = null;
        String edsPath = null;
        Endpoints inline = null;
        switch (from.getType()) {
            case EDS -> {
                if (!from.getEdsClusterConfig().hasEdsConfig()) {
                    throw new InvalidResourceException(
                            "eds_cluster_config.eds_config is missing; allowed: ads or self");
                }
                if (!from.getEdsClusterConfig().getEdsConfig().hasAds()
                        && !from.getEdsClusterConfig().getEdsConfig().hasSelf()
                        && !from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()) {
                    throw new InvalidResourceException(
                            "eds_cluster_config.eds_config names another server; allowed: ads or self");
                }
                String service = from.getEdsClusterConfig().getServiceName();
                edsPath = from.getEdsClusterConfig().getEdsConfig().hasPathConfigSource()
                        ? from.getEdsClusterConfig()
                                .getEdsConfig()
                                .getPathConfigSource()
                                .getPath()
                        : null;
                edsName = service.isEmpty() ? from.getName() : service;
            }
            case STATIC -> {
                if (!from.hasLoadAssignment()) {
                    throw new InvalidResourceException("load_assignment is missing in a STATIC cluster");
                }
                inline = endpoints(from.getLoadAssignment());
            }
            case STRICT_DNS, LOGICAL_DNS ->
                throw new InvalidResourceException("type " + from.getType()
                        + " wants names to be looked up, and look-ups are off here; allowed: EDS, STATIC");
            default ->
                throw new InvalidResourceException(
                        "type " + from.getType() + " is not for this node; allowed: EDS, STATIC");
        }
        long connectTimeout = duration("connect_timeout", from.getConnectTimeout());
        int maxConnections = 0;
        int maxRequests = 0;
        for (CircuitBreakers.Thresholds thresholds : from.getCircuitBreakers().getThresholdsList()) {
            if (thresholds.getPriority() == RoutingPriority.DEFAULT) {
                maxConnections =
                        bound("max_connections", thresholds.hasMaxConnections(), thresholds.getMaxConnections());
                maxRequests = bound("max_requests", thresholds.hasMaxRequests(), thresholds.getMaxRequests());
            }
        }
        return new ClusterSpec(from.getName(), edsName, edsPath, inline, connectTimeout, maxConnections, maxRequests);
    }

    private static int bound(String key, boolean present, UInt32Value value) throws InvalidResourceException {
        if (present && value.getValue() == 0) {
            throw new InvalidResourceException(
                    "circuit_breakers " + key + " is 0, and so no request could be sent; allowed: from 1");
        }
        // The value is unsigned: one that doesn't fit an int sets no bound.
        return present && value.getValue() > 0 ? value.getValue() : 0;
    }

    /** A duration in nanoseconds; {@code key} names it in the error message. */
    static long duration(String key, Duration value) throws InvalidResourceException {
        boolean negative = value.getSeconds() < 0 || value.getNanos() < 0;
        if (negative || value.getSeconds() > MAX_DURATION_S || value.getNanos() >= NANOS_PER_SECOND) {
            throw new InvalidResourceException(
                    key + " is " + value.getSeconds() + " s and " + value.getNanos() + " ns; allowed: 0 to a year");
        }
        return value.getSeconds() * NANOS_PER_SECOND + value.getNanos();
    }

    /** Reads a cluster's endpoints. */
    public static Endpoints endpoints(Any any) throws InvalidResourceException {
        return new AssignmentReader().read(any);
    }

    static Endpoints endpoints(ClusterLoadAssignment from) throws InvalidResourceException {
        return new AssignmentReader().read(from.toByteString());
    }
}
