package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.rig.LinkFaults.Fault;
import rushpin.rig.Links.Link;
import rushpin.rig.Links.Way;

/** Each way of a link on plain sockets, for open and for new connections. Speeds have lower bounds only. */
@Timeout(60)
class LinksTest {
    private static final int LONG_MS = 20_000, QUIET_MS = 150;
    private static final long SEED = 5;

    private final List<AutoCloseable> open = new ArrayList<>();
    private Links links;
    private ServerSocket there;
    private InetSocketAddress way;

    @BeforeEach
    void start() throws Exception {
        links = keep(new Links(SEED));
        there = keep(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        there.setSoTimeout(LONG_MS);
        way = links.open("a", "b", new InetSocketAddress("127.0.0.1", there.getLocalPort()));
    }

    @AfterEach
    void stop() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private <T extends AutoCloseable> T keep(T one) {
        open.add(one);
        return one;
    }

    private Socket connect() throws IOException {
        Socket made = keep(new Socket());
        made.connect(way, LONG_MS);
        made.setSoTimeout(LONG_MS);
        return made;
    }

    private Socket accept() throws IOException {
        Socket made = keep(there.accept());
        made.setSoTimeout(LONG_MS);
        return made;
    }

    private static void pass(Socket from, Socket to, String text) throws IOException {
        from.getOutputStream().write(text.getBytes());
        read(to, text);
    }

    private static void read(Socket at, String text) throws IOException {
        assertEquals(text, new String(at.getInputStream().readNBytes(text.length())));
    }

    private static void quiet(Socket at) throws IOException {
        at.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(LONG_MS);
    }

    private static int end(Socket at) throws IOException {
        try {
            return at.getInputStream().read();
        } catch (SocketException e) {
            return -2;
        }
    }

    /** A new connection may be broken before it is known to be up. */
    private int endOfNew() throws IOException {
        try {
            return end(connect());
        } catch (SocketException e) {
            return -2;
        }
    }

    @Test
    void allPassesAndAnEndIsHeardOnTheOtherSide() throws Exception {
        Socket near = connect(), far = accept();
        pass(near, far, "forth");
        pass(far, near, "back");
        far.getOutputStream().write("last".getBytes());
        far.close();
        read(near, "last");
        assertEquals(-1, end(near));
    }

    @Test
    void whoListensNoMoreIsHeardOf() throws Exception {
        there.close();
        assertEquals(-2, endOfNew());
    }

    @Test
    void aSilentCutLeavesConnectionsOpenAndDumbAndAHealedOneLosesNothing() throws Exception {
        Socket near = connect(), far = accept();
        pass(near, far, "x");
        links.set("a", "b", Way.SILENT);
        near.getOutputStream().write("held".getBytes());
        far.getOutputStream().write("too".getBytes());
        Socket dumb = connect();
        dumb.getOutputStream().write("new".getBytes());
        quiet(far);
        quiet(near);
        quiet(dumb);
        // That the other side has ended is not heard either.
        far.close();
        quiet(near);
        links.set("a", "b", Way.THROUGH);
        read(near, "too");
        assertTrue(end(near) < 0);
        read(accept(), "new");
    }

    @Test
    void aRefusingLinkEndsWhatItHasAndTakesNothingUntilItIsBackAtItsPort() throws Exception {
        Socket near = connect(), far = accept();
        links.set("a", "b", Way.REFUSE);
        assertEquals(-1, end(near));
        assertEquals(-1, end(far));
        assertThrows(ConnectException.class, this::connect);
        links.set("a", "b", Way.THROUGH);
        Socket again = connect();
        pass(again, accept(), "again");
    }

    @Test
    void aResettingLinkBreaksOpenAndNewOnes() throws Exception {
        Socket near = connect(), far = accept();
        pass(near, far, "x");
        links.set("a", "b", Way.RESET);
        assertEquals(-2, end(near), "a reset, no end");
        assertEquals(-2, end(far), "a reset, no end");
        assertEquals(-2, endOfNew(), "a reset, no end");
        links.set("a", "b", Way.THROUGH);
        pass(connect(), accept(), "again");
    }

    @Test
    void oneWayOnlyPassesForthOrBack() throws Exception {
        Socket near = connect(), far = accept();
        pass(near, far, "x");
        links.set("a", "b", Way.FORTH);
        pass(near, far, "forth");
        far.getOutputStream().write("later".getBytes());
        quiet(near);
        links.set("a", "b", Way.BACK);
        read(near, "later");
        near.getOutputStream().write("held".getBytes());
        quiet(far);
        // A new one needs both ways to come up.
        Socket dumb = connect();
        there.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, this::accept);
        there.setSoTimeout(LONG_MS);
        links.set("a", "b", Way.THROUGH);
        read(far, "held");
        pass(dumb, accept(), "up");
    }

