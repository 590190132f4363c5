package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests that wait in the backlog of a listening socket that outlives the processes that accept from it. */
@Tag("long")
class InheritedSocketProcessTest extends NodeTestBase {
    private static final int CLIENTS = 40;
    private static final String EXPIRES_MS = "2000";
    /** How long no process runs; longer than {@link #EXPIRES_MS}, so that what waits expires. */
    private static final long DOWNTIME_MS = 2_200;

    @TempDir
    Path folder;

    private ListeningSocketHolder startHolder(StubServer server) throws Exception {
        ListeningSocketHolder holder =
                new ListeningSocketHolder(folder, config(member("s-0", server.address(), "Ready", 0)));
        toClose.add(holder);
        return holder;
    }

    private Socket send(ListeningSocketHolder to, String id) throws IOException {
        return send(to, id, EXPIRES_MS);
    }

    private Socket send(ListeningSocketHolder to, String id, String expires) throws IOException {
        Socket client = new Socket("127.0.0.1", to.port);
        client.setSoTimeout(60_000);
        toClose.add(client);
        write(client, "POST /api", headers(id, "order", expires), "book");
        return client;
    }

    /** Guards against forwarding expired requests because those that waited before the start were taken for new. */
    @Test
    void requestsThatExpiredInTheBacklogAreRefused() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        ListeningSocketHolder holder = startHolder(server);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            waiting.add(send(holder, "stays-" + i));
            send(holder, "left-" + i).close();
        }
        TimeUnit.MILLISECONDS.sleep(DOWNTIME_MS);
        holder.serve();
        for (Socket client : waiting) {
            assertTrue(
                    Set.of("429", "503").contains(status(StubServer.read(client))),
                    "the refusal must say that a retry is safe");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were forwarded after they had expired");
        Map<String, String> inTime = headers("in-time", "order", "20000");
        write(waiting.get(0), "POST /api", inTime, "book");
        assertEquals(
                "200",
                status(StubServer.read(waiting.get(0))),
                "the next request on the connection did not wait in the backlog");
    }

    /** Guards against an effect that happens twice (rule NO_EFFECT_TWICE): app servers may have dropped the key. */
    @Test
    void aKeyedRequestSentBeforeAKillIsNotSentAgainOnceExpired() throws Exception {
        StubServer server = stubServer(m -> {});
        ListeningSocketHolder holder = startHolder(server);
        ProcessHandle first = holder.serve();
        Socket before = send(holder, "order-1", "20000");
        assertEquals("order-1", server.next().headers().get("x-trace-id"));
        first.destroyForcibly();
        first.onExit().get(60, TimeUnit.SECONDS);
        before.close();
        Socket retry = send(holder, "order-1");
        TimeUnit.MILLISECONDS.sleep(DOWNTIME_MS);
        holder.serve();
        assertTrue(Set.of("429", "503").contains(status(StubServer.read(retry))));
        assertTrue(server.requests.isEmpty(), "sent again after it had expired");
    }
}
