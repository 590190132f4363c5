package rushpin.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which files of records stay: the newest of a node's own, within its bytes. It looks at no disk. */
public final class Retention {
    /** Bytes kept free for the file that is being written, as a part of a file's: its last block may go beyond. */
    private static final double ROOM = 1.25;

    private Retention() {}

    /** A file of this node's; names of one node sort by their age. */
    public record Kept(String name, long bytes) {}

    /** Whether a file of so many bytes is to be followed by the next. */
    public static boolean isFull(long bytes, RecordingConfig keeping) {
        return bytes >= keeping.fileBytes();
    }

    /** The names to delete before a file is begun, the oldest first, so that all fit with the new one in full. */
    public static List<String> surplus(List<Kept> files, RecordingConfig keeping) {
        List<Kept> sorted =
                files.stream().sorted(Comparator.comparing(Kept::name)).toList();
        long sum = sorted.stream().mapToLong(Kept::bytes).sum();
        double most = keeping.mostBytes() - ROOM * keeping.fileBytes();
        List<String> gone = new ArrayList<>();
        for (Kept file : sorted) {
            if (sum <= most) {
                break;
            }
            sum -= file.bytes();
            gone.add(file.name());
        }
        return gone;
    }
}
