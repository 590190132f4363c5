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

/** A scripted HTTP/1.1 peer on loopback: whatever an edge node connects to, written on plain sockets. */
final class StubServer implements AutoCloseable {
    /** What came: the request line, the headers by lower-case name, the body. */
    record Message(String startLine, Map<String, String> headers, String body, Socket socket) {
        void answer(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }

    /** What a peer does with a message; it may answer, close the connection, or keep silent. */
    interface Script {
        void on(Message message) throws IOException, InterruptedException;
    }

    final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    StubServer(Script script) throws IOException {
        daemon(() -> {
            while (true) {
                Socket socket = listening.accept();
                daemon(() -> {
                    for (Message m = read(socket); m != null; m = read(socket)) {
                        requests.add(m);
                        script.on(m);
                    }
                    closedConnections.add(socket);
                });
            }
        });
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // The other side or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    Message next() throws InterruptedException {
        Message message = requests.poll(30, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("nothing came");
        }
        return message;
    }

    static String ok(String headers, String body) {
        return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Reads one message; null at the connection's end. */
    static Message read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Message(startLine, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8), socket);
    }

    private static String line(InputStream in) throws IOException {
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
