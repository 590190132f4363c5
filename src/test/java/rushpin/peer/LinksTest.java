package rushpin.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.accord.Command;
import rushpin.accord.Outcome;
import rushpin.accord.log.Carrier.Kind;

/** Calls between voters over sockets, with faults on the way. */
@Timeout(60)
class LinksTest {
    private static final long MS = Voter.MS, LONG = 20_000 * MS;
    private static final Pace PACE = Pace.of(10_000 * MS);

    private static Throwable failure(CompletableFuture<?> of) {
        return assertThrows(ExecutionException.class, () -> of.get(30, TimeUnit.SECONDS))
                .getCause();
    }

    @Test
    void carriesEachKindAndPassesAProposalOnOnce() throws Exception {
        try (Relay way = new Relay();
                Voter b = new Voter("b", PACE, Map.of("c", way.address()));
                Voter a = new Voter("a", PACE, Map.of("b", b.address()))) {
            byte[] body = new byte[1 << 18];
            body[77] = 1;
            for (Kind kind : Kind.values()) {
                byte[] answer = a.links.carry("b", kind, body, LONG).get(30, TimeUnit.SECONDS);
                assertEquals(kind.ordinal(), answer[0]);
                assertEquals(1, answer[78]);
            }
            Introduced heard = a.links
                    .introduce("b", new Introduced("a", "id of a", false, 3, "g", List.of("x")), LONG)
                    .get(30, TimeUnit.SECONDS);
            assertEquals(new Introduced("b", "id of b", true, 3, null, List.of("id of a")), heard);

            Codec codec = new Codec();
            byte[] command = codec.bytes(new Command.Renew(5));
            // It knows who leads, and has a way there; what was passed on once stays here all the same.
            b.leader = "c";
            assertEquals(
                    "c",
                    assertInstanceOf(Elsewhere.class, failure(a.links.propose("b", command, LONG)))
                            .leader());
            assertNull(way.came.poll());
            b.leader = "b";
            assertEquals(
                    new Outcome.Done(),
                    codec.outcome(a.links.propose("b", command, LONG).get(30, TimeUnit.SECONDS)));
            assertEquals(new Command.Renew(5), b.proposed.poll());
            assertInstanceOf(IOException.class, failure(a.links.carry("nobody", Kind.VOTE, body, LONG)));
        }
    }

