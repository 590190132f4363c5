import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Uploads in chunks while long slow uploads hold the memory for bodies; app servers reset the connection of every first
 * attempt after its first bytes.
 */
final class CaseHole {
    private static final int SERVERS = 17;
    private static final int SLOW = 20;
    private static final int UPLOADERS = 16;
    private static final long RESET_AFTER_MS = 20;
    private static final long HOLD_MS = 100;
    private static final long RUN_MS = Long.getLong("run", 60_000);
    private static final Set<String> SEEN = ConcurrentHashMap.newKeySet();
    private static final Map<String, String> SENT = new ConcurrentHashMap<>();
    private static final AtomicInteger RESETS = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();
    private static final AtomicInteger REPEATED = new AtomicInteger();

    public static void main(String[] args) {
        Kit.run(CaseHole::holds);
    }

    /** An app server that reads each head for itself. */
    private static void serve(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
        for (Kit.Message request = Kit.head(in); request != null; request = Kit.head(in)) {
            String id = request.id();
            boolean upload = SENT.containsKey(id);
            if (Kit.TROUBLE && upload && id.hashCode() % 2 == 0 && SEEN.add(id)) {
                RESETS.incrementAndGet();
                Kit.sleep(RESET_AFTER_MS);
                Kit.note("reset under " + id + " after its first bytes");
                connection.setSoLinger(true, 0);
                connection.close();
                return;
            }
            Kit.body(in, request);
            if (upload) {
                boolean same = request.text().equals(SENT.get(id));
                (same ? WHOLE : WRONG).incrementAndGet();
                REPEATED.addAndGet(SEEN.contains(id) ? 1 : 0);
                Kit.note("ran " + id + " with " + request.body.length + " bytes of "
                        + SENT.get(id).length() + (same ? "" : "  <-- NOT WHAT WAS SENT"));
            }
            connection.getOutputStream().write(Kit.ok(id));
        }
    }

    private static String text(int lines) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            text.append(String.format("%07d\n", i));
        }
        return text.toString();
    }

    private static void slow(Kit.Node node, int number, long until) {
        while (System.nanoTime() < until) {
            String id = Kit.id();
            try (Kit.Client client = new Kit.Client(node)) {
                client.send(Kit.bytes(Kit.head(id, "k" + id, 500 + number, "bulk", 4_000, "Content-Length: 8000000\r\n")));
                byte[] first = new byte[200_000];
                client.send(first);
                for (int sent = first.length; sent < 8_000_000 && System.nanoTime() < until; sent += 6_400) {
                    client.send(new byte[6_400]);
                    Kit.sleep(100);
                }
            } catch (IOException e) {
                Kit.note("slow upload " + id + ": " + e.getMessage());
                Kit.sleep(500);
            }
        }
    }

    private static void uploads(Kit.Node node, int number, long until) {
        String body = text(10_000);
        while (System.nanoTime() < until) {
            String id = Kit.id();
            SENT.put(id, body);
            try (Kit.Client client = new Kit.Client(node)) {
                client.send(Kit.bytes(
                        Kit.head(id, "k" + id, 700 + number, "bulk", 4_000, "Transfer-Encoding: chunked\r\n")));
                for (int from = 0; from < body.length(); from += 4_000) {
                    String chunk = body.substring(from, Math.min(body.length(), from + 4_000));
                    client.send(Kit.bytes(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n"));
                    Kit.sleep(62);
                }
                client.send(Kit.bytes("0\r\n\r\n"));
                Kit.note("client of " + id + ": " + client.outcome(4_500));
            } catch (IOException e) {
                Kit.note("client of " + id + ": " + e.getMessage());
            }
            Kit.sleep(20);
        }
    }

    private static boolean holds() throws Exception {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            members.add(Kit.member("s-" + i, new Kit.Listener(CaseHole::serve).address()));
        }
        Kit.Node node = new Kit.Node("n1", Kit.discovery(members), Kit.counter(), members, 96, 512);
        Kit.warm(node, 200);
        long until = System.nanoTime() + RUN_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SLOW; i++) {
            int number = i;
            Kit.start("slow", () -> slow(node, number, until));
        }
        Kit.sleep(3_000);
        for (int i = 0; i < UPLOADERS; i++) {
            int number = i;
            clients.add(Kit.start("upload", () -> uploads(node, number, until)));
        }
        try (Kit.Signals signals = new Kit.Signals(node)) {
            while (System.nanoTime() < until) {
                Kit.sleep(300);
                signals.send("STOP");
                Kit.sleep(HOLD_MS);
                signals.send("CONT");
                Kit.note("the node was held up for " + HOLD_MS + " ms");
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.say(SENT.size() + " uploads, " + RESETS + " reset at first, " + WHOLE + " ran with what was sent (" + REPEATED
                + " at the second attempt), " + WRONG + " ran with something else");
        return WRONG.get() == 0;
    }
}
