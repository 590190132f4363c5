package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.net.ByteBudget;

/** Clients that send malformed, too large or incomplete requests, pipeline too far ahead, or stay silent. */
@Timeout(120)
class MisbehavingClientTest extends NodeTestBase {
    private static void writeText(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String headOf(Map<String, String> headers, String first) {
        StringBuilder text = new StringBuilder(first).append(" HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.toString();
    }

    /** Expects this status and a close; a reset will do where the node closes with much unread. */
    private static void assertRefused(Socket client, String status, String message) throws IOException {
        try {
            StubServer.Message answer = StubServer.read(client);
            assertEquals(status, status(answer), message);
            assertEquals("close", answer.headers().get("connection"), message);
            assertNull(StubServer.read(client), message);
        } catch (SocketException e) {
            assertTrue(e.getMessage().contains("reset"), message + ": " + e);
        }
    }

    /** Request smuggling: bytes after a rejected message may belong to its body and must not be read as a request. */
    @Test
    void nothingAfterARejectedMessageIsRead() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        String validRequest = headOf(headers("t-2", "order", "20000"), "POST /api") + "Content-Length: 0\r\n\r\n";
        String head = headOf(headers("t-1", "order", "20000"), "POST /api");
        for (String malformed : List.of(
                head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbook",
                head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbook",
                head + "Content-Length: 4, 4\r\n\r\nbook",
                head + "Content-Length: -4\r\n\r\n",
                head + "Content-Length: four\r\n\r\n",
                head + "Content-Length: 99999999999999999999\r\n\r\n",
                head + "Transfer-Encoding: gzip\r\n\r\n",
                head + "X-Trace-Id: t-3\r\n\r\n",
                head + "X-Odd name: x\r\n\r\n",
                head.replace("X-Qos: order", "X-Qos: odd") + "\r\n",
                head.replace("units=1", "units=1d") + "\r\n",
                head.replace("units=1", "units=9") + "\r\n",
                head.replace("units=1", "units=1,units=2") + "\r\n",
                head.replace("spread=1", "spread=0x1") + "\r\n",
                head.replace("20000", "1e3") + "\r\n",
                head.replace("20000", "900000000") + "\r\n",
                head.replace("customer=00000", "customer=+0000") + "\r\n",
                "nonsense\r\n\r\n",
                "\u0000\u0001\u0002\r\n\r\n")) {
            Socket client = client(node);
            writeText(client, malformed + validRequest);
            assertRefused(client, "400", malformed);
        }
        assertTrue(server.requests.isEmpty(), "none of these may reach an app server");
    }

    @Test
    void aBodyThatIsTooLargeIsRejectedUnread() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = node(server);
        String head = headOf(headers("t-1", "order", "20000"), "POST /api");
        for (String lengthAndBody :
                List.of("Content-Length: 40000001\r\n\r\n", "Content-Length: 60000000\r\n\r\n" + "x".repeat(9_000))) {
            Socket client = client(node);
            writeText(client, head + lengthAndBody);
            assertRefused(client, "413", lengthAndBody.substring(0, 24));
        }
        assertTrue(server.requests.isEmpty());
    }

