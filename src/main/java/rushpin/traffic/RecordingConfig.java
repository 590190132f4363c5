package rushpin.traffic;

import java.nio.file.Path;

/**
 * The operator's configuration of traffic records.
 *
 * @param folder the folder to write to; created if it is missing
 * @param key a file of at least {@link Pseudonyms#MIN_KEY_BYTES} bytes, the key of the customers' pseudonyms;
 *     the same for the whole fleet
 * @param fileBytes the size in bytes from which a file is closed and the next one begun
 * @param maxBytes the total size in bytes of this node's files; the oldest are deleted
 * @param maxPerSecond requests recorded per second; those beyond are dropped and counted, which bounds the CPU
 */
public record RecordingConfig(Path folder, Path key, long fileBytes, long maxBytes, int maxPerSecond) {
    /** Default size in bytes of one file. */
    public static final long DEFAULT_FILE_BYTES = 8L << 20;

    /** Default size in bytes of all files of a node. */
    public static final long DEFAULT_MAX_BYTES = 64L << 20;

    /** Default number of requests recorded per second. */
    public static final int DEFAULT_MAX_PER_SECOND = 2_000;
}
