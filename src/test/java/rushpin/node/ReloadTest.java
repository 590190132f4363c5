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

/** A changed configuration while the node serves. */
@Timeout(120)
class ReloadTest extends NodeTestBase {
    @TempDir
    Path folder;

    private static String watchResponse(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    @Test
    void theOldServerListIsUsedUntilTheNewWatchAnswers() throws Exception {
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer oldServer = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer newServer = stubServer(m -> m.answer(StubServer.ok("", "new")));
        String config = config(member("s-0", oldServer.address(), "Ready", 0));
        EdgeNode node = start(config);
        StubServer newDiscovery = stubServer(m -> {
            go.join();
            m.answer(watchResponse("{\"revision\":9,\"complete\":true,\"members\":["
                    + member("s-1", newServer.address(), "Ready", 0) + "]}"));
        });
        discovery.next();
        node.reload(Config.parse(config.replace(discovery.address(), newDiscovery.address())));
        assertNotNull(discovery.closedConnections.poll(60, TimeUnit.SECONDS), "the old watch must be closed");
        assertTrue(newDiscovery.next().startLine().contains("watch=1&after=5"));
        Socket client = client(node);
        order(client, "t-1");
        assertEquals("old", StubServer.read(client).body());
        go.complete(null);
        assertNotNull(
                oldServer.closedConnections.poll(60, TimeUnit.SECONDS),
                "connections to a server that left the list must be closed");
        order(client, "t-2");
        assertEquals("new", StubServer.read(client).body());
    }

    /** Needs a process of its own: a JVM without a handler is ended by SIGHUP. */
    @Test
    void aSighupReloadsTheFileAndABadFileChangesNothing() throws Exception {
        StubServer newDiscovery = stubServer(m -> m.answer(UNCHANGED));
        String config = config();
        ServeProcess process = new ServeProcess(folder, config, null);
        toClose.add(process);
        process.awaitPort();
        discovery.next();
        Files.writeString(process.config, "{");
        process.signal("HUP");
        process.awaitLine("the configuration stays as it was");
        Files.writeString(process.config, config.replace(discovery.address(), newDiscovery.address()));
        process.signal("HUP");
        newDiscovery.next();
        process.signal("TERM");
        assertEquals(0, process.awaitExit());
    }
}