    /** Read and idle timeouts close connections that send nothing more, but not one with a request in flight. */
    @Test
    void silentAndHalfRequestsTimeOutAndARequestInFlightDoesNot() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(respondAfter(go));
        EdgeNode node = node(server);
        Socket busy = client(node);
        order(busy, "t-1");
        server.next();
        Socket halfHead = client(node);
        writeText(halfHead, "POST /api HTTP/1.1\r\nX-");
        Socket halfBody = client(node);
        writeText(halfBody, headOf(headers("t-2", "order", "20000"), "POST /api") + "Content-Length: 9\r\n\r\nhalf");
        Socket silent = client(node);
        assertRefused(halfHead, "408", "incomplete head");
        assertRefused(halfBody, "408", "incomplete body");
        assertNull(StubServer.read(silent));
        // The request has been in flight for longer than all of these timeouts.
        go.complete(null);
        assertEquals("200", status(StubServer.read(busy)));
        assertNull(StubServer.read(busy), "the connection is idle then and must be closed");
    }

    /**
     * Pipelined requests must stay unread: decoding them on arrival would let many connections fill the memory. While a
     * client is so far ahead that its disconnect could go unnoticed, each of its requests is rejected in order and not
     * forwarded.
     */
    @Test
    void pipelinedRequestsStayUnread() throws Exception {
        int count = 400;
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            go.join();
            m.answer(StubServer.ok("", m.headers().get("x-trace-id")));
        });
        EdgeNode node = node(server);
        Socket pipelining = client(node);
        String body = "x".repeat(64 * 1024);
        CompletableFuture<Void> written = CompletableFuture.runAsync(() -> {
            try {
                for (int i = 0; i < count; i++) {
                    write(pipelining, "POST /api", headers("a-" + i, "order", "20000"), body);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertEquals("a-0", server.next().headers().get("x-trace-id"));
        Socket other = client(node);
        order(other, "t-1");
        server.next();
        assertFalse(written.isDone(), "the node has read all 25 MB ahead");
        go.complete(null);
        assertEquals("200", status(StubServer.read(other)));
        assertEquals("a-0", StubServer.read(pipelining).body());
        List<String> served = new ArrayList<>();
        for (int i = 1; i < count; i++) {
            StubServer.Message answer = StubServer.read(pipelining);
            if (!status(answer).equals("503")) {
                assertEquals("a-" + i, answer.body());
                served.add("a-" + i);
            }
        }
        written.join();
        assertFalse(served.contains("a-1"), "a-1 had more unread bytes behind it than the node reads ahead");
        assertEquals("200", ask(pipelining, "a-last"), "the client is no longer ahead");
        served.add("a-last");
        for (String id : served) {
            assertEquals(id, server.next().headers().get("x-trace-id"));
        }
        assertTrue(server.requests.isEmpty(), "a rejected request must not be forwarded");
    }

    /**
     * Unread pipelined requests hide the client's disconnect from the node, which must not forward them one by one for
     * a client that is gone.
     */
    @Test
    void aClientThatPipelinesFarAheadAndDisconnectsIsNotServed() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            if (!m.headers().get("x-trace-id").equals("first")) {
                go.join();
            }
            m.answer(StubServer.ok("", "x"));
        });
        EdgeNode node = node(server);
        Socket pipelining = client(node);
        // The first request after a start stalls the loop, and after a stall the node reads sockets before it forwards.
        assertEquals("200", ask(pipelining, "first"));
        server.next();
        for (int i = 0; i < 500; i++) {
            order(pipelining, "a-" + i);
        }
        server.next();
        // Each pass of the loop reads more than the read-ahead of a connection, so by now the node has stopped reading.
        for (int pass = 0; pass < 3; pass++) {
            node.loop().schedule(() -> {}, 1, TimeUnit.NANOSECONDS).get();
        }
        pipelining.close();
        go.complete(null);
        while (node.connections() > 0) {
            Thread.onSpinWait();
        }
        assertEquals("200", ask(client(node), "t-1"));
        assertEquals("t-1", server.next().headers().get("x-trace-id"), "a client that had disconnected was served");
        assertTrue(server.requests.isEmpty());
    }

    /** The answer, the next request and the client's disconnect all wait in sockets when the loop runs again. */
    @Test
    void aClientThatDisconnectsAfterItsNextRequestIsNotServed() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        CompletableFuture<Void> answered = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            go.join();
            m.answer(StubServer.ok("", "x"));
            answered.complete(null);
        });
        EdgeNode node = node(server);
        Socket leaving = client(node);
        order(leaving, "a-0");
        server.next();
        CompletableFuture<Void> held = new CompletableFuture<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        node.loop().execute(() -> {
            held.complete(null);
            done.join();
        });
        held.join();
        order(leaving, "a-1");
        leaving.close();
        go.complete(null);
        answered.join();
        done.complete(null);
        while (node.connections() > 0) {
            Thread.onSpinWait();
        }
        assertEquals("200", ask(client(node), "t-1"));
        assertEquals("t-1", server.next().headers().get("x-trace-id"), "a client that had disconnected was served");
    }

    @Test
    void theLastQuarterOfTheBodyBudgetIsReservedForSmallBodies() {
        ByteBudget budget = new ByteBudget(16 << 20);
        assertTrue(budget.allows(64 * 1024));
        budget.change(800_000);
        assertFalse(budget.allows(64 * 1024));
        assertTrue(budget.allows(200));
        budget.change(300_000);
        assertFalse(budget.allows(200));
        budget.change(-1_100_000);
        assertEquals(0, budget.used());
    }

    /** Guards against clients that hold idle connections until none are left for others. */
    @Test
    void idleConnectionsAreLimited() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "done")));
        EdgeNode node =
                start(config(member("s-0", server.address(), "Ready", 0)).replace("1024", "96"));
        Socket last = null;
        for (int i = 0; i < 30; i++) {
            last = client(node);
            order(last, "k-" + i);
            StubServer.Message answer = StubServer.read(last);
            assertEquals("200", status(answer));
            if (i == 20) {
                assertEquals("close", answer.headers().get("connection"), "the answer must announce the close");
                assertEquals(-1, last.getInputStream().read());
            }
        }
        assertTrue(node.connections() <= 17, "open connections: " + node.connections());
        assertEquals("200", ask(client(node), "k-30"));
    }
}
