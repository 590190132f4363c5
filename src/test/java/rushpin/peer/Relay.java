package rushpin.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;

/** A way between two processes that a test can spoil. Its port is there before that of whom it leads to. */
final class Relay implements AutoCloseable {
    enum Mode {
        PASS,
        /** Takes connections and bytes, and passes nothing on; what is open then stays dumb for ever. */
        DUMB
    }

    private final ServerSocket listening;
    private final List<Socket> open = new ArrayList<>();
    /** An element for each connection that has come. */
    final LinkedBlockingQueue<String> came = new LinkedBlockingQueue<>();

    private volatile int target;
    private Mode mode = Mode.PASS;
    private int generation;

    Relay() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Sockets.daemon(this::accept, "relay").start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    void to(int port) {
        target = port;
    }

    synchronized void mode(Mode to) {
        mode = to;
        generation++;
    }

    /** Ends all that is open by a reset. */
    synchronized void reset() {
        for (Socket each : open) {
            try {
                each.setOption(StandardSocketOptions.SO_LINGER, 0);
                each.close();
            } catch (IOException e) {
                // Ended before.
            }
        }
        open.clear();
    }

    private void accept() {
        try {
            while (true) {
                Socket in = listening.accept();
                Socket out = new Socket(InetAddress.getLoopbackAddress(), target);
                int born;
                synchronized (this) {
                    open.add(in);
                    open.add(out);
                    born = mode == Mode.PASS ? generation : -1;
                }
                came.add("one");
                Sockets.daemon(() -> pump(in, out, born), "relay up").start();
                Sockets.daemon(() -> pump(out, in, born), "relay down").start();
            }
        } catch (IOException e) {
            // Closed, or nobody is there: connections are refused from now on.
            close();
        }
    }

    private synchronized boolean passes(int born) {
        return born == generation;
    }

    private void pump(Socket from, Socket to, int born) {
        byte[] bytes = new byte[16_384];
        try (from;
                to) {
            for (int read = from.getInputStream().read(bytes);
                    read >= 0;
                    read = from.getInputStream().read(bytes)) {
                if (passes(born)) {
                    to.getOutputStream().write(bytes, 0, read);
                }
            }
        } catch (IOException e) {
            // Ended by either side.
        }
    }

    @Override
    public void close() {
        try {
            listening.close();
        } catch (IOException e) {
            // Closed before.
        }
        reset();
    }
}
