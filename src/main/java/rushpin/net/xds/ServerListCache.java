package rushpin.net.xds;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.Consumer;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.discovery.ServerListReader;

/**
 * The last server list, saved in the state folder in the JSON form of the platform's discovery. The next start of the
 * process takes it as its cached list. The file is replaced by rename, so it is complete or the previous one.
 */
public final class ServerListCache {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NANOS_PER_MS = 1_000_000L;

    /** Forces a file's content to the disk; a test replaces it by one that fails. */
    interface Force {
        /** Returns when all bytes written through the channel are on the disk. */
        void force(FileChannel channel) throws IOException;
    }

    private final Path file;
    private final Names names;
    private final Force force;
    private boolean saveFailed;

    /** Creates the cache of a pool's list in a folder. */
    public ServerListCache(Path folder, String pool, Names names) {
        this(folder, pool, names, channel -> channel.force(true));
    }

    /** As above, with a given way to force files to the disk. */
    ServerListCache(Path folder, String pool, Names names, Force force) {
        this.force = force;
        file = folder.resolve("xds-" + pool + ".json");
        this.names = names;
    }

    /** Returns the list that an earlier process saved; empty if there is none or it can't be read. */
    public List<Member> read(Consumer<String> log) {
        if (!Files.exists(file)) {
            return List.of();
        }
        try {
            ServerListUpdate roll = ServerListReader.read(Files.readString(file), names);
            return roll.members().stream()
                    .filter(member -> member.server().readiness() != Readiness.GONE)
                    .toList();
        } catch (IOException | ServerListReader.Malformed e) {
            log.accept("the list as last had, " + file + ", cannot be used: " + e.getMessage());
            return List.of();
        }
    }

    private static String nameAt(List<String> list, int index) {
        return index < 0 || index >= list.size() ? "" : list.get(index);
    }

    /** Saves a list. Logs an error once until a save succeeds again. */
    void save(List<Member> members, Consumer<String> log) {
        ObjectNode root = JSON.createObjectNode().put("revision", 0).put("complete", true);
        ArrayNode all = root.putArray("members");
        for (Member member : members) {
            Server s = member.server();
            all.addObject()
                    .put("id", s.id())
                    .put("host_port", member.address().toString().replaceFirst("^[^/]*/", ""))
                    .put("locality", nameAt(names.zones(), s.zone()))
                    .put("flavor", nameAt(names.kinds(), s.kind()))
                    .put("cell", s.cell())
                    .put("phase", s.readiness() == Readiness.READY ? "Ready" : "Terminating")
                    .put("size", s.size())
                    .put("up_since_ms", s.startedAt() / NANOS_PER_MS);
        }
        try {
            Files.createDirectories(file.getParent());
            Path draft = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid() + ".draft");
            write(draft, root.toString());
            Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            saveFailed = false;
        } catch (IOException e) {
            if (!saveFailed) {
                saveFailed = true;
                log.accept("the list could not be saved for the next start: " + e);
            }
        }
    }

    /**
     * Writes the whole draft and forces it to the disk: without that the rename could become durable before the
     * content.
     */
    private void write(Path draft, String text) throws IOException {
        try (FileChannel channel = FileChannel.open(
                draft, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            force.force(channel);
        }
    }
}
