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

/** Requests that wait in the queue of a listening socket which outlives the processes that accept at it. */
@Tag("long")
class HeldSocketProcessTest extends NodeTestBase {
    private static final int CLIENTS = 40;
    private static final String EXPIRES_MS = "2000";
    /** The claim is about time that passes: longer than a client waits. */
    private static final long AWAY_MS = 2_200;

    @TempDir
    Path folder;

    private SocketHolder holder(StubServer server) throws Exception {
        SocketHolder made = new SocketHolder(folder, config(member("s-0", server.address(), "Ready", 0)));
        toClose.add(made);
        return made;
    }

    private Socket write(SocketHolder to, String id) throws IOException {
        return write(to, id, EXPIRES_MS);
    }

    private Socket write(SocketHolder to, String id, String expires) throws IOException {
        Socket client = new Socket("127.0.0.1", to.port);
        client.setSoTimeout(60_000);
        toClose.add(client);
        write(client, "POST /api", headers(id, "order", expires), "book");
        return client;
    }

    /** Guards against requests that are sent on after their time, since what waited before the start counted as new. */
    @Test
    void whatWaitedForAProcessBeyondItsTimeIsTurnedAway() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        SocketHolder holder = holder(server);
        List<Socket> stay = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            stay.add(write(holder, "stays-" + i));
            write(holder, "left-" + i).close();
        }
        TimeUnit.MILLISECONDS.sleep(AWAY_MS);
        holder.serve();
        for (Socket client : stay) {
            assertTrue(Set.of("429", "503").contains(status(StubServer.read(client))), "to come again is harmless");
        }
        assertTrue(server.requests.isEmpty(), server.requests.size() + " were sent on after their time");
        Map<String, String> inTime = headers("in-time", "order", "20000");
        write(stay.get(0), "POST /api", inTime, "book");
        assertEquals(
                "200", status(StubServer.read(stay.get(0))), "the same connection's next request came while somebody read");
    }

    /** Guards against an effect that happens twice (NO_EFFECT_TWICE of FleetTest): servers have forgotten the key by then. */
    @Test
    void aKeyedRequestThatRanBeforeAKillIsNotSentAgainAfterItsTime() throws Exception {
        StubServer server = stubServer(m -> {});
        SocketHolder holder = holder(server);
        ProcessHandle first = holder.serve();
        Socket before = write(holder, "order-1", "20000");
        assertEquals("order-1", server.next().headers().get("x-trace-id"));
        first.destroyForcibly();
        first.onExit().get(60, TimeUnit.SECONDS);
        before.close();
        Socket again = write(holder, "order-1");
        TimeUnit.MILLISECONDS.sleep(AWAY_MS);
        holder.serve();
        assertTrue(Set.of("429", "503").contains(status(StubServer.read(again))));
        assertTrue(server.requests.isEmpty(), "it runs again after its time");
    }
}
