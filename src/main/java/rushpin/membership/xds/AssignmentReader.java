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
 * Reads a cluster's endpoints. An assignment comes whole though one endpoint of thousands has changed: what stood in the
 * one before in the same bytes is taken from there, and only the rest is parsed. No I/O; no name is looked up.
 *
 * <p>Bounds: {@value #MOST_ENDPOINTS} endpoints; the bytes of the last assignment are kept.
 */
public final class AssignmentReader {
    static final int MOST_ENDPOINTS = 20_000;
    private static final int MOST_PORT = 65_535, MOST_ID = 256, MOST_PRIORITY = 128;
    private static final long MS = 1_000_000L;
    private static final String METADATA = ResourceReader.METADATA;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}|[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");
    /** Tags of {@code ClusterLoadAssignment.endpoints} and of {@code LocalityLbEndpoints.lb_endpoints}. */
    private static final int LOCALITY = 2 << 3 | 2, ENDPOINT = 2 << 3 | 2;

    /** An endpoint as its own bytes say it, without what its locality adds. */
    private record Base(
            String id,
            InetSocketAddress address,
            Readiness readiness,
            double weight,
            long started,
            String kind,
            int cell) {}

    private Map<ByteString, Base> before = Map.of();
    /** How many were parsed last. */
    private int parsed;

    int parsed() {
        return parsed;
    }

    /** Reads an assignment. */
    public Endpoints read(Any any) throws InvalidResourceException {
        if (!any.getTypeUrl().equals(ResourceReader.ENDPOINTS)) {
            throw new InvalidResourceException("it is of type " + any.getTypeUrl() + "; allowed: " + ResourceReader.ENDPOINTS);
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
        ClusterLoadAssignment from = ClusterLoadAssignment.parseFrom(split(bytes, LOCALITY, localities));
        Map<ByteString, Base> now = new HashMap<>();
        List<Endpoints.Endpoint> all = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Map<InetSocketAddress, String> holders = new HashMap<>();
        parsed = 0;
        for (ByteString each : localities) {
            List<ByteString> inside = new ArrayList<>();
            LocalityLbEndpoints locality = LocalityLbEndpoints.parseFrom(split(each, ENDPOINT, inside));
            if (locality.hasLedsClusterLocalityConfig()) {
                throw new InvalidResourceException(
                        "leds_cluster_locality_config: lists of endpoints apart are not followed; allowed: lb_endpoints");
            }
            if (Integer.compareUnsigned(locality.getPriority(), MOST_PRIORITY) > 0) {
                throw new InvalidResourceException("priority is " + Integer.toUnsignedString(locality.getPriority())
                        + "; allowed: 0 to " + MOST_PRIORITY);
            }
            if (all.size() + inside.size() > MOST_ENDPOINTS) {
                throw new InvalidResourceException("it has more than " + MOST_ENDPOINTS + " endpoints");
            }
            List<Base> bases = new ArrayList<>(inside.size());
            for (ByteString one : inside) {
                Base base = before.get(one);
                if (base == null) {
                    base = base(LbEndpoint.parseFrom(one));
                    parsed++;
                }
                now.put(one, base);
                bases.add(base);
            }
            double part = part(locality, bases);
            for (Base base : bases) {
                if (!ids.add(base.id)) {
                    throw new InvalidResourceException("endpoint " + base.id + " stands there twice; allowed: each once");
                }
                String holder = holders.put(base.address, base.id);
                if (holder != null) {
                    throw new InvalidResourceException("endpoints " + holder + " and " + base.id + " have one address");
                }
                all.add(new Endpoints.Endpoint(
                        base.id,
                        base.address,
                        base.readiness,
                        base.weight * part,
                        locality.getLocality().getZone(),
                        locality.getPriority(),
                        base.started,
                        base.kind,
                        base.cell));
            }
        }
        double dropped = 0;
        for (ClusterLoadAssignment.Policy.DropOverload drop : from.getPolicy().getDropOverloadsList()) {
            // One after another, as Envoy does: each acts on what the one before lets pass.
            dropped += (1 - dropped) * fraction(drop);
        }
        long staleAfter = ResourceReader.span(
                "policy.endpoint_stale_after", from.getPolicy().getEndpointStaleAfter());
        before = now;
        return new Endpoints(from.getClusterName(), List.copyOf(all), dropped, staleAfter);
    }

    /** The message without the fields of one tag, whose bytes go to {@code out}. */
    private static ByteString split(ByteString of, int tag, List<ByteString> out) throws IOException {
        CodedInputStream in = of.newCodedInput();
        in.enableAliasing(true);
        ByteString rest = ByteString.EMPTY;
        int from = 0;
        for (int next = in.readTag(); next != 0; next = in.readTag()) {
            if (next == tag) {
                out.add(in.readBytes());
            } else {
                if (!in.skipField(next)) {
                    throw new InvalidProtocolBufferException("a group ends that has not begun");
                }
                rest = rest.concat(of.substring(from, in.getTotalBytesRead()));
            }
            from = in.getTotalBytesRead();
        }
        return rest;
    }

    /** What each weight in a locality counts, where localities have weights themselves. */
    private static double part(LocalityLbEndpoints of, List<Base> in) throws InvalidResourceException {
        if (!of.hasLoadBalancingWeight()) {
            return 1;
        }
        double sum = 0;
        for (Base each : in) {
            sum += each.weight;
        }
        if (of.getLoadBalancingWeight().getValue() == 0) {
            throw new InvalidResourceException(
                    "load_balancing_weight of locality " + of.getLocality().getZone() + " is 0; allowed: from 1");
        }
        return sum == 0 ? 1 : Integer.toUnsignedLong(of.getLoadBalancingWeight().getValue()) / sum;
    }

    private static double weight(LbEndpoint of) throws InvalidResourceException {
        if (!of.hasLoadBalancingWeight()) {
            return 1;
        }
        if (of.getLoadBalancingWeight().getValue() == 0) {
            throw new InvalidResourceException("load_balancing_weight of an endpoint is 0; allowed: from 1, or DRAINING for none");
        }
        return Integer.toUnsignedLong(of.getLoadBalancingWeight().getValue());
    }

    private static double fraction(ClusterLoadAssignment.Policy.DropOverload drop) throws InvalidResourceException {
        FractionalPercent percent = drop.getDropPercentage();
        double whole = switch (percent.getDenominator()) {
            case HUNDRED -> 100;
            case TEN_THOUSAND -> 10_000;
            case MILLION -> 1_000_000;
            default ->
                throw new InvalidResourceException(
                        "drop_percentage of category " + drop.getCategory() + " has a denominator that is none");
        };
        return Math.min(1, Integer.toUnsignedLong(percent.getNumerator()) / whole);
    }

    private static Base base(LbEndpoint from) throws InvalidResourceException {
        if (!from.hasEndpoint()) {
            throw new InvalidResourceException("an lb_endpoint has no endpoint; allowed: endpoint, as named ones are not kept");
        }
        InetSocketAddress address = address(from.getEndpoint().getAddress());
        Struct said = from.getMetadata().getFilterMetadataMap().getOrDefault(METADATA, Struct.getDefaultInstance());
        String id = text(said, "id", address.getAddress().getHostAddress() + ":" + address.getPort());
        if (id.isEmpty() || id.length() > MOST_ID) {
            throw new InvalidResourceException("metadata " + METADATA + ".id of " + address + " has " + id.length()
                    + " characters; allowed: 1 to " + MOST_ID);
        }
        double started = number(said, "started_ms", -1, id);
        double cell = number(said, "cell", 0, id);
        return new Base(
                id,
                address,
                readiness(from.getHealthStatus()),
                weight(from),
                started < 0 ? -1 : (long) started * MS,
                text(said, "kind", ""),
                (int) cell);
    }

    /** A degraded one serves, and the module sees by its answers how well; what fails its checks gets nothing new. */
    private static Readiness readiness(HealthStatus status) throws InvalidResourceException {
        return switch (status) {
            case UNKNOWN, HEALTHY, DEGRADED -> Readiness.READY;
            case DRAINING, UNHEALTHY, TIMEOUT -> Readiness.DRAINING;
            default -> throw new InvalidResourceException("health_status is a value that is not known");
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
                || port > MOST_PORT) {
            throw new InvalidResourceException("port_value of " + host + " is "
                    + (socket.hasPortValue() ? Integer.toUnsignedString(port) : "missing") + "; allowed: 1 to "
                    + MOST_PORT);
        }
        if (socket.getProtocol() != SocketAddress.Protocol.TCP) {
            throw new InvalidResourceException("protocol of " + host + ":" + port + " is " + socket.getProtocol() + "; allowed: TCP");
        }
        // Only what is an address already: a name would be looked up.
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

    private static String text(Struct from, String key, String otherwise) throws InvalidResourceException {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.hasStringValue()) {
            throw new InvalidResourceException("metadata " + METADATA + "." + key + " is no text");
        }
        return value.getStringValue();
    }

    private static double number(Struct from, String key, double otherwise, String id) throws InvalidResourceException {
        Value value = from.getFieldsMap().get(key);
        if (value == null) {
            return otherwise;
        }
        double number = value.getNumberValue();
        if (!value.hasNumberValue() || !(number >= 0 && number <= 1e13)) {
            throw new InvalidResourceException("metadata " + METADATA + "." + key + " of " + id + " is no number from 0 to 1e13");
        }
        return number;
    }
}
