package rushpin.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Decides which record files of a node are kept: the newest, up to the configured size. It does no I/O. */
public final class Retention {
    /** Space reserved for the file being written, in file sizes; above 1 as its last block may exceed the size. */
    private static final double RESERVED_FILES = 1.25;

    private Retention() {}

    /** A record file of this node. Names of one node sort by age. */
    public record Kept(String name, long bytes) {}

    /** Whether a file of this size is to be closed and the next one begun. */
    public static boolean isFull(long bytes, RecordingConfig config) {
        return bytes >= config.fileBytes();
    }

    /** Names of the files to delete before a new one is begun, oldest first, so that a full new file fits. */
    public static List<String> surplus(List<Kept> files, RecordingConfig config) {
        List<Kept> sorted =
                files.stream().sorted(Comparator.comparing(Kept::name)).toList();
        long sum = sorted.stream().mapToLong(Kept::bytes).sum();
        double max = config.maxBytes() - RESERVED_FILES * config.fileBytes();
        List<String> surplus = new ArrayList<>();
        for (Kept file : sorted) {
            if (sum <= max) {
                break;
            }
            sum -= file.bytes();
            surplus.add(file.name());
        }
        return surplus;
    }
}
