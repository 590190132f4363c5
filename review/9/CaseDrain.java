import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A planned restart while half of the app servers hang: requests with the site's own deadline of 4 s are open when
 * SIGTERM comes, and SIGKILL comes 3.7 s later.
 */
final class CaseDrain {
    private static final int SERVERS = 4;
    private static final int REQUESTS = 16;
    private static final long CLIENT_WAITS_MS = 4_000;
    private static final long KILL_AFTER_MS = 3_700;
    private static volatile boolean hanging;

    public static void main(String[] args) {
        Kit.run(CaseDrain::holds);
    }

    private static boolean holds() throws Exception {
        List<Kit.App> apps = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            boolean hangs = i % 2 == 0;
            apps.add(new Kit.App("s-" + i, (app, request, connection) -> {
                if (hanging && hangs) {
                    Kit.note(app.id + " hangs with " + request.id());
                    return;
                }
                Kit.sleep(20);
                connection.getOutputStream().write(Kit.ok(request.id()));
                Kit.note(app.id + " has answered " + request.id());
            }));
        }
        List<String> members = apps.stream().map(Kit.App::entry).toList();
        Kit.Node node = new Kit.Node("n1", Kit.discovery(members), Kit.counter(), members, 96, 512);
        Kit.warm(node, 100);

        hanging = Kit.TROUBLE;
        Map<String, String> outcomes = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            String id = Kit.id();
            clients.add(Kit.start("client", () -> {
                long sent = System.nanoTime();
                try (Kit.Client client = new Kit.Client(node)) {
                    client.send(
                            number % 3 == 0
                                    ? Kit.order(id, "k" + id, 100 + number, CLIENT_WAITS_MS, "x".repeat(200))
                                    : Kit.lookup(id, 100 + number, CLIENT_WAITS_MS));
                    Kit.note("client has sent " + id);
                    String outcome = client.outcome(CLIENT_WAITS_MS + 500);
                    outcomes.put(id, outcome);
                    Kit.note("client of " + id + " after " + (System.nanoTime() - sent) / 1_000_000 + " ms: " + outcome);
                } catch (java.io.IOException e) {
                    outcomes.put(id, "not taken: " + e.getMessage());
                }
            }));
        }
        Kit.sleep(150);
        long at = System.nanoTime();
        node.signal("TERM");
        Kit.note("SIGTERM");
        boolean ended = node.awaitEnd(KILL_AFTER_MS - (System.nanoTime() - at) / 1_000_000);
        Kit.note(
                ended
                        ? "the node has ended by itself with " + node.status()
                        : "SIGKILL, " + (System.nanoTime() - at) / 1_000_000 + " ms after SIGTERM");
        if (!ended) {
            node.signal("KILL");
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        long lost = outcomes.values().stream().filter(o -> o.startsWith("ended") || o.equals("no answer")).count();
        Kit.say(REQUESTS + " requests taken before SIGTERM: " + lost + " without an answer, "
                + outcomes.values().stream().filter(o -> o.equals("served")).count() + " served");
        if (outcomes.size() < REQUESTS || outcomes.values().stream().anyMatch(o -> o.startsWith("not taken"))) {
            throw new IllegalStateException("not all requests were sent: " + outcomes);
        }
        return lost == 0;
    }
}