    @Test
    void whatIsCutForOneOfAPairPassesForTheOtherWhoeverHasConnected() throws Exception {
        InetSocketAddress other = links.open("b", "a", new InetSocketAddress("127.0.0.1", there.getLocalPort()));
        Socket fromA = connect(), atB = accept();
        Socket fromB = keep(new Socket(other.getAddress(), other.getPort())), atA = accept();
        fromB.setSoTimeout(LONG_MS);
        pass(fromA, atB, "x");
        pass(fromB, atA, "y");
        links.cutOneWay("a", "b");
        pass(atB, fromA, "b to a");
        pass(fromB, atA, "b to a");
        fromA.getOutputStream().write('z');
        atA.getOutputStream().write('z');
        quiet(atB);
        quiet(fromB);
    }

    @Test
    void aDelayKeepsTheOrderAndItsLeast() throws Exception {
        links.set("a", "b", Way.delay(20, 60));
        Socket near = connect(), far = accept();
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < 10; i++) {
            byte[] sent = new byte[1 + random.nextInt(100)];
            random.nextBytes(sent);
            long at = System.nanoTime();
            near.getOutputStream().write(sent);
            assertArrayEquals(sent, far.getInputStream().readNBytes(sent.length));
            assertTrue(System.nanoTime() - at >= TimeUnit.MILLISECONDS.toNanos(20), "seed " + SEED);
        }
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 50; i++) {
            far.getOutputStream().write((i + " ").getBytes());
            all.append(i).append(' ');
        }
        read(near, all.toString());
    }

    @Test
    void aTrickleTakesItsTimeAndHoldsNoMoreThanItsBound() throws Exception {
        Socket near = connect(), far = accept();
        links.set("a", "b", Way.trickle(2_000));
        long at = System.nanoTime();
        near.getOutputStream().write(new byte[1_000]);
        assertEquals(1_000, far.getInputStream().readNBytes(1_000).length);
        // The first piece goes at once.
        assertTrue(System.nanoTime() - at >= TimeUnit.MILLISECONDS.toNanos(400));
        Thread writer = new Thread(() -> {
            try {
                near.getOutputStream().write(new byte[32 << 20]);
            } catch (IOException e) {
                // The test is over.
            }
        });
        writer.start();
        while (links.held("a", "b") < Lane.MOST_HELD) {
            Thread.sleep(2);
        }
        assertTrue(links.held("a", "b") <= Lane.MOST_HELD + (64 << 10));
        assertTrue(writer.isAlive(), "it is held back");
        links.set("a", "b", Way.THROUGH);
        assertEquals(32 << 20, far.getInputStream().readNBytes(32 << 20).length);
        writer.join();
        assertEquals(0, links.held("a", "b"));
    }

    @Test
    void aScriptIsTheSameFromTheSameSeedAndIsPlayedAndWrittenDownInOrder() throws Exception {
        links.open("b", "a", new InetSocketAddress("127.0.0.1", there.getLocalPort()));
        List<Link> all = links.all();
        List<Way> ways =
                List.of(Way.SILENT, Way.REFUSE, Way.RESET, Way.delay(1, 9), Way.trickle(100), Way.FORTH, Way.BACK);
        List<Fault> drawn = LinkFaults.drawn(SEED, 60_000, all, ways);
        assertEquals(drawn, LinkFaults.drawn(SEED, 60_000, all, ways));
        assertFalse(drawn.equals(LinkFaults.drawn(SEED + 1, 60_000, all, ways)));
        assertTrue(drawn.size() > 10);
        for (Link link : all) {
            long free = 0;
            for (Fault fault :
                    drawn.stream().filter(one -> one.link().equals(link)).toList()) {
                assertTrue(fault.fromMs() >= free && fault.fromMs() + fault.forMs() <= 60_000, "seed " + SEED);
                free = fault.fromMs() + fault.forMs();
            }
        }
        links.play(List.of(new Fault(all.get(0), Way.REFUSE, 0, 40), new Fault(all.get(1), Way.SILENT, 10, 10)))
                .get(LONG_MS, TimeUnit.MILLISECONDS);
        List<Links.Switched> made = links.switched().subList(all.size(), all.size() + 4);
        assertEquals(
                List.of(Way.REFUSE, Way.SILENT, Way.THROUGH, Way.THROUGH),
                made.stream().map(Links.Switched::way).toList());
        for (int i = 1; i < made.size(); i++) {
            assertTrue(made.get(i).at() >= made.get(i - 1).at());
        }
        pass(connect(), accept(), "again");
        assertThrows(IllegalStateException.class, () -> links.set("a", "c", Way.SILENT));
    }

    /** A process's list names a relay for each server; a link to a zone switches all of the zone's, for that process alone. */
    @Test
    void aProcessGoesToTheServersOfEachZoneByALinkOfItsOwn() throws Exception {
        Yard yard = keep(new Yard());
        yard.pool("one", List.of("a", "b"), 2, CostScenario.WORK, SEED);
        Map<String, String> p = list(yard.through(links, "p", "one")), q = list(yard.through(links, "q", "one"));
        assertEquals(Set.of("s-0 a", "s-1 a", "s-2 b", "s-3 b"), p.keySet());
        assertTrue(Collections.disjoint(p.values(), q.values()));
        for (String server : p.keySet()) {
            assertTrue(answers(p.get(server)).contains("X-Served-By: " + server.substring(0, 3)), server);
        }
        links.set("p", Yard.zone("a"), Way.SILENT);
        for (String server : p.keySet()) {
            assertEquals(server.endsWith("a"), answers(p.get(server)).isEmpty(), server);
            assertFalse(answers(q.get(server)).isEmpty(), server);
        }
        links.around(Yard.zone("a"), Way.RESET);
        for (String server : p.keySet()) {
            assertEquals(server.endsWith("a"), answers(q.get(server)).isEmpty(), server);
        }
        links.heal();
        assertFalse(answers(p.get("s-0 a")).isEmpty());

        // What a view is told later has its own address there too.
        Discovery view = yard.through(links, "r", "one");
        Map<String, String> before = list(view);
        yard.discovery("one").set(yard.servers("one").get(1), "Terminating", 0);
        yard.discovery("one").set(yard.servers("one").get(0), "Gone", 0);
        Map<String, String> after = list(view);
        assertEquals(Set.of("s-1 a", "s-2 b", "s-3 b"), after.keySet());
        assertEquals(before.get("s-1 a"), after.get("s-1 a"));
        assertThrows(
                ExecutionException.class,
                () -> yard.discovery("one").view(Map.of()).open());
    }

    /** Where each server of a list is, by its id and zone. */
    private Map<String, String> list(Discovery of) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", of.socket().getPort())) {
            socket.setSoTimeout(LONG_MS);
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: d\r\n\r\n".getBytes());
            BufferedReader lines = new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String line = lines.readLine();
            while (!line.startsWith("{")) {
                line = lines.readLine();
            }
            Map<String, String> all = new TreeMap<>();
            new ObjectMapper()
                    .readTree(line)
                    .get("members")
                    .forEach(each -> all.put(
                            each.get("id").asText() + " " + each.get("locality").asText(),
                            each.get("host_port").asText()));
            return all;
        }
    }

    /** The head of what is answered at an address; empty where nothing is. */
    private String answers(String at) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(at.substring(at.indexOf(':') + 1)))) {
            socket.setSoTimeout(QUIET_MS * 4);
            socket.getOutputStream().write("GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: t\r\n\r\n".getBytes());
            byte[] head = new byte[4_096];
            int read = socket.getInputStream().read(head);
            return read < 0 ? "" : new String(head, 0, read);
        } catch (SocketException | SocketTimeoutException e) {
            return "";
        }
    }
}
