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

/** Operators' calls over a real socket, to a node with scripted app servers. */
class ConsoleTest extends Stage {
    @TempDir
    Path folder;

    private EdgeNode node;
    private Console console;

    private void serve(String config) throws Exception {
        OperatorState desk = OperatorState.in(folder);
        console = new Console(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), desk, () -> node);
        toClose.add(console);
        assertTrue(call("READY").startsWith("error"), "nothing serves yet");
        assertTrue(call("DISABLE s-0").startsWith("error"));
        EdgeNode made = new EdgeNode(Config.parse(config), null, desk);
        toClose.add(made);
        made.start();
        node = made;
    }

    private Socket dial() throws IOException {
        InetSocketAddress at = (InetSocketAddress) console.address();
        Socket socket = new Socket(at.getAddress(), at.getPort());
        socket.setSoTimeout(60_000);
        toClose.add(socket);
        return socket;
    }

    private String call(String line) throws IOException {
        return call(((InetSocketAddress) console.address()).getPort(), line);
    }

    /** Waits for a figure: the pool's own are written a few times a second. */
    private void await(String line) throws IOException, InterruptedException {
        String last = "";
        for (int i = 0; i < 600; i++) {
            last = call("STATS");
            if (last.contains(line + "\n")) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("never " + line + ", but " + last);
    }

    @Test
    void whoIsTakenOutGetsNothingUntilItIsPutBack() throws Exception {
        AtomicInteger first = new AtomicInteger(), second = new AtomicInteger();
        Peer a = peer(m -> {
            first.incrementAndGet();
            m.answer(Peer.ok("", "a"));
        });
        Peer b = peer(m -> {
            second.incrementAndGet();
            m.answer(Peer.ok("", "b"));
        });
        serve(config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0)));
        assertEquals("done\n", call("READY"));
        assertTrue(call("DISABLE s-9").startsWith("error"), "an id never listed is owed a no");
        assertTrue(call("ENABLE s-9").startsWith("error"));
        assertEquals("done\n", call("DISABLE s-0"));
        assertEquals("done\n", call("DISABLE s-0"), "calls out may be repeated");
        await("node.pool_size:2|g");
        await("node.pool_ejected:1|g");
        int before = first.get();
        Socket client = client(node);
        for (int i = 0; i < 40; i++) {
            assertEquals("200", ask(client, "out-" + i));
        }
        assertEquals(before, first.get(), "nothing new goes to a server that is out");
        assertEquals("done\n", call("ENABLE s-0"), "one call back ends the ban");
        await("node.pool_ejected:0|g");
        // Which of two idle servers an answer comes from sooner is learnt, so this may take long where one machine runs
        // much.
        long end = System.nanoTime() + 30_000_000_000L;
        for (int i = 0; first.get() == before; i++) {
            assertTrue(
                    System.nanoTime() < end, "a server that is back must be used again, not so in " + i + " requests");
            assertEquals("200", ask(client, "back-" + i));
        }
    }

    @Test
    void figuresCountWhatClientsAndServersSaw() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        Peer server = peer(m -> {
            tries.incrementAndGet();
            m.answer(
                    m.headers().get("x-trace-id").startsWith("bad")
                            ? "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
                            : Peer.ok("", "x"));
        });
        serve(config(member("s-0", server.address(), "Ready", 0)));
        Socket client = client(node);
        int served = 0, refused = 0, failed = 0;
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
    void whatIsOpenIsActive() throws Exception {
        CountDownLatch may = new CountDownLatch(1);
        Peer server = peer(m -> {
            try {
                may.await(60, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            m.answer(Peer.ok("", "x"));
        });
        serve(config(member("s-0", server.address(), "Ready", 0)));
        Socket client = client(node);
        order(client, "held");
        await("node.active:1|g");
        may.countDown();
        assertEquals("200", status(Peer.read(client)));
        await("node.active:0|g");
        order(client, "left");
        client.close();
        await("node.active:0|g");
    }

    /** Callers that say nothing, half a line, too much, or noise keep nobody else from an answer. */
    @Test
    void rudeCallersKeepNobodyOut() throws Exception {
        serve(config());
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            silent.add(dial());
        }
        silent.get(39).getOutputStream().write("STA".getBytes(StandardCharsets.UTF_8));
        assertTrue(call("STATS").endsWith("end\n"));
        assertEquals(-1, silent.get(0).getInputStream().read(), "beyond the bound the oldest goes");
        assertTrue(call("x".repeat(5_000)).startsWith("error"));
        assertTrue(call("").startsWith("error"));
        assertTrue(call("DISABLE").startsWith("error"));
        assertTrue(call("DISABLE a b").startsWith("error"));
        assertTrue(call("ready").startsWith("error"));
        assertEquals(-1, silent.get(39).getInputStream().read(), "half a line is let go in the end");
    }

    /** With an operator's file, and a pool on a loop of its own: figures stand behind the pool's name. */
    @Test
    void poolsOfAnOperatorsFileHearOfItToo() throws Exception {
        AtomicInteger first = new AtomicInteger();
        Peer a = peer(m -> {
            first.incrementAndGet();
            m.answer(Peer.ok("", "a"));
        });
        Peer b = peer(m -> m.answer(Peer.ok("", "b")));
        Config config =
                Config.parse(config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0)));
        OperatorState desk = OperatorState.in(folder);
        console = new Console(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), desk, () -> node);
        toClose.add(console);
        node = new EdgeNode(
                config,
                OperatorFile.parse(
                        "[[pool]]\nname = \"a\"\nsettings = \"platform\"\nloop = \"own\"\n"
                                + "[[route]]\npool = \"a\"\n",
                        Path.of("."),
                        config),
                desk);
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

    /** A file of somebody else's must not put a server back, and a folder that is gone must stop nothing. */
    @Test
    void aSpoiltFolderPutsNobodyBackAndStopsNothing() throws Exception {
        AtomicInteger first = new AtomicInteger();
        Peer a = peer(m -> {
            first.incrementAndGet();
            m.answer(Peer.ok("", "a"));
        });
        Peer b = peer(m -> m.answer(Peer.ok("", "b")));
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
        // Longer than it takes to look there a few times; the module's own time goes on with each of them.
        Socket client = client(node);
        for (int i = 0; i < 30; i++) {
            assertEquals("200", ask(client, "t-" + i));
            Thread.sleep(40);
        }
        assertEquals(before, first.get(), "what cannot be read changes nothing");
        assertTrue(call("DISABLE s-1").startsWith("error"), "it could not be written down");
    }

    /** Two nodes of one folder: what one is told binds the other, and the next that starts. */
    @Test
    void whoIsOutIsOutForAllProcessesOfTheNode() throws Exception {
        Peer a = peer(m -> m.answer(Peer.ok("", "a")));
        Peer b = peer(m -> m.answer(Peer.ok("", "b")));
        String config = config(member("s-0", a.address(), "Ready", 0), member("s-1", b.address(), "Ready", 0));
        OperatorState other = OperatorState.in(folder);
        EdgeNode before = new EdgeNode(Config.parse(config), null, other);
        toClose.add(before);
        before.start();
        serve(config);
        assertEquals("done\n", call("DISABLE s-1"));
        for (int i = 0; !other.counts().lines().contains("pool_ejected:1|g"); i++) {
            assertTrue(i < 600, "the other process never heard of it");
            Thread.sleep(50);
        }
        OperatorState next = OperatorState.in(folder);
        EdgeNode after = new EdgeNode(Config.parse(config), null, next);
        toClose.add(after);
        after.start();
        for (int i = 0; !next.counts().lines().contains("pool_ejected:1|g"); i++) {
            assertTrue(i < 600, "a process that starts must know who is out");
            Thread.sleep(50);
        }
        assertFalse(call("ENABLE s-1").startsWith("error"));
        for (int i = 0; !other.counts().lines().contains("pool_ejected:0|g"); i++) {
            assertTrue(i < 600, "the other process never heard of it");
            Thread.sleep(50);
        }
    }
}
