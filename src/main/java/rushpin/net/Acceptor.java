package rushpin.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Accepts connections. One that was aborted while it waited is no failure of the listening socket: the next one is accepted. */
final class Acceptor {
    /** How often one call tries; then the loop's other sockets come first. */
    static final int MOST_TRIES = 16;
    /** What the C library says of ECONNABORTED; where it says it in another language it counts as any other failure. */
    private static final String ABORTED = "connection abort";

    /** The system's accept. */
    interface Source {
        /** The next connection, or null if none waits. */
        SocketChannel accept(ServerSocketChannel listening) throws IOException;
    }

    private final Source source;

    Acceptor(Source source) {
        this.source = source;
    }

    /** The next connection, or null if none waits; a failure if it is none of that one connection only. */
    SocketChannel accept(ServerSocketChannel listening) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                return source.accept(listening);
            } catch (IOException e) {
                if (tries == MOST_TRIES || !isAborted(e)) {
                    throw e;
                }
            }
        }
    }

    private static boolean isAborted(IOException failure) {
        return failure.getMessage() != null && failure.getMessage().contains(ABORTED);
    }
}
