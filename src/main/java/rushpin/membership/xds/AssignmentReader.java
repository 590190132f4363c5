package rushpin.membership.xds;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.type.v3.FractionalPercent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import rushpin.gateway.Ports.Readiness;

/**
 * Reads a cluster's endpoints. An assignment is sent whole even if one endpoint of thousands has changed, so endpoints
 * whose bytes equal those in the previous assignment are reused, and only the others are parsed. No I/O; host names are
 * not resolved.
 *
 * <p>Bounds: {@value #MAX_ENDPOINTS} endpoints; the bytes of the last assignment are kept.
 */
public final class AssignmentReader {
    static final int MAX_ENDPOINTS = 20_000;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_ID_LENGTH = 256;
    private static final int MAX_PRIORITY = 128;
    private static final long MS = 1_000_000L;
    private static final String METADATA = ResourceReader.METADATA;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");
    /** The protobuf tag of {@code ClusterLoadAssignment.endpoints}. */
    private static final int LOCALITY_TAG = 2 << 3 | 2;
    /** The protobuf tag of {@code LocalityLbEndpoints.lb_endpoints}. */
    private static final int ENDPOINT_TAG = 2 << 3 | 2;

    /** An endpoint as read from its own bytes, without the fields of its locality. */
    private record ParsedEndpoint(
            String id,
            InetSocketAddress address,
            Readiness readiness,
            double weight,
            long started,
            String kind,
            int cell) {}

    /** The endpoints of the last accepted assignment, by their bytes. */
    private Map<ByteString, ParsedEndpoint> before = Map.of();
    /** The number of endpoints that the last read parsed. */
    private int parsed;

    /** The number of endpoints that the last read parsed; the others were reused. */
    int parsed() {
        return parsed;
    }

    /** Reads an assignment, and keeps its endpoints for the next one. */
    public Endpoints read(Any any) throws InvalidResourceException {
        if (!any.getTypeUrl().equals(ResourceReader.ENDPOINTS)) {
            throw new InvalidResourceException(
                    "it is of type " + any.getTypeUrl() + "; allowed: " + ResourceReader.ENDPOINTS);
        }
        return read(any.getValue());
    }

    Endpoints read(ByteString bytes) throws InvalidResourceException {
        try {
            return parse(bytes);
        } catch (IOException e) {
            throw new InvalidResourceException("it cannot be read as a ClusterLoadAssignment: " + e.getMessage());
        }
    }

