package rushpin.membership.xds;

import java.util.SplittableRandom;

/**
 * Which of several management servers is tried next, and when. They are in order of preference: a stream that had
 * answered begins again with the first; one that had not goes on to the next, and waits longer each time all have been
 * tried. No I/O.
 */
public final class ReconnectBackoff {
    private static final double JITTER = 0.2, GROWTH = 1.6;

    private final int servers;
    private final long first, most;
    private final SplittableRandom random;
    private int server;
    private long span;

    /** For so many servers; spans in nanoseconds. */
    public ReconnectBackoff(int servers, long first, long most, SplittableRandom random) {
        this.servers = servers;
        this.first = first;
        this.most = most;
        this.random = random;
        span = first;
    }

    /** The number of the server to try. */
    public int server() {
        return server;
    }

    /** The stream has ended; returns how long to wait, in nanoseconds, a fifth more or less by chance. */
    public long ended(boolean hadAnswered) {
        if (hadAnswered) {
            server = 0;
            span = first;
        } else {
            server = (server + 1) % servers;
            if (server == 0) {
                span = (long) Math.min(most, span * GROWTH);
            }
        }
        return (long) (span * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
