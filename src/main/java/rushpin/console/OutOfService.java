package rushpin.console;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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

    /** What is asked of the file system. */
    interface Disk {
        /** The names of files of a folder that begin so. */
        List<String> names(Path folder, String prefix) throws IOException;

        /** Makes an empty file. */
        void make(Path file) throws IOException;

        /** Deletes a file, if it is there. */
        void delete(Path file) throws IOException;
    }

    /** The file system itself. */
    static class SystemDisk implements Disk {
        @Override
        public List<String> names(Path folder, String prefix) throws IOException {
            List<String> names = new ArrayList<>();
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, prefix + "*")) {
                files.forEach(file -> names.add(file.getFileName().toString()));
            } catch (DirectoryIteratorException e) {
                throw e.getCause();
            }
            return names;
        }

        @Override
        public void make(Path file) throws IOException {
            Files.write(file, new byte[0]);
        }

        @Override
        public void delete(Path file) throws IOException {
            Files.deleteIfExists(file);
        }
    }

    private final Path folder;
    private final Disk disk;

    /** Kept in a folder, which is made if it is not there. */
    public OutOfService(Path folder) throws IOException {
        this(folder, new SystemDisk());
    }

    /** As above, on a given disk. */
    OutOfService(Path folder, Disk disk) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.disk = disk;
    }

    /** All that are out now. */
    public Set<String> read() throws IOException {
        Set<String> ids = new HashSet<>();
        for (String name : disk.names(folder, PREFIX)) {
            String id = id(name);
            if (id != null && ids.size() < MOST) {
                ids.add(id);
            }
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

    /** Takes one out, or puts it back; to say so again changes nothing, and nothing changes if it throws. */
    public void set(String id, boolean out) throws IOException {
        String name = PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8);
        Path file = folder.resolve(name);
        // Looked through first: what cannot be read again is not changed either.
        Set<String> before = read();
        if (!out) {
            disk.delete(file);
        } else if (name.length() > LONGEST) {
            throw new IOException("an id of " + id.length() + " characters is too long");
        } else if (!before.contains(id)) {
            if (before.size() >= MOST) {
                throw new IOException(MOST + " app servers are out already");
            }
            make(file);
        }
    }

    /** One that is made and reported as failed would take the server out behind the answer that nothing has changed. */
    private void make(Path file) throws IOException {
        try {
            disk.make(file);
        } catch (IOException e) {
            try {
                disk.delete(file);
            } catch (IOException notDeleted) {
                e.addSuppressed(notDeleted);
            }
            throw e;
        }
    }
}
