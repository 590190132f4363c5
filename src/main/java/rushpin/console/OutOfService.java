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
 * Stores which app servers operators have disabled, for all processes of one node: one empty file for each, in a shared
 * folder. Creating and deleting a file are atomic, so processes never undo each other's changes.
 *
 * <p>Bounds: {@value #MAX_SERVERS} servers; file names, with the id URL-encoded, of up to {@value #MAX_FILE_NAME}
 * characters.
 */
public final class OutOfService {
    private static final int MAX_SERVERS = 1_024;
    private static final int MAX_FILE_NAME = 200;
    private static final String PREFIX = "out-";

    /** The file operations, which tests replace by failing ones. */
    interface Disk {
        /** Lists the names of a folder's files that begin with a prefix. */
        List<String> names(Path folder, String prefix) throws IOException;

        /** Creates an empty file. */
        void make(Path file) throws IOException;

        /** Deletes a file if it exists. */
        void delete(Path file) throws IOException;
    }

    /** The default file system. */
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

    /** Stores the files in a folder, which is created if it doesn't exist. */
    public OutOfService(Path folder) throws IOException {
        this(folder, new SystemDisk());
    }

    /** As {@link #OutOfService(Path)}, with other file operations. */
    OutOfService(Path folder, Disk disk) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.disk = disk;
    }

    /** Reads the ids of all disabled servers. */
    public Set<String> read() throws IOException {
        Set<String> ids = new HashSet<>();
        for (String name : disk.names(folder, PREFIX)) {
            String id = id(name);
            if (id != null && ids.size() < MAX_SERVERS) {
                ids.add(id);
            }
        }
        return ids;
    }

    /** The id in a file name; null for a foreign file, which is ignored so that the other servers stay disabled. */
    private static String id(String name) {
        try {
            return URLDecoder.decode(name.substring(PREFIX.length()), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Disables a server, or enables it. Idempotent; nothing changes if it throws. */
    public void set(String id, boolean out) throws IOException {
        String name = PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8);
        Path file = folder.resolve(name);
        // Read first: if the folder can't be read, nothing is changed.
        Set<String> before = read();
        if (!out) {
            disk.delete(file);
        } else if (name.length() > MAX_FILE_NAME) {
            throw new IOException("the id has " + id.length() + " characters and is too long");
        } else if (!before.contains(id)) {
            if (before.size() >= MAX_SERVERS) {
                throw new IOException(MAX_SERVERS + " app servers are disabled already");
            }
            make(file);
        }
    }

    /** Creates a file; deletes it if that fails, as a failure promises that nothing has changed. */
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
