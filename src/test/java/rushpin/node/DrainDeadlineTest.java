package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests whose app server hangs while the process ends: each has its response before the process may be killed,
 * whenever it was handed over and whenever its last byte came.
 */
class DrainDeadlineTest extends NodeTestBase {
    /** SIGKILL may come this long after SIGTERM: the longest deadline, 3 s at most, and 0.7 s. */
    private static final long KILL_MS = 3_700;
    /** How long the clients wait: beyond the kill. */
    private static final String EXPIRES_MS = "20000";

    /** More than is buffered of a body, so that it is passed on while it comes. */
    private static final int FIRST_BYTES = 340_000;

    private static final int PIECE_BYTES = 3_000;
    private static final int PIECE_INTERVAL_MS = 60;

    /** Later than the wait of a client that waits 1 s counts from the drain, and long before the kill. */
    private static final int LATE_MS = 1_600;

    /** The id of a request that does not hang. */
    private static final String ANSWERED = "answered";

    /** Long enough for what a client has written to be handed over before the drain. */
    private static final int HAND_OVER_MS = 300;

    /** Completes when the test ends; until then the app server answers {@link #ANSWERED} alone. */
    private final CompletableFuture<Void> testEnded = new CompletableFuture<>();

    private StubServer server;
    private EdgeNode node;

    @BeforeEach
    void startServerAndNode() throws Exception {
        server = stubServer(m -> {
            if (m.headers().get("x-trace-id").equals(ANSWERED)) {
                m.answer(StubServer.ok("", "x"));
            } else {
                testEnded.join();
            }
        });
        toClose.add(() -> testEnded.complete(null));
        node = node(server);
    }

    /** Lets the node hand over what was written, begins the drain and returns its time. */
    private long beginDrain() throws Exception {
        TimeUnit.MILLISECONDS.sleep(HAND_OVER_MS);
        CompletableFuture.runAsync(node::closeAfterAnswers, node.loop()).get(60, TimeUnit.SECONDS);
        return System.nanoTime();
    }

    /** Writes pieces until the given time or number of bytes. */
    private static void writePieces(Socket to, int bytes, long untilNanos) throws Exception {
        for (int sent = 0; sent < bytes && System.nanoTime() < untilNanos; sent += PIECE_BYTES) {
            to.getOutputStream().write(new byte[Math.min(PIECE_BYTES, bytes - sent)]);
            TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
        }
    }

    private static String statusBeforeKill(Socket client, long drainBegan) throws IOException {
        StubServer.Message answer = StubServer.read(client);
        long ms = (System.nanoTime() - drainBegan) / 1_000_000;
        assertNotNull(answer, "the connection ended without a response");
        assertTrue(ms < KILL_MS, "answered " + ms + " ms after the drain began, when the process may be dead");
        return status(answer);
    }

    /** The request has a key that all app servers know, so it may be refused as well as failed. */
    private static void assertFinal(String status) {
        assertTrue(List.of("429", "502", "503").contains(status), status);
    }

    /** Guards against a long body that is lost at SIGKILL: its last byte gave it the client's whole time again. */
    @Test
    void aLongBodyWhoseLastByteComesDuringTheDrainIsAnswered() throws Exception {
        Socket client = client(node);
        int rest = 10 * PIECE_BYTES;
        writeHead(client, "t-1", EXPIRES_MS, "Content-Length: " + (FIRST_BYTES + rest));
        client.getOutputStream().write(new byte[FIRST_BYTES]);
        long drainBegan = beginDrain();
        writePieces(client, rest, Long.MAX_VALUE);
        assertFinal(statusBeforeKill(client, drainBegan));
    }

    /** Guards against a body that was passed on in part and is lost at SIGKILL: its last byte may be unread by then. */
    @Test
    void aLongBodyThatIsStillComingAtTheEndOfTheDrainIsRefused() throws Exception {
        Socket client = client(node);
        writeHead(client, "t-1", EXPIRES_MS, "Content-Length: " + 2 * FIRST_BYTES);
        client.getOutputStream().write(new byte[FIRST_BYTES]);
        long drainBegan = beginDrain();
        CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> {
            try {
                writePieces(client, FIRST_BYTES - PIECE_BYTES, drainBegan + KILL_MS * 1_000_000);
            } catch (Exception e) {
                // The connection is closed after the response.
            }
        });
        String status = statusBeforeKill(client, drainBegan);
        assertTrue(List.of("429", "503").contains(status), "no app server had the last byte: " + status);
        writing.join();
    }

    /** Guards against a request that is lost at SIGKILL: the drain bounded only those that were handed over after it. */
    @Test
    void aRequestThatIsOpenWhenTheDrainBeginsIsAnswered() throws Exception {
        Socket client = client(node);
        write(client, "POST /api", headers("t-1", "order", EXPIRES_MS), "book");
        server.next();
        long drainBegan = beginDrain();
        assertFinal(statusBeforeKill(client, drainBegan));
    }

    /** Guards against a refusal long before the kill: the drain counted the time that the late client itself waits. */
    @Test
    void aRequestWithAShortTimeThatComesLateInTheDrainIsServed() throws Exception {
        // The module expects an eighth of the aim for a first request, and would refuse one that has less time.
        String config = config(member("s-0", server.address(), "Ready", 0));
        node = start(config.replace("\"aim-ns\": 10000000000", "\"aim-ns\": 800000000"));
        Socket client = client(node);
        beginDrain();
        TimeUnit.MILLISECONDS.sleep(LATE_MS);
        write(client, "POST /api", headers(ANSWERED, "order", "1000"), "book");
        assertEquals("200", status(StubServer.read(client)));
    }
}
