import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Orders of 60 KB with a key that all app servers remember for 1 s. The connection of an order's first attempt is reset
 * 0.5 s after the order has run, and the app servers take 1.5 s to read the next attempt.
 */
final class CaseTwice {
    private static final int SERVERS = 4;
    private static final int ORDERS = 20;
    private static final long WINDOW_MS = 1_000;
    private static final long RESET_AFTER_MS = 500;
    private static final long READ_MS = 1_500;
    private static final int BODY = 60_000;
    /** When an order of a key last took effect; what all app servers remember together. */
    private static final Map<String, Long> EFFECTS = new ConcurrentHashMap<>();

    private static final Map<String, Integer> ATTEMPTS = new ConcurrentHashMap<>();
    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final AtomicInteger DROPPED = new AtomicInteger();
    private static final AtomicInteger TWICE = new AtomicInteger();

    public static void main(String[] args) {
        Kit.run(CaseTwice::holds);
    }

    private static void serve(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 512);
        for (Kit.Message request = Kit.head(in); request != null; request = Kit.head(in)) {
            String key = request.headers.get("idempotency-key");
            if (key == null) {
                Kit.body(in, request);
                connection.getOutputStream().write(Kit.ok(request.id()));
                continue;
            }
            int attempt = ATTEMPTS.merge(key, 1, Integer::sum);
            Kit.note("attempt " + attempt + " of " + key + " begins to come");
            if (attempt > 1) {
                readSlowly(in, Integer.parseInt(request.headers.get("content-length")));
            } else {
                Kit.body(in, request);
            }
            begin(key, attempt);
            if (Kit.TROUBLE && attempt == 1) {
                Kit.sleep(RESET_AFTER_MS);
                Kit.note("reset under " + key);
                connection.setSoLinger(true, 0);
                return;
            }
            connection.getOutputStream().write(Kit.ok(request.id()));
        }
    }

    private static void readSlowly(InputStream in, int length) throws IOException {
        int pieces = 50;
        for (int i = 0; i < pieces; i++) {
            Kit.sleep(READ_MS / pieces);
            int size = (int) ((long) length * (i + 1) / pieces - (long) length * i / pieces);
            if (in.readNBytes(size).length < size) {
                throw new IOException("end within a body");
            }
        }
    }

    /** The last byte of an order has come. */
    private static synchronized void begin(String key, int attempt) {
        long now = System.nanoTime();
        Long before = EFFECTS.get(key);
        long ago = before == null ? -1 : (now - before) / 1_000_000;
        if (before != null && ago <= WINDOW_MS) {
            DROPPED.incrementAndGet();
            Kit.note("attempt " + attempt + " of " + key + " is dropped as a repeat, " + ago + " ms after it ran");
            return;
        }
        EFFECTS.put(key, now);
        RUNS.incrementAndGet();
        if (before != null) {
            TWICE.incrementAndGet();
        }
        Kit.note("attempt " + attempt + " of " + key + " runs"
                + (before == null ? "" : "  <-- AGAIN, " + ago + " ms after it ran"));
    }

    private static boolean holds() throws Exception {
        Kit.settings = Kit.settings.replace(
                "\"idempotency\":\"dedup\",\"group\":\"all\",\n   \"key-ttl-ns\":4000000000",
                "\"idempotency\":\"dedup\",\"group\":\"all\",\n   \"key-ttl-ns\":" + WINDOW_MS + "000000");
        if (!Kit.settings.contains("\"key-ttl-ns\":" + WINDOW_MS + "000000")) {
            throw new IllegalStateException("the window is not set");
        }
        List<String> members = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            ServerSocket small = new ServerSocket();
            small.setReceiveBufferSize(4_096);
            small.bind(new InetSocketAddress(Kit.LOOPBACK, 0), 1_024);
            members.add(Kit.member("s-" + i, new Kit.Listener(small, CaseTwice::serve).address()));
        }
        Kit.Node node = new Kit.Node("n1", Kit.discovery(members), Kit.counter(), members, 96, 512);
        Kit.warm(node, 100);
        String body = "x".repeat(BODY);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            int number = i;
            clients.add(Kit.start("client", () -> {
                String id = Kit.id();
                try (Kit.Client client = new Kit.Client(node)) {
                    client.send(Kit.order(id, "key-" + number, 100 + number, 4_000, body));
                    Kit.note("client of key-" + number + ": " + client.outcome(4_500));
                } catch (IOException e) {
                    Kit.note("client of key-" + number + ": " + e.getMessage());
                }
            }));
            Kit.sleep(700);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.sleep(2_000);
        Kit.say(ORDERS + " orders: " + RUNS + " effects, " + TWICE + " of them the second of an order, " + DROPPED
                + " repeats dropped");
        return TWICE.get() == 0;
    }
}
