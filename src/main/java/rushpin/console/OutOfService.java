package rushpin.console;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Which app servers operators have taken out, for all processes of one node: an empty file each in a folder that they
 * share. A file is made or removed whole, so two processes never undo each other's.
 *
 * <p>Bounds: {@value #MOST} servers; an id of {@value #LONGEST} characters, as it is written, at most.
 */
public final class OutOfService {
    private static final int MOST = 1_024, LONGEST = 200;
    private static final String PREFIX = "out-";

    private final Path folder;

    /** Kept in a folder, which is made if it is not there. */
    public OutOfService(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /** All that are out now. */
    public Set<String> read() throws IOException {
        Set<String> ids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                String id = id(file.getFileName().toString());
                if (id != null && ids.size() < MOST) {
                    ids.add(id);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    /** Null for a file that was not written here: it must not put the others back in use. */
    private static String id(String name) {
        try {
            return URLDecoder.decode(name.substring(PREFIX.length()), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Takes one out, or puts it back; to say so again changes nothing. */
    public void set(String id, boolean out) throws IOException {
        String name = PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8);
        Path file = folder.resolve(name);
        if (!out) {
            Files.deleteIfExists(file);
        } else if (name.length() > LONGEST) {
            throw new IOException("an id of " + id.length() + " characters is too long");
        } else if (!Files.exists(file)) {
            if (read().size() >= MOST) {
                throw new IOException(MOST + " app servers are out already");
            }
            Files.write(file, new byte[0]);
        }
    }
}
