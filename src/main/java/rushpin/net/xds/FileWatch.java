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
 * Reads clusters and endpoints from a file that holds a {@code DiscoveryResponse} in JSON or YAML and is replaced by
 * rename ({@code envoy.config.core.v3.PathConfigSource}).
 *
 * <p>Changes are detected by the file's identity, modification time and size. A file that cannot be read changes
 * nothing. Used by the source's thread only.
 */
final class FileWatch {
    private static final long MAX_BYTES = 16L << 20;
    private static final JsonFormat.TypeRegistry TYPES = JsonFormat.TypeRegistry.newBuilder()
            .add(Cluster.getDescriptor())
            .add(ClusterLoadAssignment.getDescriptor())
            .build();

    /** Identity of a version of a file; size -1 if there is no file. */
    private record FileVersion(Object file, long modifiedMs, long size) {}

    private final Path file;
    private final String clusterName;
    private final XdsSource source;
    private final Map<Path, FileVersion> lastVersions = new HashMap<>();
    /** The file that holds the cluster's endpoints; null if that is {@code file}. */
    private Path endpointsFile;

    private ClusterSpec cluster;

    FileWatch(Path file, String clusterName, XdsSource source) {
        this.file = file;
        this.clusterName = clusterName;
        this.source = source;
    }

    /** Reads each file again that has changed since the last call. */
    void poll() {
        poll(file);
        if (endpointsFile != null) {
            poll(endpointsFile);
        }
    }

    private void poll(Path at) {
        FileVersion version;
        try {
            BasicFileAttributes attributes = Files.readAttributes(at, BasicFileAttributes.class);
            version = new FileVersion(
                    attributes.fileKey(), attributes.lastModifiedTime().toMillis(), attributes.size());
        } catch (IOException e) {
            version = new FileVersion(null, 0, -1);
        }
        if (version.equals(lastVersions.put(at, version))) {
            return;
        }
        if (version.size < 0 || version.size > MAX_BYTES) {
            source.log(at + (version.size < 0 ? " does not exist" : " is larger than " + MAX_BYTES + " bytes")
                    + "; the list stays as it is");
            return;
        }
        try {
            read(at);
        } catch (IOException e) {
            source.log(at + " cannot be read: " + firstLine(e) + "; the list stays as it is");
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private void read(Path at) throws IOException {
        String text = Files.readString(at);
        ObjectMapper mapper = at.toString().endsWith(".json") ? new ObjectMapper() : new YAMLMapper();
        JsonNode resources = mapper.readTree(text).path("resources");
        if (!resources.isArray()) {
            source.log(at + " has no array \"resources\"; the list stays as it is");
            return;
        }
        ClusterSpec found = null;
        Map<String, Endpoints> assignments = new HashMap<>();
        boolean rejected = false;
        int number = 0;
        for (JsonNode each : resources) {
            number++;
            String name = each.path("name")
                    .asText(each.path("cluster_name")
                            .asText(each.path("clusterName").asText("resource " + number)));
            try {
                Any.Builder any = Any.newBuilder();
                JsonFormat.parser().usingTypeRegistry(TYPES).merge(each.toString(), any);
                if (any.getTypeUrl().equals(ResourceReader.CLUSTER) && name.equals(clusterName)) {
                    found = ResourceReader.cluster(any.build());
                } else if (any.getTypeUrl().equals(ResourceReader.ENDPOINTS)) {
                    Endpoints read = ResourceReader.endpoints(any.build());
                    assignments.put(read.name(), read);
                }
            } catch (InvalidProtocolBufferException | InvalidResourceException e) {
                source.log(at + ": refused " + name + ": " + firstLine(e));
                rejected |= name.equals(clusterName);
            }
        }
        if (at.equals(file) && !rejected) {
            applyCluster(found);
        }
        Endpoints assignment = cluster == null || cluster.edsName() == null ? null : assignments.get(cluster.edsName());
        if (assignment != null && at.equals(endpointsFile == null ? file : endpointsFile)) {
            source.endpoints(assignment);
        }
    }

    private void applyCluster(ClusterSpec found) {
        boolean hadCluster = cluster != null;
        cluster = found;
        if (found != null || hadCluster) {
            source.cluster(found);
        } else {
            source.log(file + " does not contain cluster " + clusterName);
        }
        // Another cluster may need another assignment from the same file, so that file is read again.
        lastVersions.remove(endpointsFile);
        endpointsFile = found == null || found.edsPath() == null ? null : file.resolveSibling(found.edsPath());
        if (found != null && found.inline() != null) {
            source.endpoints(found.inline());
        }
    }
}
