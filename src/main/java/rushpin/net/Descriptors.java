package rushpin.net;

/**
 * How a process's descriptors are dealt out: clients' connections, connections to app servers, and the rest for the process itself. All three
 * may be at their bounds at one moment, and no descriptor may be wanting then: where there is none left, accepting fails, and so does whatever
 * opens a file.
 *
 * @param clients the most connections of clients
 * @param servers the most connections to app servers
 */
public record Descriptors(int clients, int servers) {
    /**
     * What the process itself holds at the most: 19 files, pipes and selectors, of which 2 are open for a moment; 2 listening sockets; 9
     * callers of the console; 2 watches of discovery; 4 connections to the counter; and 8 sockets to app servers that gave way to
     * others, whose descriptors the selector lets go of in its next pass.
     */
    private static final int OWN = 44;

    /** Of so many in all an eighth, or what it may need, is the process's own; of the rest clients have four sevenths. */
    public static Descriptors of(int all) {
        int rest = Math.max(0, all - Math.max(OWN, all / 8));
        return new Descriptors(Math.max(8, rest * 4 / 7), Math.max(16, rest * 3 / 7));
    }
}
