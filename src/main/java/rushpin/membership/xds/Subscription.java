package rushpin.membership.xds;

import com.google.protobuf.Any;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One aggregated stream (ADS) for one cluster: what is requested, accepted, acknowledged and refused, in either variant
 * (xDS protocol, "Aggregated Discovery Service", "ACK/NACK and resource type instance version", "Incremental xDS").
 * The cluster is requested first, and its endpoints once the cluster gives their name. What was accepted stays in force
 * while there is no stream. No I/O: the caller passes in streams, messages and time; not thread-safe.
 *
 * <p>Bounds: one cluster and its endpoints are kept. Answers of types that were not requested are ignored;
 * {@value #MAX_UNREQUESTED} of them end the stream.
 */
public final class Subscription {
    static final int MAX_UNREQUESTED = 100;
    private static final int MAX_ERROR_LENGTH = 2_000;

    /**
     * A request to the server, for either variant.
     *
     * @param version the last version that was accepted ({@code version_info}); SOTW only
     * @param nonce of the answer that this acknowledges or refuses; empty if there is none
     * @param names all names that are subscribed to; SOTW only
     * @param subscribe names to add; DELTA only
     * @param unsubscribe names to remove; DELTA only
     * @param initial versions of the resources already held, by name, on a new stream; DELTA only
     * @param error why something was refused ({@code error_detail}); null for an acknowledgement
     */
    public record ResourceRequest(
            String type,
            String version,
            String nonce,
            List<String> names,
            List<String> subscribe,
            List<String> unsubscribe,
            Map<String, String> initial,
            String error) {}

    /** A resource of an answer; only the incremental variant gives name and version. */
    public record Item(String name, String version, Any resource) {}

    /** An answer of the server, of either variant. */
    public record Answer(String type, String version, String nonce, List<Item> items, List<String> removed) {}

    /** Receives what follows from events on the stream. */
    public interface Port {
        /** Sends a request on the present stream. */
        void ask(ResourceRequest request);

        /** Replaces the cluster; null if the server has none of that name. */
        void cluster(ClusterSpec spec);

        /** Replaces the cluster's endpoints. */
        void endpoints(Endpoints endpoints);

        /** Ends the stream, which is unusable. */
        void giveUp(String why);

        /** Writes a line for operators. */
        void log(String text);
    }

    /** The state of one resource type: subscribed names, and the last version and nonce. */
    private final class TypeState {
        private final String url;
        /** Versions of the resources held, by name. */
        private final Map<String, String> versions = new HashMap<>();

        private List<String> names = List.of();
        private String version = "";
        private String nonce = "";
        /** Whether this stream has carried a request of the type. */
        private boolean requested;

        TypeState(String url) {
            this.url = url;
        }

        /** Subscribes to exactly these names; sends nothing if the server knows them already. */
        void subscribe(List<String> wanted) {
            if (!open || requested && names.equals(wanted) || !requested && wanted.isEmpty()) {
                names = wanted;
                return;
            }
            List<String> added = new ArrayList<>(wanted);
            List<String> dropped = new ArrayList<>(names);
            if (requested) {
                added.removeAll(names);
            }
            dropped.removeAll(wanted);
            dropped.forEach(versions::remove);
            Map<String, String> initial = new LinkedHashMap<>();
            if (!requested) {
                wanted.stream().filter(versions::containsKey).forEach(name -> initial.put(name, versions.get(name)));
            }
            names = wanted;
            boolean first = !requested;
            requested = true;
            port.ask(
                    variant == XdsVariant.SOTW
                            ? new ResourceRequest(url, version, nonce, names, List.of(), List.of(), Map.of(), null)
                            : new ResourceRequest(
                                    url, "", "", List.of(), added, first ? List.of() : dropped, initial, null));
        }

        /** Acknowledges an answer, or refuses it with the errors by resource name. */
        void reply(Answer answer, Map<String, String> errors) {
            nonce = answer.nonce();
            if (errors.isEmpty()) {
                version = answer.version();
            }
            String error = null;
            if (!errors.isEmpty()) {
                StringBuilder all = new StringBuilder();
                errors.forEach((name, why) -> all.append(all.isEmpty() ? "" : "; ")
                        .append(name)
                        .append(": ")
                        .append(why));
                error = all.length() > MAX_ERROR_LENGTH ? all.substring(0, MAX_ERROR_LENGTH) + "..." : all.toString();
                port.log("refused " + url.substring(url.lastIndexOf('.') + 1) + " of version " + answer.version() + ": "
                        + error);
            }
            port.ask(new ResourceRequest(
                    url,
                    variant == XdsVariant.SOTW ? version : "",
                    nonce,
                    variant == XdsVariant.SOTW ? names : List.of(),
                    List.of(),
                    List.of(),
                    Map.of(),
                    error));
        }

        /** Forgets all versions. */
        void forget() {
            versions.clear();
            version = "";
        }

        /** Begins a new stream. */
        void begin() {
            requested = false;
            nonce = "";
        }
    }

    private final XdsVariant variant;
    /** The name of the cluster. */
    private final String wanted;

    private final Port port;
    private final TypeState clusters = new TypeState(ResourceReader.CLUSTER);
    private final TypeState assignments = new TypeState(ResourceReader.ENDPOINTS);
    private final AssignmentReader reader = new AssignmentReader();
    private ClusterSpec cluster;
    private boolean open;
    /** Answers on this stream that were not requested. */
    private int unrequested;

    /** Subscribes to the cluster of a name; {@code wildcard} subscribes to all clusters and uses that one. */
    public Subscription(XdsVariant variant, String cluster, boolean wildcard, Port port) {
        this.variant = variant;
        wanted = cluster;
        this.port = port;
        clusters.names = wildcard ? List.of("*") : List.of(cluster);
    }

    /** A stream to the same server as the one before has opened. */
    public void opened() {
        opened(true);
    }

    /**
     * A stream has opened. The same server needs to send only what has changed since. Another server's versions are
     * unrelated, even if they are equal.
     */
    public void opened(boolean sameServer) {
        open = true;
        if (!sameServer) {
            clusters.forget();
            assignments.forget();
        }
        unrequested = 0;
        clusters.begin();
        assignments.begin();
        clusters.subscribe(clusters.names);
        assignments.subscribe(assignments.names);
    }

    /** The stream has ended, and with it its nonces. */
    public void closed() {
        open = false;
    }

    /** The server has answered. */
    public void answered(Answer answer) {
        if (!open) {
            return;
        }
        switch (answer.type()) {
            case ResourceReader.CLUSTER -> clusters(answer);
            case ResourceReader.ENDPOINTS -> endpoints(answer);
            default -> {
                if (unrequested++ == 0) {
                    port.log("an answer of type " + answer.type() + " that was not asked for is left aside");
                }
                if (unrequested >= MAX_UNREQUESTED) {
                    port.giveUp(unrequested + " answers of types that were not asked for");
                }
            }
        }
    }

    private interface Reader<T> {
        T read(Any any) throws InvalidResourceException;
    }

    /**
     * Reads the resource of the given name, or returns null. Faults of any resource go to {@code errors} by its name;
     * {@code versions} takes the version of the one read.
     */
    private static <T> T find(
            Answer answer, String name, Reader<T> reader, Map<String, String> errors, Map<String, String> versions) {
        T found = null;
        Set<String> seen = new HashSet<>();
        int number = 0;
        for (Item item : answer.items()) {
            number++;
            String inner = ResourceReader.name(item.resource());
            String outer = item.name().isEmpty() ? inner : item.name();
            String shown = outer.isEmpty() ? "resource " + number : outer;
            if (outer.isEmpty() || !outer.equals(inner)) {
                errors.put(shown, "it cannot be read, or its name is another inside: \"" + inner + "\"");
            } else if (!seen.add(outer)) {
                errors.put(shown, "it stands there twice");
            } else {
                try {
                    T read = reader.read(item.resource());
                    if (outer.equals(name)) {
                        found = read;
                        versions.put(outer, item.version());
                    }
                } catch (InvalidResourceException e) {
                    errors.put(shown, e.getMessage());
                }
            }
        }
        return found;
    }

    private static ClusterSpec readFromStream(Any any) throws InvalidResourceException {
        ClusterSpec read = ResourceReader.cluster(any);
        if (read.edsPath() != null) {
            throw new InvalidResourceException(
                    "eds_cluster_config.eds_config names a file; allowed on a stream: ads or self");
        }
        return read;
    }

    private void clusters(Answer answer) {
        Map<String, String> errors = new LinkedHashMap<>();
        ClusterSpec found = find(answer, wanted, Subscription::readFromStream, errors, clusters.versions);
        clusters.reply(answer, errors);
        // A state-of-the-world answer names all resources, but one that is present and unreadable is not removed.
        boolean gone = variant == XdsVariant.SOTW
                ? found == null
                        && !errors.containsKey(wanted)
                        && errors.keySet().stream().noneMatch(each -> each.startsWith("resource "))
                : answer.removed().contains(wanted) && found == null;
        if (found != null && !errors.containsKey(wanted)) {
            accept(found);
        } else if (gone) {
            clusters.versions.remove(wanted);
            accept(null);
        }
    }

    private void accept(ClusterSpec next) {
        cluster = next;
        String name = next == null ? null : next.edsName();
        port.cluster(next);
        assignments.subscribe(name == null ? List.of() : List.of(name));
        if (next != null && next.inline() != null) {
            port.endpoints(next.inline());
        }
    }

    private void endpoints(Answer answer) {
        if (!assignments.requested) {
            unrequested++;
            if (unrequested >= MAX_UNREQUESTED) {
                port.giveUp(unrequested + " answers that were not asked for");
            }
            return;
        }
        String name = cluster == null || cluster.edsName() == null ? "" : cluster.edsName();
        Map<String, String> errors = new LinkedHashMap<>();
        Endpoints found = find(answer, name, reader::read, errors, assignments.versions);
        assignments.reply(answer, errors);
        if (found != null && !errors.containsKey(name)) {
            port.endpoints(found);
        } else if (answer.removed().contains(name) && !name.isEmpty()) {
            assignments.versions.remove(name);
            port.endpoints(Endpoints.none(name));
        }
    }
}
