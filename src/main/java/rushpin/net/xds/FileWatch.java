package rushpin.net.xds;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.HashMap;
import java.util.Map;
import rushpin.membership.xds.ClusterSpec;
import rushpin.membership.xds.Endpoints;
import rushpin.membership.xds.InvalidResourceException;
import rushpin.membership.xds.ResourceReader;

/**
 * Clusters and endpoints from a file in the form of a {@code DiscoveryResponse}, JSON or YAML, that is replaced by
 * rename ({@code envoy.config.core.v3.PathConfigSource}). Looked at by its identity, time and size; a file that cannot
 * be read changes nothing. Owned by the source's thread.
 */
final class FileWatch {
    private static final long MOST_BYTES = 16L << 20;
    private static final JsonFormat.TypeRegistry TYPES = JsonFormat.TypeRegistry.newBuilder()
            .add(Cluster.getDescriptor())
            .add(ClusterLoadAssignment.getDescriptor())
            .build();

    private record Stamp(Object file, long changed, long size) {}

    private final Path file;
    private final String wanted;
    private final XdsSource source;
    private final Map<Path, Stamp> seen = new HashMap<>();
    private Path elsewhere;
    private ClusterSpec cluster;

    FileWatch(Path file, String wanted, XdsSource source) {
        this.file = file;
        this.wanted = wanted;
        this.source = source;
    }

    /** Looks whether a file has changed, and reads it if so. */
    void look() {
        look(file);
        if (elsewhere != null) {
            look(elsewhere);
        }
    }

    private void look(Path at) {
        Stamp stamp;
        try {
            BasicFileAttributes of = Files.readAttributes(at, BasicFileAttributes.class);
            stamp = new Stamp(of.fileKey(), of.lastModifiedTime().toMillis(), of.size());
        } catch (IOException e) {
            stamp = new Stamp(null, 0, -1);
        }
        if (stamp.equals(seen.put(at, stamp))) {
            return;
        }
        if (stamp.size < 0 || stamp.size > MOST_BYTES) {
            source.log(at + (stamp.size < 0 ? " is not there" : " has more than " + MOST_BYTES + " bytes")
                    + "; the list stays as it is");
            return;
        }
        try {
            read(at);
        } catch (IOException e) {
            source.log(at + " cannot be read: " + first(e) + "; the list stays as it is");
        }
    }

    private static String first(Exception of) {
        return String.valueOf(of.getMessage()).lines().findFirst().orElse("");
    }

    private void read(Path at) throws IOException {
        String text = Files.readString(at);
        ObjectMapper mapper = at.toString().endsWith(".json") ? new ObjectMapper() : new YAMLMapper();
        JsonNode resources = mapper.readTree(text).path("resources");
        if (!resources.isArray()) {
            source.log(at + " has no list \"resources\"; the list stays as it is");
            return;
        }
        ClusterSpec found = null;
        Map<String, Endpoints> assignments = new HashMap<>();
        boolean spoilt = false;
        int number = 0;
        for (JsonNode each : resources) {
            number++;
            String name = each.path("name")
                    .asText(each.path("cluster_name")
                            .asText(each.path("clusterName").asText("resource " + number)));
            try {
                Any.Builder any = Any.newBuilder();
                JsonFormat.parser().usingTypeRegistry(TYPES).merge(each.toString(), any);
                if (any.getTypeUrl().equals(ResourceReader.CLUSTER) && name.equals(wanted)) {
                    found = ResourceReader.cluster(any.build());
                } else if (any.getTypeUrl().equals(ResourceReader.ENDPOINTS)) {
                    Endpoints read = ResourceReader.endpoints(any.build());
                    assignments.put(read.name(), read);
                }
            } catch (InvalidProtocolBufferException | InvalidResourceException e) {
                source.log(at + ": refused " + name + ": " + first(e));
                spoilt |= name.equals(wanted);
            }
        }
        if (at.equals(file) && !spoilt) {
            take(found);
        }
        Endpoints assignment = cluster == null || cluster.edsName() == null ? null : assignments.get(cluster.edsName());
        if (assignment != null && at.equals(elsewhere == null ? file : elsewhere)) {
            source.endpoints(assignment);
        }
    }

    private void take(ClusterSpec found) {
        boolean had = cluster != null;
        cluster = found;
        if (found != null || had) {
            source.cluster(found);
        } else {
            source.log(file + " has no cluster " + wanted);
        }
        // Another cluster may want another assignment of the same file; and of one left behind nothing is kept.
        seen.remove(elsewhere);
        elsewhere = found == null || found.edsPath() == null ? null : file.resolveSibling(found.edsPath());
        if (found != null && found.inline() != null) {
            source.endpoints(found.inline());
        }
    }
}