    private Endpoints parse(ByteString bytes) throws IOException, InvalidResourceException {
        List<ByteString> localities = new ArrayList<>();
        ClusterLoadAssignment from = ClusterLoadAssignment.parseFrom(split(bytes, LOCALITY_TAG, localities));
        Map<ByteString, ParsedEndpoint> now = new HashMap<>();
        List<Endpoints.Endpoint> all = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Map<InetSocketAddress, String> holders = new HashMap<>();
        parsed = 0;
        for (ByteString each : localities) {
            List<ByteString> inside = new ArrayList<>();
            LocalityLbEndpoints locality = LocalityLbEndpoints.parseFrom(split(each, ENDPOINT_TAG, inside));
            if (locality.hasLedsClusterLocalityConfig()) {
                throw new InvalidResourceException(
                        "leds_cluster_locality_config: separate lists are not followed; allowed: lb_endpoints");
            }
            if (Integer.compareUnsigned(locality.getPriority(), MAX_PRIORITY) > 0) {
                throw new InvalidResourceException("priority is " + Integer.toUnsignedString(locality.getPriority())
                        + "; allowed: 0 to " + MAX_PRIORITY);
            }
            if (all.size() + inside.size() > MAX_ENDPOINTS) {
                throw new InvalidResourceException("it has more than " + MAX_ENDPOINTS + " endpoints");
            }
            List<ParsedEndpoint> endpoints = new ArrayList<>(inside.size());
            for (ByteString one : inside) {
                ParsedEndpoint endpoint = before.get(one);
                if (endpoint == null) {
                    endpoint = parseEndpoint(LbEndpoint.parseFrom(one));
                    parsed++;
                }
                now.put(one, endpoint);
                endpoints.add(endpoint);
            }
            double factor = weightFactor(locality, endpoints);
            for (ParsedEndpoint endpoint : endpoints) {
                if (!ids.add(endpoint.id)) {
                    throw new InvalidResourceException(
                            "endpoint " + endpoint.id + " stands there twice; allowed: each once");
                }
                String holder = holders.put(endpoint.address, endpoint.id);
                if (holder != null) {
                    throw new InvalidResourceException(
                            "endpoints " + holder + " and " + endpoint.id + " have one address");
                }
                all.add(new Endpoints.Endpoint(
                        endpoint.id,
                        endpoint.address,
                        endpoint.readiness,
                        endpoint.weight * factor,
                        locality.getLocality().getZone(),
                        locality.getPriority(),
                        endpoint.started,
                        endpoint.kind,
                        endpoint.cell));
            }
        }
        double dropped = 0;
        for (ClusterLoadAssignment.Policy.DropOverload drop : from.getPolicy().getDropOverloadsList()) {
            // Applied in sequence, as Envoy does: each drops a part of what the one before lets pass.
            dropped += (1 - dropped) * fraction(drop);
        }
        long staleAfter = ResourceReader.duration(
                "policy.endpoint_stale_after", from.getPolicy().getEndpointStaleAfter());
        before = now;
        return new Endpoints(from.getClusterName(), List.copyOf(all), dropped, staleAfter);
    }

    /** Returns the message without the fields of one tag, and adds the bytes of these to {@code out}. */
    private static ByteString split(ByteString message, int tag, List<ByteString> out) throws IOException {
        CodedInputStream in = message.newCodedInput();
        in.enableAliasing(true);
        ByteString rest = ByteString.EMPTY;
        int start = 0;
        for (int next = in.readTag(); next != 0; next = in.readTag()) {
            if (next == tag) {
                out.add(in.readBytes());
            } else {
                if (!in.skipField(next)) {
                    throw new InvalidProtocolBufferException("unmatched end of a group");
                }
                rest = rest.concat(message.substring(start, in.getTotalBytesRead()));
            }
            start = in.getTotalBytesRead();
        }
        return rest;
    }

    /** The factor for the endpoint weights of a locality, which scales their sum to the weight of the locality. */
    private static double weightFactor(LocalityLbEndpoints locality, List<ParsedEndpoint> endpoints)
            throws InvalidResourceException {
        if (!locality.hasLoadBalancingWeight()) {
            return 1;
        }
        double sum = 0;
        for (ParsedEndpoint each : endpoints) {
            sum += each.weight;
        }
        if (locality.getLoadBalancingWeight().getValue() == 0) {
            throw new InvalidResourceException("load_balancing_weight of locality "
                    + locality.getLocality().getZone() + " is 0; allowed: from 1");
        }
        return sum == 0
                ? 1
                : Integer.toUnsignedLong(locality.getLoadBalancingWeight().getValue()) / sum;
    }

    private static double weight(LbEndpoint endpoint) throws InvalidResourceException {
        if (!endpoint.hasLoadBalancingWeight()) {
            return 1;
        }
        if (endpoint.getLoadBalancingWeight().getValue() == 0) {
            throw new InvalidResourceException(
                    "load_balancing_weight of an endpoint is 0; allowed: from 1, or DRAINING for none");
        }
        return Integer.toUnsignedLong(endpoint.getLoadBalancingWeight().getValue());
    }

