package rushpin.net;

/**
 * Divides a process's file descriptors among client connections, connections to app servers, and the process itself.
 * All three may be at their limits at the same time without running out: with no descriptor left, accepting fails, and
 * so does opening any file.
 *
 * @param clients the maximum number of client connections
 * @param servers the maximum number of connections to app servers
 */
public record Descriptors(int clients, int servers) {
    /**
     * Descriptors that the process itself may hold: 19 files, pipes and selectors, of which 2 are open only briefly; 2
     * listening sockets; 9 console connections; 2 discovery watches; 4 connections to the counter; and 8 closed sockets
     * to app servers that were replaced, whose descriptors the selector frees in its next pass.
     */
    private static final int MIN_OWN = 44;

    /** Reserves an eighth, but at least 44, for the process itself; clients get four sevenths of the rest. */
    public static Descriptors of(int total) {
        int rest = Math.max(0, total - Math.max(MIN_OWN, total / 8));
        return new Descriptors(Math.max(8, rest * 4 / 7), Math.max(16, rest * 3 / 7));
    }
}
