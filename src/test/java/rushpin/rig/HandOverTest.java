package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that wait in the queue of a process that ends: with a socket that outlives it, none is lost. */
@Timeout(180)
class HandOverTest {
    @Test
    void eachOfManyNewConnectionsIsAnsweredOverThreeHandOvers() throws Exception {
        try (Yard yard = new Yard()) {
            Discovery discovery = yard.pool("one", 2, new AppServer.Work(8, 16, 1_000, 2_000, 4_000_000_000L), 1);
            FleetNode node = new FleetNode(0, FleetNode.Way.INHERITED, yard.folder);
            try (node) {
                Path config = yard.write(
                        "n.json",
                        RigConfig.json(
                                "n",
                                "127.0.1.1:" + node.address.getPort(),
                                0,
                                512,
                                2,
                                discovery,
                                yard.counter,
                                List.of(new RigConfig.Plan("bulk", 100_000, 100_000, 0, 0, 0))));
                node.configure(
                        config,
                        yard.write(
                                "n.toml",
                                "[process]\nlistener = \"inherited\"\n[[pool]]\nname = \"one\"\n"
                                        + "settings = \"platform\"\n[[route]]\npool = \"one\"\n"));
                node.start();
                AtomicBoolean over = new AtomicBoolean();
                AtomicInteger asked = new AtomicInteger(), answered = new AtomicInteger();
                Thread[] clients = new Thread[4];
                for (int i = 0; i < clients.length; i++) {
                    int name = i;
                    clients[i] = new Thread(() -> {
                        for (int n = 0; n < 20_000 && !over.get(); n++) {
                            asked.incrementAndGet();
                            answered.addAndGet(ask(node, name + "-" + n) ? 1 : 0);
                        }
                    });
                    clients[i].start();
                }
                for (int i = 0; i < 3; i++) {
                    node.handOver();
                    assertTrue(node.isAlive());
                }
                over.set(true);
                for (Thread client : clients) {
                    client.join();
                }
                assertFalse(asked.get() == 0);
                assertEquals(asked.get(), answered.get(), "connections that got an answer");
            }
        }
    }

    private static boolean ask(FleetNode node, String id) {
        try (Socket socket = new Socket(node.address.getAddress(), node.address.getPort())) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id + "\r\nX-Qos: lookup\r\n"
                                    + "X-Plan: bulk\r\nCookie: customer=0000000000000001\r\nX-Expires-In-Ms: 4000\r\n"
                                    + "X-Quota: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String status = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
            return status.matches("HTTP/1\\.1 (200|429|503)");
        } catch (IOException e) {
            return false;
        }
    }
}