    private static double fraction(ClusterLoadAssignment.Policy.DropOverload drop) throws InvalidResourceException {
        FractionalPercent percent = drop.getDropPercentage();
        double whole = switch (percent.getDenominator()) {
            case HUNDRED -> 100;
            case TEN_THOUSAND -> 10_000;
            case MILLION -> 1_000_000;
            default ->
                throw new InvalidResourceException("drop_percentage of category " + drop.getCategory()
                        + " has an unknown denominator; allowed: HUNDRED, TEN_THOUSAND, MILLION");
        };
        return Math.min(1, Integer.toUnsignedLong(percent.getNumerator()) / whole);
    }

    private static ParsedEndpoint parseEndpoint(LbEndpoint from) throws InvalidResourceException {
        if (!from.hasEndpoint()) {
            throw new InvalidResourceException(
                    "an lb_endpoint has no endpoint; allowed: endpoint, as named ones are not kept");
        }
        InetSocketAddress address = address(from.getEndpoint().getAddress());
        Struct metadata = from.getMetadata().getFilterMetadataMap().getOrDefault(METADATA, Struct.getDefaultInstance());
        String id = text(metadata, "id", address.getAddress().getHostAddress() + ":" + address.getPort());
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new InvalidResourceException("metadata " + METADATA + ".id of " + address + " has " + id.length()
                    + " characters; allowed: 1 to " + MAX_ID_LENGTH);
        }
        double started = number(metadata, "started_ms", -1, id);
        double cell = number(metadata, "cell", 0, id);
        return new ParsedEndpoint(
                id,
                address,
                readiness(from.getHealthStatus()),
                weight(from),
                started < 0 ? -1 : (long) started * MS,
                text(metadata, "kind", ""),
                (int) cell);
    }

    /**
     * A degraded endpoint is ready: the gateway judges it by its answers. One that fails health checks gets no new
     * requests.
     */
    private static Readiness readiness(HealthStatus status) throws InvalidResourceException {
        return switch (status) {
            case UNKNOWN, HEALTHY, DEGRADED -> Readiness.READY;
            case DRAINING, UNHEALTHY, TIMEOUT -> Readiness.DRAINING;
            default -> throw new InvalidResourceException("health_status is an unknown value");
        };
    }

    private static InetSocketAddress address(Address from) throws InvalidResourceException {
        if (!from.hasSocketAddress()) {
            throw new InvalidResourceException("an endpoint has no socket_address; allowed: an IP address with a port");
        }
        SocketAddress socket = from.getSocketAddress();
        String host = socket.getAddress();
        int port = socket.getPortValue();
        if (socket.getPortSpecifierCase() != SocketAddress.PortSpecifierCase.PORT_VALUE
                || port < 1
                || port > MAX_PORT) {
            throw new InvalidResourceException("port_value of " + host + " is "
                    + (socket.hasPortValue() ? Integer.toUnsignedString(port) : "missing") + "; allowed: 1 to "
                    + MAX_PORT);
        }
        if (socket.getProtocol() != SocketAddress.Protocol.TCP) {
            throw new InvalidResourceException(
                    "protocol of " + host + ":" + port + " is " + socket.getProtocol() + "; allowed: TCP");
        }
        // Only IP literals: getByName would resolve a host name.
        if (!ADDRESS.matcher(host).matches()) {
            throw new InvalidResourceException(
                    "address \"" + host + "\" is no IP address, and look-ups are off; allowed: an IP address");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new InvalidResourceException("address \"" + host + "\" is no IP address; allowed: an IP address");
        }
    }

    private static String text(Struct from, String key, String defaultValue) throws InvalidResourceException {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.hasStringValue()) {
            throw new InvalidResourceException("metadata " + METADATA + "." + key + " is no text");
        }
        return value.getStringValue();
    }

    private static double number(Struct from, String key, double defaultValue, String id)
            throws InvalidResourceException {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return defaultValue;
        }
        double number = value.getNumberValue();
        if (!value.hasNumberValue() || !(number >= 0 && number <= 1e13)) {
            throw new InvalidResourceException(
                    "metadata " + METADATA + "." + key + " of " + id + " is no number from 0 to 1e13");
        }
        return number;
    }
}
