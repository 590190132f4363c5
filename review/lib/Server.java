import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket on a free port of the loopback address, with a thread for each connection. */
abstract class Server implements AutoCloseable {
    private final ServerSocket listening;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server() throws IOException {
        listening = new ServerSocket();
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    }

    final void begin() {
        thread(() -> {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(() -> {
                    try (socket) {
                        serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    } finally {
                        open.remove(socket);
                    }
                });
            }
        });
    }

    /** Serves one connection until it ends. */
    abstract void serve(Socket socket, InputStream in, OutputStream out) throws Exception;

    final String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    final void cutAll() {
        for (Socket socket : open) {
            quietly(socket::close);
        }
    }

    @Override
    public void close() {
        quietly(listening::close);
        cutAll();
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread thread(Work work) {
        Thread made = new Thread(() -> quietly(work), "stand-in");
        made.setDaemon(true);
        made.start();
        return made;
    }

    static void quietly(Work work) {
        try {
            work.run();
        } catch (IOException | InterruptedException e) {
            // The other side has gone, or the case is over.
        } catch (Exception e) {
            e.printStackTrace();
        }
    }
}
