package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The last response on a connection, which the node then closes although its client has sent more. */
class FinalResponseTest extends NodeTestBase {
    private static final int BODY_BYTES = 60 * 1024;
    /** Less than a response: the node's kernel keeps the rest until the client reads. */
    private static final int RECEIVE_BUFFER = 16 * 1024;

    /** More than the node reads ahead of a response: the rest is unread when the connection is closed. */
    private static final int UNREAD_BYTES = 256 * 1024;
    /** Iterations of the event loop after which the node has read ahead as much as it will. */
    private static final int LOOP_ITERATIONS = 16;

    private Socket slowClient(EdgeNode node) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        socket.connect((InetSocketAddress) node.address());
        socket.setSoTimeout(60_000);
        toClose.add(socket);
        return socket;
    }

    /** Reads until the connection is closed or reset. */
    private static String readToEnd(Socket from) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        InputStream in = from.getInputStream();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                read.write(next);
            }
        } catch (IOException e) {
            // A reset ends the connection too; the length of what was read before it is asserted.
        }
        return read.toString(StandardCharsets.US_ASCII);
    }

    @Test
    void aResponseBeingDeliveredArrivesWholeThoughItsClientSentMore() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            go.join();
            m.answer(StubServer.ok("", "x".repeat(BODY_BYTES)));
        });
        EdgeNode node = node(server);
        Socket client = slowClient(node);
        Map<String, String> headers = headers("r1", "order", "20000");
        headers.put("Connection", "close");
        write(client, "POST /api?slot=4", headers, "book");
        server.next();

        client.getOutputStream().write(new byte[UNREAD_BYTES]);
        for (int i = 0; i < LOOP_ITERATIONS; i++) {
            node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get(30, TimeUnit.SECONDS);
        }
        go.complete(null);
        // Waits until the response is written and the node has acted on that, before the client reads on.
        while (client.getInputStream().available() == 0) {
            Thread.sleep(1);
        }
        for (int i = 0; i < LOOP_ITERATIONS; i++) {
            node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get(30, TimeUnit.SECONDS);
        }

        String answer = readToEnd(client);
        assertEquals(BODY_BYTES, answer.length() - answer.indexOf("\r\n\r\n") - 4, "bytes of the response's body");
    }
}
