package rushpin.traffic;

import java.nio.file.Path;

/**
 * What the operator's file says of records.
 *
 * @param folder where they go; made if it is not there
 * @param key a file of {@link Pseudonyms#LEAST_KEY} bytes or more that customers' pseudonyms are made with; one for the fleet
 * @param fileBytes a file is followed by the next once it has so many bytes
 * @param mostBytes so many bytes of this node's are kept, the newest
 * @param maxPerSecond requests beyond so many in a second are dropped and counted, which bounds the CPU
 */
public record RecordingConfig(Path folder, Path key, long fileBytes, long mostBytes, int maxPerSecond) {
    /** A file's bytes, all files' bytes, requests a second, where the operator says nothing. */
    public static final long DEFAULT_FILE_BYTES = 8L << 20, DEFAULT_MAX_BYTES = 64L << 20;
    /** As above. */
    public static final int DEFAULT_MAX_PER_SECOND = 2_000;
}
