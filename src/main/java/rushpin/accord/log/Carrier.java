package rushpin.accord.log;

import java.util.concurrent.CompletableFuture;

/** The way to the other voters; implemented by {@code peer}. Never blocks. */
public interface Carrier {
    /** What is carried, each a request of the agreement library with one answer. */
    enum Kind {
        VOTE,
        APPEND,
        SNAPSHOT,
        START_ELECTION
    }

    /**
     * Carries a request to a voter; completes with the answer's bytes, or exceptionally where the voter can't be reached, the
     * way there is full, or {@code patience} is over. It may have arrived all the same.
     *
     * @param voter the name
     * @param patience nanoseconds
     */
    CompletableFuture<byte[]> carry(String voter, Kind kind, byte[] body, long patience);
}
