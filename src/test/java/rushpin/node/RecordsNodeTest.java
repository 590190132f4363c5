package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.config.Config;
import rushpin.config.OperatorFile;
import rushpin.traffic.Entry;
import rushpin.traffic.Entry.End;
import rushpin.traffic.RecordedTraffic;

/** The traffic records that a node on real sockets writes. */
class RecordsNodeTest extends NodeTestBase {
    private static final String POOL = "[[pool]]\nname = \"p\"\nsettings = \"platform\"\n[[route]]\npool = \"p\"\n";

    @TempDir
    Path folder;

    private EdgeNode start(String operator, String config) throws Exception {
        Config platform = Config.parse(config);
        EdgeNode node = new EdgeNode(platform, OperatorFile.parse(operator, folder, platform));
        node.start();
        return node;
    }

    private String recordsConfig() throws Exception {
        Files.writeString(folder.resolve("key"), "sixteen bytes or more");
        return "[records]\nfolder = \"records\"\npseudonym-key = \"key\"\n" + POOL;
    }

    @Test
    void eachRequestIsRecordedOnceWithItsAttemptsAndItsEndAndNoSecret() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        StubServer server = stubServer(m -> m.answer(
                m.startLine().startsWith("GET") && calls.getAndIncrement() == 0
                        ? "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                        : StubServer.ok("", "x")));
        EdgeNode node = start(recordsConfig(), config(member("s-0", server.address(), "Ready", 0)));
        try {
            Socket client = client(node);
            assertEquals("200", ask(client, "secret-id-1"));
            write(client, "GET /api?token=secret", headers("secret-id-2", "lookup", "20000"), "");
            assertEquals("200", status(StubServer.read(client)));
        } finally {
            node.drain().get();
            node.close();
        }
        List<Entry> entries = RecordedTraffic.read(folder.resolve("records")).entries();
        assertEquals(2, entries.size(), entries.toString());
        Entry order = entries.stream()
                .filter(e -> e.requestClass().equals("order"))
                .findFirst()
                .orElseThrow();
        Entry lookup = entries.stream()
                .filter(e -> e.requestClass().equals("lookup"))
                .findFirst()
                .orElseThrow();
        assertEquals(End.SERVED, order.end());
        assertEquals("p", order.pool());
        assertEquals("bulk", order.plan());
        assertEquals(
                List.of("FULL", "OK"),
                lookup.tries().stream().map(Entry.Try::outcome).toList());
        assertEquals("s-0", lookup.tries().get(0).server());
        assertTrue(lookup.tries().get(1).after()
                >= lookup.tries().get(0).after() + lookup.tries().get(0).took());
        assertTrue(lookup.took() >= lookup.tries().get(1).after());
        assertEquals(order.customer(), lookup.customer());
        assertTrue(Math.abs(order.at() / 1_000 - System.currentTimeMillis()) < 120_000, "Unix time: " + order.at());
        assertFalse(entries.toString().contains("secret"), entries.toString());
        assertFalse(entries.toString().contains("customer=7,"), "a customer number must be pseudonymised");
    }

    @Test
    void refusalsAndFailuresAreRecordedAsSuch() throws Exception {
        StubServer broken = stubServer(m -> m.answer("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"));
        EdgeNode node = start(recordsConfig(), config(member("s-0", broken.address(), "Ready", 0)));
        try {
            Socket client = client(node);
            write(client, "POST /api", headers("t-1", "strict", "20000"), "x");
            assertEquals("502", status(StubServer.read(client)), "the attempt may have run");
            write(client, "POST /api", headers("t-2", "order", "20"), "x");
            StubServer.read(client);
        } finally {
            node.drain().get();
            node.close();
        }
        List<Entry> entries = RecordedTraffic.read(folder.resolve("records")).entries();
        assertEquals(2, entries.size(), entries.toString());
        assertEquals(End.FAILED, entries.get(0).end());
        assertEquals(
                List.of("ERROR"),
                entries.get(0).tries().stream().map(Entry.Try::outcome).toList());
        assertTrue(entries.get(1).end() == End.REFUSED || entries.get(1).end() == End.FAILED, entries.toString());
    }

    @Test
    void withoutTheRecordsTableNothingIsWrittenAndNoThreadStarts() throws Exception {
        StubServer server = stubServer(m -> m.answer(StubServer.ok("", "x")));
        EdgeNode node = start(POOL, config(member("s-0", server.address(), "Ready", 0)));
        try {
            assertEquals("200", ask(client(node), "t-1"));
            assertFalse(Thread.getAllStackTraces().keySet().stream()
                    .anyMatch(t -> t.getName().equals("records")));
        } finally {
            node.drain().get();
            node.close();
        }
        assertFalse(Files.exists(folder.resolve("records")));
    }
}
