package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rushpin.config.Config;
import rushpin.config.OperatorFile;

/** Nodes that share an address have a backlog each: connections in the backlog of a node that drains are not lost. */
class ProcessRegistryTest extends NodeTestBase {
    @Test
    void connectionsInTheBacklogAreAcceptedBeforeTheSocketCloses() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        Config config = Config.parse(config(member("s-0", server.address(), "Ready", 0)));
        EdgeNode node = new EdgeNode(
                config,
                OperatorFile.parse(ServeProcess.operatorFile("listener = \"reuseport\"\n"), Path.of("."), config));
        toClose.add(node);
        node.start();
        InetSocketAddress address = (InetSocketAddress) node.address();
        // Blocks the loop until all clients wait in the backlog; the drain is the first task that runs then.
        CountDownLatch connected = new CountDownLatch(1);
        node.loop().execute(() -> {
            try {
                connected.await(60, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            client.setSoTimeout(60_000);
            toClose.add(client);
            Map<String, String> headers = headers("t-" + i, "order", "20000");
            write(client, "POST /api", headers, "book");
            clients.add(client);
        }
        CompletableFuture<Integer> drained = node.drain();
        connected.countDown();
        for (Socket client : clients) {
            StubServer.Message answer = StubServer.read(client);
            assertNotNull(answer, "the connection was reset with the listening socket");
            assertEquals("close", answer.headers().get("connection"));
        }
        assertEquals(0, drained.get(60, TimeUnit.SECONDS));
    }
}
