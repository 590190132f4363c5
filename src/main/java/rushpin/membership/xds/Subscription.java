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
 * One aggregated stream (ADS) for one cluster: what is asked, what is taken, acknowledged and refused, in either form
 * (xDS protocol, "Aggregated Discovery Service", "ACK/NACK and resource type instance version", "Incremental xDS").
 * Clusters are asked for first, endpoints once the cluster says under which name. What was taken stays in force while no
 * stream is there. No I/O: streams, messages and time are told by the caller, one thread at a time.
 *
 * <p>Bounds: one cluster and its endpoints are kept; an answer of a type that was not asked for costs nothing but a look,
 * and {@value #MOST_STRAY} of them end the stream.
 */
public final class Subscription {
    static final int MOST_STRAY = 100;
    private static final int MOST_ERROR = 2_000;

    /**
     * A request to the server, for either form.
     *
     * @param version the last version that was taken ({@code version_info}); SOTW only
     * @param nonce of the answer that this acknowledges or refuses; empty if there is none
     * @param names what is subscribed to in all; SOTW only
     * @param initial what is had already, name to version, on a new stream; DELTA only
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

    /** A resource of an answer; the name and the version are told in the incremental form only. */
    public record Item(String name, String version, Any resource) {}

    /** An answer, of either form. */
    public record Answer(String type, String version, String nonce, List<Item> items, List<String> removed) {}

    /** What comes of it. */
    public interface Port {
        /** To be sent on the present stream. */
        void ask(ResourceRequest ask);

        /** The cluster is so from now on; null if the server has none of that name. */
        void cluster(ClusterSpec spec);

        /** The cluster's endpoints are so from now on. */
        void endpoints(Endpoints endpoints);

        /** The stream is of no use; end it. */
        void giveUp(String why);

        /** A line for the operators. */
        void log(String text);
    }

    /** One type of resource: what is subscribed to, and how far it has come. */
    private final class Kind {
        private final String url;
        private final Map<String, String> versions = new HashMap<>();
        private List<String> names = List.of();
        private String version = "", nonce = "";
        private boolean asked;

        Kind(String url) {
            this.url = url;
        }

        /** Subscribes to exactly these names; says nothing that the server has heard already. */
        void subscribe(List<String> wanted) {
            if (!open || asked && names.equals(wanted) || !asked && wanted.isEmpty()) {
                names = wanted;
                return;
            }
            List<String> more = new ArrayList<>(wanted), less = new ArrayList<>(names);
            if (asked) {
                more.removeAll(names);
            }
            less.removeAll(wanted);
            less.forEach(versions::remove);
            Map<String, String> initial = new LinkedHashMap<>();
            if (!asked) {
                wanted.stream().filter(versions::containsKey).forEach(name -> initial.put(name, versions.get(name)));
            }
            names = wanted;
            boolean first = !asked;
            asked = true;
            port.ask(
                    form == XdsVariant.SOTW
                            ? new ResourceRequest(url, version, nonce, names, List.of(), List.of(), Map.of(), null)
                            : new ResourceRequest(url, "", "", List.of(), more, first ? List.of() : less, initial, null));
        }

        void reply(Answer to, Map<String, String> errors) {
            nonce = to.nonce();
            if (errors.isEmpty()) {
                version = to.version();
            }
            String error = null;
            if (!errors.isEmpty()) {
                StringBuilder all = new StringBuilder();
                errors.forEach((name, why) -> all.append(all.isEmpty() ? "" : "; ")
                        .append(name)
                        .append(": ")
                        .append(why));
                error = all.length() > MOST_ERROR ? all.substring(0, MOST_ERROR) + "..." : all.toString();
                port.log("refused " + url.substring(url.lastIndexOf('.') + 1) + " of version " + to.version() + ": "
                        + error);
            }
            port.ask(new ResourceRequest(
                    url,
                    form == XdsVariant.SOTW ? version : "",
                    nonce,
                    form == XdsVariant.SOTW ? names : List.of(),
                    List.of(),
                    List.of(),
                    Map.of(),
                    error));
        }

        void forget() {
            versions.clear();
            version = "";
        }

        void begin() {
            asked = false;
            nonce = "";
        }
    }

    private final XdsVariant form;
    private final String wanted;
    private final Port port;
    private final Kind clusters = new Kind(ResourceReader.CLUSTER), assignments = new Kind(ResourceReader.ENDPOINTS);
    private final AssignmentReader reader = new AssignmentReader();
    private ClusterSpec cluster;
    private boolean open;
    private int stray;

    /** For the cluster of a name; {@code wildcard} to subscribe to all clusters and take that one. */
    public Subscription(XdsVariant form, String cluster, boolean wildcard, Port port) {
        this.form = form;
        wanted = cluster;
        this.port = port;
        clusters.names = wildcard ? List.of("*") : List.of(cluster);
    }

    /** A stream is there, to the server of the one before. */
    public void opened() {
        opened(true);
    }

    /**
     * A stream is there. From the same server only what has changed since is wanted; another one's versions are its own:
     * that two say the same number does not say that they mean the same.
     */
    public void opened(boolean sameServer) {
        open = true;
        if (!sameServer) {
            clusters.forget();
            assignments.forget();
        }
        stray = 0;
        clusters.begin();
        assignments.begin();
        clusters.subscribe(clusters.names);
        assignments.subscribe(assignments.names);
    }

    /** The stream has ended; a nonce lives no longer than its stream. */
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
                if (stray++ == 0) {
                    port.log("an answer of type " + answer.type() + " that was not asked for is left aside");
                }
                if (stray >= MOST_STRAY) {
                    port.giveUp(stray + " answers of types that were not asked for");
                }
            }
        }
    }

    private interface Reader<T> {
        T read(Any any) throws InvalidResourceException;
    }

    /** Reads what bears the wanted name; what is wrong with any resource, by its name, goes to {@code errors}. */
    private static <T> T find(
            Answer in, String name, Reader<T> reader, Map<String, String> errors, Map<String, String> had) {
        T found = null;
        Set<String> seen = new HashSet<>();
        int number = 0;
        for (Item item : in.items()) {
            number++;
            String inside = ResourceReader.name(item.resource());
            String called = item.name().isEmpty() ? inside : item.name();
            String shown = called.isEmpty() ? "resource " + number : called;
            if (called.isEmpty() || !called.equals(inside)) {
                errors.put(shown, "it cannot be read, or its name is another inside: \"" + inside + "\"");
            } else if (!seen.add(called)) {
                errors.put(shown, "it stands there twice");
            } else {
                try {
                    T read = reader.read(item.resource());
                    if (called.equals(name)) {
                        found = read;
                        had.put(called, item.version());
                    }
                } catch (InvalidResourceException e) {
                    errors.put(shown, e.getMessage());
                }
            }
        }
        return found;
    }

    private static ClusterSpec onStream(Any any) throws InvalidResourceException {
        ClusterSpec read = ResourceReader.cluster(any);
        if (read.edsPath() != null) {
            throw new InvalidResourceException("eds_cluster_config.eds_config names a file; allowed on a stream: ads or self");
        }
        return read;
    }

    private void clusters(Answer answer) {
        Map<String, String> errors = new LinkedHashMap<>();
        ClusterSpec found = find(answer, wanted, Subscription::onStream, errors, clusters.versions);
        clusters.reply(answer, errors);
        // An answer of the first form names all that there is; but what is there and cannot be read is not gone.
        boolean gone = form == XdsVariant.SOTW
                ? found == null
                        && !errors.containsKey(wanted)
                        && errors.keySet().stream().noneMatch(each -> each.startsWith("resource "))
                : answer.removed().contains(wanted) && found == null;
        if (found != null && !errors.containsKey(wanted)) {
            take(found);
        } else if (gone) {
            clusters.versions.remove(wanted);
            take(null);
        }
    }

    private void take(ClusterSpec next) {
        cluster = next;
        String name = next == null ? null : next.edsName();
        port.cluster(next);
        assignments.subscribe(name == null ? List.of() : List.of(name));
        if (next != null && next.inline() != null) {
            port.endpoints(next.inline());
        }
    }

    private void endpoints(Answer answer) {
        if (!assignments.asked) {
            stray++;
            if (stray >= MOST_STRAY) {
                port.giveUp(stray + " answers that were not asked for");
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
