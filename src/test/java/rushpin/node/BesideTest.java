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

/** Two nodes at one address, each with a queue of its own: what waits there when its node goes is not lost. */
class ProcessRegistryTest extends Stage {
    @Test
    void whatWaitsInTheQueueIsTakenBeforeTheSocketGoes() throws Exception {
        Peer server = peer(m -> m.answer(Peer.ok("", "x")));
        Config config = Config.parse(config(member("s-0", server.address(), "Ready", 0)));
        EdgeNode node = new EdgeNode(
                config, OperatorFile.parse(Daemon.operator("listener = \"reuseport\"\n"), Path.of("."), config));
        toClose.add(node);
        node.start();
        InetSocketAddress at = (InetSocketAddress) node.address();
        // The loop does nothing until all of them wait, and the word to go is the first thing that it hears then.
        CountDownLatch waiting = new CountDownLatch(1);
        node.loop().execute(() -> {
            try {
                waiting.await(60, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Socket client = new Socket(at.getAddress(), at.getPort());
            client.setSoTimeout(60_000);
            toClose.add(client);
            Map<String, String> headers = headers("t-" + i, "order", "20000");
            write(client, "POST /api", headers, "book");
            clients.add(client);
        }
        CompletableFuture<Integer> drained = node.drain();
        waiting.countDown();
        for (Socket client : clients) {
            Peer.Message answer = Peer.read(client);
            assertNotNull(answer, "reset with the socket that it waited at");
            assertEquals("close", answer.headers().get("connection"));
        }
        assertEquals(0, drained.get(60, TimeUnit.SECONDS));
    }
}
