import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** One connection of the front: one request at a time. */
final class Client implements AutoCloseable {
    /** What became of one request. */
    record Answer(int status, String body, String problem) {
        boolean isFinal() {
            return problem == null;
        }
    }

    final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
        this.port = port;
    }

    boolean isOpen() {
        return socket != null;
    }

    void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String trace() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static String get(String trace, long customer, String plan, long expiresMs, String quota) {
        return "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: window-lookup\r\nX-Plan: "
                + plan + "\r\nCookie: customer=" + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: "
                + expiresMs + "\r\nX-Quota: " + quota + "\r\n\r\n";
    }

    static String post(String trace, String key, long customer, String plan, long expiresMs, String quota) {
        String body = "order " + trace;
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: pickup-order\r\nX-Plan: "
                + plan + "\r\nCookie: customer=" + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: "
                + expiresMs + "\r\nIdempotency-Key: " + key + "\r\nX-Quota: " + quota + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Sends a request and waits for its answer. As the protocol says, a connection that ends before a byte of the answer may
     * have been closed between requests: that is told as {@code closed}.
     */
    Answer ask(String request, long waitMs) {
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            close();
            return new Answer(0, "", "unsent");
        }
        try {
            socket.setSoTimeout((int) waitMs);
            Http answer = Http.read(in);
            if (answer == null) {
                close();
                return new Answer(0, "", "closed");
            }
            if (answer.closes()) {
                close();
            }
            return new Answer(answer.status(), answer.text(), null);
        } catch (SocketTimeoutException e) {
            close();
            return new Answer(0, "", "silent");
        } catch (IOException | RuntimeException e) {
            close();
            return new Answer(0, "", "broken: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            Server.quietly(socket::close);
            socket = null;
        }
    }
}
