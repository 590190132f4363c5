package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;

/** A new configuration while the node serves. */
@Timeout(120)
class ReloadTest extends NodeTestBase {
    @TempDir
    Path folder;

    private static String watched(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    @Test
    void theOldListServesUntilTheNewWatchSpeaks() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer old = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        String config = config(member("s-0", old.address(), "Ready", 0));
        EdgeNode node = start(config);
        StubServer elsewhere = stubServer(m -> {
            go.join();
            m.answer(watched("{\"revision\":9,\"complete\":true,\"members\":["
                    + member("s-1", fresh.address(), "Ready", 0) + "]}"));
        });
        discovery.next();
        node.reload(Config.parse(config.replace(discovery.address(), elsewhere.address())));
        assertNotNull(discovery.closedConnections.poll(60, TimeUnit.SECONDS), "the old watch must end");
        assertTrue(elsewhere.next().startLine().contains("watch=1&after=5"));
        Socket client = client(node);
        order(client, "t-1");
        assertEquals("old", StubServer.read(client).body());
        go.complete(null);
        assertNotNull(old.closedConnections.poll(60, TimeUnit.SECONDS), "what the new list leaves out must go");
        order(client, "t-2");
        assertEquals("new", StubServer.read(client).body());
    }

    /** Without a handler the signal ends the JVM: this needs a process of its own. */
    @Test
    void aHangupReadsTheFileAgainAndABadFileChangesNothing() throws Exception {
        StubServer elsewhere = stubServer(m -> m.answer(UNCHANGED));
        String config = config();
        ServeProcess daemon = new ServeProcess(folder, config, null);
        toClose.add(daemon);
        daemon.port();
        discovery.next();
        Files.writeString(daemon.config, "{");
        daemon.signal("HUP");
        daemon.await("the configuration stays as it was");
        Files.writeString(daemon.config, config.replace(discovery.address(), elsewhere.address()));
        daemon.signal("HUP");
        elsewhere.next();
        daemon.signal("TERM");
        assertEquals(0, daemon.ended());
    }
}