    @Test
    void whatIsOutIsBounded() throws Exception {
        try (Voter b = new Voter("b", PACE, Map.of());
                Voter a = new Voter("a", PACE, Map.of("b", b.address()))) {
            b.holds = true;
            List<CompletableFuture<byte[]>> out = new ArrayList<>();
            for (int i = 0; i < Links.MOST_OUT; i++) {
                out.add(a.links.carry("b", Kind.APPEND, new byte[] {(byte) i}, LONG));
            }
            assertInstanceOf(Busy.class, failure(a.links.carry("b", Kind.VOTE, new byte[1], LONG)));
            for (int i = 0; i < Links.MOST_OUT; i++) {
                CompletableFuture<byte[]> each = b.held.poll(30, TimeUnit.SECONDS);
                assertNotNull(each);
                each.complete(new byte[] {9});
            }
            b.holds = false;
            for (CompletableFuture<byte[]> each : out) {
                assertArrayEquals(new byte[] {9}, each.get(30, TimeUnit.SECONDS));
            }
            // All have ended, so there is room again; but not for this many bytes.
            assertEquals(4, a.links.carry("b", Kind.VOTE, new byte[3], LONG).get(30, TimeUnit.SECONDS).length);
            assertInstanceOf(
                    Busy.class, failure(a.links.carry("b", Kind.APPEND, new byte[Calls.MOST_MESSAGE + 1], LONG)));
            // Of those that have ended nothing is counted any more.
            byte[] large = new byte[Calls.MOST_MESSAGE - 100];
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        large.length + 1,
                        a.links.carry("b", Kind.APPEND, large, LONG).get(30, TimeUnit.SECONDS).length);
            }
            b.holds = true;
            out.clear();
            for (int bytes = Calls.MOST_MESSAGE; bytes <= Links.MOST_BYTES_OUT; bytes += Calls.MOST_MESSAGE) {
                out.add(a.links.carry("b", Kind.APPEND, large, LONG));
            }
            assertInstanceOf(Busy.class, failure(a.links.carry("b", Kind.APPEND, new byte[1_000], LONG)));
            a.links.close();
            for (CompletableFuture<byte[]> each : out) {
                assertInstanceOf(IOException.class, failure(each));
            }
            assertInstanceOf(IOException.class, failure(a.links.carry("b", Kind.APPEND, new byte[1], LONG)));
        }
    }

    /** A call ends by its patience, a reset ends it, and a connection that was dumb for ever is made anew. */
    @Test
    void aWayThatWasCutIsFoundAgain() throws Exception {
        try (Voter b = new Voter("b", PACE, Map.of());
                Relay way = new Relay();
                Voter a = new Voter("a", PACE, Map.of("b", way.address()))) {
            way.to(b.server.port());
            assertEquals(2, a.links.carry("b", Kind.VOTE, new byte[1], LONG).get(30, TimeUnit.SECONDS).length);
            b.holds = true;
            CompletableFuture<byte[]> out = a.links.carry("b", Kind.VOTE, new byte[1], LONG);
            assertNotNull(b.held.poll(30, TimeUnit.SECONDS));
            way.reset();
            assertInstanceOf(IOException.class, failure(out));
            b.holds = false;
            until(a, 500 * MS);
            way.came.clear();
            way.mode(Relay.Mode.DUMB);
            assertTrue(failure(a.links.carry("b", Kind.VOTE, new byte[1], 100 * MS))
                    .getMessage()
                    .contains("DEADLINE"));
            way.mode(Relay.Mode.PASS);
            until(a, 500 * MS);
            assertNotNull(way.came.poll(), "by a new connection");
        }
    }

    /** A voter that was not there is found when it is, by calls that come. */
    @Test
    void aVoterThatComesBackIsFound() throws Exception {
        Voter first = new Voter("b", PACE, Map.of());
        InetSocketAddress address = first.address();
        try (Voter a = new Voter("a", PACE, Map.of("b", address))) {
            until(a, 500 * MS);
            first.close();
            assertInstanceOf(IOException.class, failure(a.links.carry("b", Kind.VOTE, new byte[1], LONG)));
            Voter second = new Voter("b", PACE, Map.of(), address.getPort());
            try (second) {
                until(a, 500 * MS);
            }
        }
    }

    /** Calls until one is answered; each has an end. */
    private static void until(Voter from, long patience) throws Exception {
        while (true) {
            CompletableFuture<byte[]> each = from.links.carry("b", Kind.VOTE, new byte[1], patience);
            try {
                assertEquals(2, each.get(30, TimeUnit.SECONDS).length);
                return;
            } catch (ExecutionException e) {
                assertInstanceOf(IOException.class, e.getCause());
                assertFalse(e.getCause().getMessage().contains("Keepalive"), "found by the library, and late");
            }
        }
    }

    /** Bytes of no such protocol, and connections beyond the bound, end; those that are open go on. */
    @Test
    void strangersAreTurnedAway() throws Exception {
        try (Voter b = new Voter("b", PACE, Map.of(), 2, 2);
                Voter a = new Voter("a", PACE, Map.of("b", b.address()))) {
            until(a, LONG);
            try (Socket stranger = new Socket(InetAddress.getLoopbackAddress(), b.server.port())) {
                assertTrue(stranger.getInputStream().read() >= 0, "the first byte of the server's first frame");
                try (Socket third = new Socket(InetAddress.getLoopbackAddress(), b.server.port())) {
                    assertEquals(0, heard(third.getInputStream()), "beyond two connections");
                }
                OutputStream to = stranger.getOutputStream();
                to.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                to.flush();
                // Of no such protocol: it ends.
                heard(stranger.getInputStream());
            }
            until(a, LONG);
        }
    }

    /** How many bytes come before the end. */
    private static int heard(InputStream from) {
        int bytes = 0;
        try {
            while (from.read() >= 0) {
                bytes++;
            }
        } catch (IOException e) {
            // A reset is an end too.
        }
        return bytes;
    }
}
