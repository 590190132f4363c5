package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;
import rushpin.config.OperatorFile;

/** Console calls over a real socket to a node with scripted app servers. */
class ConsoleTest extends NodeTestBase {
    @TempDir
    Path folder;

    private EdgeNode node;
    private Console console;

    private void serve(String config) throws Exception {
        OperatorState state = OperatorState.in(folder);
        console = new Console(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), state, () -> node);
        toClose.add(console);
        assertTrue(call("READY").startsWith("error"), "no node serves yet");
        assertTrue(call("DISABLE s-0").startsWith("error"));
        EdgeNode started = new EdgeNode(Config.parse(config), null, state);
        toClose.add(started);
        started.start();
        node = started;
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = (InetSocketAddress) console.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(60_000);
        toClose.add(socket);
        return socket;
    }

    private String call(String line) throws IOException {
        return call(((InetSocketAddress) console.address()).getPort(), line);
    }

    /** Waits for a metric; a pool updates its own a few times a second. */
    private void await(String line) throws IOException, InterruptedException {
        String last = "";
        for (int i = 0; i < 600; i++) {
            last = call("STATS");
            if (last.contains(line + "\n")) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("expected " + line + " but got " + last);
    }

    @Test
    void aDisabledServerGetsNoRequestsUntilItIsEnabled() throws Exception {
        AtomicInteger first = new AtomicInteger();
        AtomicInteger second = new AtomicInteger();
        StubServer a = stubServer(m -> {
            first.incrementAndGet();
            m.answer(StubServer.ok("", "a"));
        });
        StubServer b = stubServer(m -> {
            second.incrementAndGet();
            m.answer(StubServer.ok("", "b"));
        });
        serve(config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0)));
        assertEquals("done\n", call("READY"));
        assertTrue(call("DISABLE s-9").startsWith("error"), "an ID that was never listed is an error");
        assertTrue(call("ENABLE s-9").startsWith("error"));
        assertEquals("done\n", call("DISABLE s-0"));
        assertEquals("done\n", call("DISABLE s-0"), "DISABLE may be repeated");
        await("node.pool_size:2|g");
        await("node.pool_ejected:1|g");
        int before = first.get();
        Socket client = client(node);
        for (int i = 0; i < 40; i++) {
            assertEquals("200", ask(client, "out-" + i));
        }
        assertEquals(before, first.get(), "no new request goes to a disabled server");
        assertEquals("done\n", call("ENABLE s-0"), "one ENABLE revokes every DISABLE");
        await("node.pool_ejected:0|g");
        // The node prefers the server it has found faster, so this may take long on a busy machine.
        long end = System.nanoTime() + 30_000_000_000L;
        for (int i = 0; first.get() == before; i++) {
            assertTrue(
                    System.nanoTime() < end, "an enabled server must be used again, but was not in " + i + " requests");
            assertEquals("200", ask(client, "back-" + i));
        }
    }

    @Test
    void metricsCountWhatClientsAndServersSaw() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        StubServer server = stubServer(m -> {
            tries.incrementAndGet();
            m.answer(
                    m.headers().get("x-trace-id").startsWith("bad")
                            ? "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
                            : StubServer.ok("", "x"));
        });
        serve(config(member("s-0", server.address(), "Ready", 0)));
        Socket client = client(node);
        int served = 0;
        int refused = 0;
        int failed = 0;
        for (int i = 0; i < 30; i++) {
            switch (ask(client, (i % 5 == 4 ? "bad-" : "good-") + i)) {
                case "200" -> served++;
                case "429", "503" -> refused++;
                default -> failed++;
            }
        }
        await("node.ok.order:" + served + "|c");
        await("node.shed.order:" + refused + "|c");
        await("node.errors.order:" + failed + "|c");
        await("node.tries.order:" + tries.get() + "|c");
        await("node.active:0|g");
        assertTrue(served > 0 && refused + failed > 0, served + " " + refused + " " + failed);
        assertTrue(call("STATS").endsWith("\nend\n"));
    }

    @Test
    void openRequestsAreActive() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubServer server = stubServer(m -> {
            try {
                release.await(60, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            m.answer(StubServer.ok("", "x"));
        });
        serve(config(member("s-0", server.address(), "Ready", 0)));
        Socket client = client(node);
        order(client, "held");
        await("node.active:1|g");
        release.countDown();
        assertEquals("200", status(StubServer.read(client)));
        await("node.active:0|g");
        order(client, "left");
        client.close();
        await("node.active:0|g");
    }

    /** Callers that send nothing, half a line, too much or invalid calls do not keep others from an answer. */
    @Test
    void misbehavingCallersDoNotBlockOthers() throws Exception {
        serve(config());
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            silent.add(connect());
        }
        silent.get(39).getOutputStream().write("STA".getBytes(StandardCharsets.UTF_8));
        assertTrue(call("STATS").endsWith("end\n"));
        assertEquals(-1, silent.get(0).getInputStream().read(), "beyond the limit the oldest connection is closed");
        assertTrue(call("x".repeat(5_000)).startsWith("error"));
        assertTrue(call("").startsWith("error"));
        assertTrue(call("DISABLE").startsWith("error"));
        assertTrue(call("DISABLE a b").startsWith("error"));
        assertTrue(call("ready").startsWith("error"));
        assertEquals(-1, silent.get(39).getInputStream().read(), "a connection with half a line is closed in the end");
    }

    /** With an operator's file, and a pool on its own loop, metrics have the pool's name as prefix. */
    @Test
    void poolsOfAnOperatorsFileFollowConsoleCalls() throws Exception {
        AtomicInteger first = new AtomicInteger();
        StubServer a = stubServer(m -> {
            first.incrementAndGet();
            m.answer(StubServer.ok("", "a"));
        });
        StubServer b = stubServer(m -> m.answer(StubServer.ok("", "b")));
        Config config =
                Config.parse(config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0)));
        OperatorState state = OperatorState.in(folder);
        console = new Console(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), state, () -> node);
        toClose.add(console);
        node = new EdgeNode(
                config,
                OperatorFile.parse(
                        "[[pool]]\nname = \"a\"\nsettings = \"platform\"\nloop = \"own\"\n"
                                + "[[route]]\npool = \"a\"\n",
                        Path.of("."),
                        config),
                state);
        toClose.add(node);
        node.start();
        assertTrue(call("DISABLE s-9").startsWith("error"));
        assertEquals("done\n", call("DISABLE s-0"));
        await("node.pool_ejected:1|g");
        int before = first.get();
        Socket client = client(node);
        for (int i = 0; i < 20; i++) {
            assertEquals("200", ask(client, "t-" + i));
        }
        assertEquals(before, first.get());
        await("node.ok.a.order:20|c");
        assertEquals("done\n", call("ENABLE s-0"));
        await("node.pool_ejected:0|g");
        await("node.pool_size:2|g");
    }

    /** An invalid file must not enable a server, and a deleted folder must not stop the service. */
    @Test
    void anUnusableFolderEnablesNoServerAndStopsNothing() throws Exception {
        AtomicInteger first = new AtomicInteger();
        StubServer a = stubServer(m -> {
            first.incrementAndGet();
            m.answer(StubServer.ok("", "a"));
        });
        StubServer b = stubServer(m -> m.answer(StubServer.ok("", "b")));
        serve(config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0)));
        Files.write(folder.resolve("out-%zz"), new byte[0]);
        assertEquals("done\n", call("DISABLE s-0"));
        int before = first.get();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
        // Long enough for the folder to be read a few times.
        Socket client = client(node);
        for (int i = 0; i < 30; i++) {
            assertEquals("200", ask(client, "t-" + i));
            Thread.sleep(40);
        }
        assertEquals(before, first.get(), "a folder that cannot be read changes nothing");
        assertTrue(call("DISABLE s-1").startsWith("error"), "the change could not be stored");
    }

    /** Processes that share a folder: a call to one binds the others, and one that starts later. */
    @Test
    void aServerIsDisabledForAllProcessesOfTheNode() throws Exception {
        StubServer a = stubServer(m -> m.answer(StubServer.ok("", "a")));
        StubServer b = stubServer(m -> m.answer(StubServer.ok("", "b")));
        String config = config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0));
        OperatorState other = OperatorState.in(folder);
        EdgeNode before = new EdgeNode(Config.parse(config), null, other);
        toClose.add(before);
        before.start();
        serve(config);
        assertEquals("done\n", call("DISABLE s-1"));
        for (int i = 0; !other.counts().lines().contains("pool_ejected:1|g"); i++) {
            assertTrue(i < 600, "the other process never applied it");
            Thread.sleep(50);
        }
        OperatorState next = OperatorState.in(folder);
        EdgeNode after = new EdgeNode(Config.parse(config), null, next);
        toClose.add(after);
        after.start();
        for (int i = 0; !next.counts().lines().contains("pool_ejected:1|g"); i++) {
            assertTrue(i < 600, "a process that starts must know the disabled servers");
            Thread.sleep(50);
        }
        assertFalse(call("ENABLE s-1").startsWith("error"));
        for (int i = 0; !other.counts().lines().contains("pool_ejected:0|g"); i++) {
            assertTrue(i < 600, "the other process never applied it");
            Thread.sleep(50);
        }
    }
}
