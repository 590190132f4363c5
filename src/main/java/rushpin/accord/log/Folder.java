package rushpin.accord.log;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Stream;

/**
 * A voter's folder: who the voter is, and its log. Who it is stands in a file of its own that is whole or absent after any
 * crash, and is on the disk before anything is said to others. An identity without its log is refused: such a voter would
 * vote without the memory of what it voted before. The operator empties the folder, and it comes back as a new voter.
 */
public final class Folder {
    private static final String FILE = "voter";
    private static final String NEXT = "voter.next";
    private static final String LOG = "log";
    private static final String REACHED = "reached";
    private static final String REACHED_NEXT = "reached.next";

    private final Path path;
    private String id;
    private long era;
    private UUID group;
    private boolean begun;

    private Folder(Path path) {
        this.path = path;
    }

    /**
     * Looks into a folder; makes it where it is missing.
     *
     * @throws IOException with a line for the operator: it can't be read, it holds a log of nobody, or a voter that lost its log
     */
    public static Folder open(Path path) throws IOException {
        Files.createDirectories(path);
        Folder folder = new Folder(path);
        Path file = path.resolve(FILE);
        if (Files.exists(file)) {
            folder.read(file);
            if (folder.begun && !filled(folder.memory())) {
                throw new IOException(path + ": voter " + folder.id
                        + " has lost its log; empty the folder, and it comes back as a" + " new voter");
            }
        } else if (filled(path.resolve(LOG))) {
            throw new IOException(
                    path + ": a log, but no file that says whose; empty the folder, and a new voter comes of it");
        }
        return folder;
    }

    /** Nobody was here. */
    public boolean blank() {
        return id == null;
    }

    /** The voter's id; null while blank. */
    public String id() {
        return id;
    }

    /** The founding that the voter belongs to. */
    public long era() {
        return era;
    }

    /** The group that the voter belongs to; null while blank. */
    public UUID group() {
        return group;
    }

    /**
     * Makes a blank folder that of a voter. It is on the disk on return.
     *
     * @throws IOException it may be there or not; nothing may be said to others
     * @throws IllegalStateException the folder is another voter's
     */
    public void settle(String voter, long founding, UUID of) throws IOException {
        if (!blank()) {
            throw new IllegalStateException(path + " is the folder of " + id);
        }
        write(voter, founding, of, false);
    }

    /** Whether the voter has taken part before, and so may have voted and stored something. */
    boolean begun() {
        return begun;
    }

    /** Notes that the log is there: from now on the voter is not known without it. */
    void begin() throws IOException {
        if (!begun) {
            write(id, era, group, true);
        }
    }

    /** How far the logs of other voters reached by their own word, by their ids, as it was last noted; none where that can't be read. */
    Map<String, Long> reached() {
        Map<String, Long> reached = new HashMap<>();
        try {
            Properties lines = new Properties();
            lines.load(new StringReader(Files.readString(path.resolve(REACHED))));
            for (String of : lines.stringPropertyNames()) {
                reached.put(of, Long.parseLong(lines.getProperty(of)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // None yet, or torn by a crash: it is written anew in a second.
            reached.clear();
        }
        return reached;
    }

    /** Notes how far others' logs reached. Not forced to the disk: it is for starts anew, and a crash loses a few seconds of it. */
    void reached(Map<String, Long> reached) throws IOException {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(reached)
                .forEach(
                        (of, index) -> text.append(of).append('=').append(index).append('\n'));
        Path next = path.resolve(REACHED_NEXT);
        Files.writeString(next, text);
        Files.move(next, path.resolve(REACHED), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Where the log lies. */
    Path log() {
        return path.resolve(LOG);
    }

    /** Where votes and the log's files are. */
    Path memory() {
        return log().resolve(group.toString()).resolve("current");
    }

    private void write(String voter, long founding, UUID of, boolean log) throws IOException {
        String text = "id=" + voter + "\nera=" + founding + "\ngroup=" + of + "\nbegun=" + log + "\n";
        Path next = path.resolve(NEXT);
        try (FileChannel channel = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(next, path.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        force(path);
        id = voter;
        era = founding;
        group = of;
        begun = log;
    }

    /** Puts on the disk which files a folder holds: without this a crash may take back a file's making or its new name. */
    static void force(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private void read(Path file) throws IOException {
        Properties lines = new Properties();
        lines.load(new StringReader(Files.readString(file)));
        try {
            id = lines.getProperty("id", "");
            era = Long.parseLong(lines.getProperty("era", ""));
            group = UUID.fromString(lines.getProperty("group", ""));
            begun = Boolean.parseBoolean(lines.getProperty("begun"));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + " is damaged; empty the folder, and it comes back as a new voter", e);
        }
        if (id.isEmpty()) {
            throw new IOException(file + " is damaged; empty the folder, and it comes back as a new voter");
        }
    }

    /** Removes a folder with all that it holds, where it is there. */
    public static void remove(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> files = Files.walk(folder)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path each : all) {
            Files.deleteIfExists(each);
        }
    }

    private static boolean filled(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return false;
        }
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            return files.iterator().hasNext();
        }
    }
}
