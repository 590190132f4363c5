package rushpin.membership.xds;

import java.util.SplittableRandom;

/**
 * Chooses which management server is tried next, and after which delay. Servers are in order of preference: after a
 * stream that had answered, the first server is tried again; after one that had not, the next one, with a longer delay
 * each time all servers have been tried. No I/O.
 */
public final class ReconnectBackoff {
    /** The delay varies by this part of it, up or down. */
    private static final double JITTER = 0.2;
    /** The factor by which the delay grows after each round of all servers. */
    private static final double GROWTH = 1.6;

    private final int servers;
    private final long initialDelay;
    private final long maxDelay;
    private final SplittableRandom random;
    /** The number of the server to try, from 0. */
    private int server;
    /** The delay before jitter, nanoseconds. */
    private long delay;

    /** For a number of servers; delays in nanoseconds. */
    public ReconnectBackoff(int servers, long initialDelay, long maxDelay, SplittableRandom random) {
        this.servers = servers;
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
        delay = initialDelay;
    }

    /** The number of the server to try, from 0. */
    public int server() {
        return server;
    }

    /** Records the end of a stream; returns the delay before the next attempt in nanoseconds, with 20% jitter. */
    public long ended(boolean hadAnswered) {
        if (hadAnswered) {
            server = 0;
            delay = initialDelay;
        } else {
            server = (server + 1) % servers;
            if (server == 0) {
                delay = (long) Math.min(maxDelay, delay * GROWTH);
            }
        }
        return (long) (delay * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
