package rushpin.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted HTTP/1.1 server on loopback, on plain sockets: an app server, discovery or the counter of a test. */
final class StubServer implements AutoCloseable {
    /** A message: request line or status line, headers by lower-case name, body, and the socket it came from. */
    record Message(String startLine, Map<String, String> headers, String body, Socket socket) {
        void answer(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }

    /** What the server does with a request: it may answer, close the connection or stay silent. */
    interface Script {
        void handle(Message message) throws IOException, InterruptedException;
    }

    /** Requests that no test has taken yet. */
    final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    /** Connections that the node has closed. */
    final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();

    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    StubServer(Script script) throws IOException {
        runInBackground(() -> {
            while (true) {
                Socket socket = listening.accept();
                runInBackground(() -> {
                    for (Message m = read(socket); m != null; m = read(socket)) {
                        requests.add(m);
                        script.handle(m);
                    }
                    closedConnections.add(socket);
                });
            }
        });
    }

    private interface SocketTask {
        void run() throws IOException, InterruptedException;
    }

    private static void runInBackground(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection has been closed, or the test has finished.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Waits for the next request. */
    Message next() throws InterruptedException {
        Message message = requests.poll(30, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("no request came within 30 s");
        }
        return message;
    }

    /** A response 200; {@code headers} are whole lines. */
    static String ok(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Reads one message; null at the end of the connection. */
    static Message read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Message(startLine, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8), socket);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).trim();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
