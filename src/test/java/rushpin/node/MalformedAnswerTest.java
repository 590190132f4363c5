package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** App servers that send malformed answers, or bytes beyond the end of an answer. */
@Timeout(120)
class MalformedAnswerTest extends NodeTestBase {
    /**
     * Bytes behind an answer must not be read as the next request's answer, which happened when the connection went
     * back to the pool before they were seen.
     */
    @Test
    void bytesAfterAnAnswerAreNotTheNextAnswer() throws Exception {
        for (String extra : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
                "HTTP/1.1 200 O",
                "\r\n",
                "noise",
                "HTTP/1.1 100 Continue\r\n\r\n")) {
            StubServer server =
                    stubServer(m -> m.answer(StubServer.ok("", m.headers().get("x-trace-id")) + extra));
            Socket client = client(node(server));
            for (String id : List.of("t-1", "t-2", "t-3")) {
                order(client, id);
                StubServer.Message answer = StubServer.read(client);
                assertEquals("200", status(answer), extra);
                assertEquals(id, answer.body(), extra);
                assertNotNull(
                        server.closedConnections.poll(60, TimeUnit.SECONDS),
                        "a connection with extra bytes must be closed");
            }
        }
    }

    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer server = stubServer(m -> {
            m.answer(StubServer.ok("", "x"));
            go.join();
            m.answer("H");
        });
        assertEquals("200", ask(client(node(server)), "t-1"));
        go.complete(null);
        assertNotNull(
                server.closedConnections.poll(60, TimeUnit.SECONDS), "unexpected bytes must close the connection");
    }

    /** The server keeps the connection open, so waiting for more bytes would use up the request's deadline. */
    @Test
    void aMalformedAnswerFailsItsAttemptImmediately() throws Exception {
        for (String malformed : List.of(
                "noise",
                "\u0001\u0002",
                "\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nno end told",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nnoise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nhalf",
                "HTTP/1.1 2x0 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Open: end",
                "HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Long: " + "x".repeat(20_000))) {
            StubServer[] server = new StubServer[1];
            server[0] =
                    stubServer(m -> m.answer(server[0].requests.size() == 1 ? malformed : StubServer.ok("", "good")));
            Socket client = client(node(server[0]));
            client.setSoTimeout(9_000);
            order(client, "t-1");
            StubServer.Message answer = StubServer.read(client);
            assertEquals("200", status(answer), malformed);
            assertEquals("good", answer.body(), malformed);
            // The attempt may have run, so a request that must not run twice is not retried.
            StubServer strict = stubServer(m -> m.answer(malformed));
            Socket other = client(node(strict));
            write(other, "POST /api", headers("t-2", "strict", "20000"), "book");
            assertEquals("502", status(StubServer.read(other)), malformed);
            strict.next();
            assertTrue(strict.requests.isEmpty(), "the request must be sent only once: " + malformed);
        }
    }

    @Test
    void informationalResponsesBeforeAnAnswerAreSkipped() throws Exception {
        StubServer server =
                stubServer(m -> m.answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n"
                        + StubServer.ok("X-Units-Charged: 1e99\r\nEndpoint-Load-Metrics: nonsense\r\n", "good")));
        Socket client = client(node(server));
        for (String id : List.of("t-1", "t-2")) {
            order(client, id);
            assertEquals("good", StubServer.read(client).body());
        }
    }
}
