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
 * The list as last told, in the state folder, in the form of the platform's discovery: the next start takes it as
 * cached. Replaced by rename, so it is whole or the one before.
 */
public final class ServerListCache {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS = 1_000_000L;

    /** Puts a file's bytes on the disk. */
    interface Force {
        /** All that was written through the channel is on the disk on return. */
        void force(FileChannel channel) throws IOException;
    }

    private final Path file;
    private final Names names;
    private final Force force;
    private boolean failed;

    /** The list of a pool in a folder. */
    public ServerListCache(Path folder, String pool, Names names) {
        this(folder, pool, names, channel -> channel.force(true));
    }

    /** As above, forced to the disk in a given way. */
    ServerListCache(Path folder, String pool, Names names, Force force) {
        this.force = force;
        file = folder.resolve("xds-" + pool + ".json");
        this.names = names;
    }

    /** The list of the process before; empty if there is none that can be read. */
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

    private static String at(List<String> of, int index) {
        return index < 0 || index >= of.size() ? "" : of.get(index);
    }

    /** Keeps a list; trouble with the folder costs one line. */
    void save(List<Member> members, Consumer<String> log) {
        ObjectNode root = JSON.createObjectNode().put("revision", 0).put("complete", true);
        ArrayNode all = root.putArray("members");
        for (Member member : members) {
            Server s = member.server();
            all.addObject()
                    .put("id", s.id())
                    .put("host_port", member.address().toString().replaceFirst("^[^/]*/", ""))
                    .put("locality", at(names.zones(), s.zone()))
                    .put("flavor", at(names.kinds(), s.kind()))
                    .put("cell", s.cell())
                    .put("phase", s.readiness() == Readiness.READY ? "Ready" : "Terminating")
                    .put("size", s.size())
                    .put("up_since_ms", s.startedAt() / MS);
        }
        try {
            Files.createDirectories(file.getParent());
            Path draft = file.resolveSibling(
                    file.getFileName() + "." + ProcessHandle.current().pid() + ".draft");
            write(draft, root.toString());
            Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            failed = false;
        } catch (IOException e) {
            if (!failed) {
                failed = true;
                log.accept("the list is not kept over a restart: " + e);
            }
        }
    }

    /** Forced, or the name could be given to bytes that never come to the disk; each save writes all of them anew. */
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
