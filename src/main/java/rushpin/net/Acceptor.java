package rushpin.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Accepts connections; one that was aborted in the backlog is skipped, since the listening socket has not failed. */
final class Acceptor {
    /** Attempts of one call; after that the loop's other sockets come first. */
    static final int MAX_ATTEMPTS = 16;
    /** In the C library's text for ECONNABORTED; in another language the failure is treated like any other. */
    private static final String ABORTED = "connection abort";

    /** The accept call; tests replace it. */
    interface Source {
        /** Accepts the next connection, or returns null if the backlog is empty. */
        SocketChannel accept(ServerSocketChannel listening) throws IOException;
    }

    private final Source source;

    Acceptor(Source source) {
        this.source = source;
    }

    /** Accepts the next connection, or returns null if the backlog is empty; throws if the socket itself fails. */
    SocketChannel accept(ServerSocketChannel listening) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return source.accept(listening);
            } catch (IOException e) {
                if (attempt == MAX_ATTEMPTS || !isAborted(e)) {
                    throw e;
                }
            }
        }
    }

    private static boolean isAborted(IOException failure) {
        return failure.getMessage() != null && failure.getMessage().contains(ABORTED);
    }
}
