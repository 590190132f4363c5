import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A planned restart while half of the app servers hang: orders of 400 kB are being sent when SIGTERM comes, and their last
 * byte comes some 0.9 s later. SIGKILL comes 3.7 s after SIGTERM.
 */
final class CaseLate {
    private static final int SERVERS = 4;
    private static final int CLIENTS = 12;
    private static final int FIRST = 340_000;
    private static final int REST = 60_000;
    private static final int PIECE = 3_000;
    private static final long CLIENT_WAITS_MS = 4_000;
    private static final long KILL_AFTER_MS = 3_700;
    private static volatile boolean hanging;

    public static void main(String[] args) {
        Kit.run(CaseLate::holds);
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
                if (hanging) {
                    Kit.note(app.id + " has answered " + request.id());
                }
            }));
        }
        List<String> members = apps.stream().map(Kit.App::entry).toList();
        Kit.Node node = new Kit.Node("n1", Kit.discovery(members), Kit.counter(), members, 96, 512);
        Kit.warm(node, 100);

        Map<String, String> outcomes = new ConcurrentHashMap<>();
        Map<String, Double> lastBytes = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.start("client", () -> upload(node, number, lastBytes, outcomes)));
        }
        Kit.sleep(300);
        hanging = Kit.TROUBLE;
        Kit.sleep(100);
        double term = Kit.ms();
        node.signal("TERM");
        Kit.note("SIGTERM");
        boolean ended = node.awaitEnd(KILL_AFTER_MS - (long) (Kit.ms() - term));
        double killed = Kit.ms();
        Kit.note(ended ? "the node has ended by itself" : "SIGKILL, " + (long) (killed - term) + " ms after SIGTERM");
        if (!ended) {
            node.signal("KILL");
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        int taken = 0;
        int lost = 0;
        for (Map.Entry<String, Double> each : lastBytes.entrySet()) {
            String outcome = outcomes.get(each.getKey());
            boolean waits = killed < each.getValue() + CLIENT_WAITS_MS;
            boolean unanswered = outcome.startsWith("ended") || outcome.equals("no answer");
            taken++;
            lost += unanswered && waits ? 1 : 0;
            Kit.note(String.format(
                    java.util.Locale.ROOT,
                    "%s: last byte %.0f ms after SIGTERM, %s",
                    each.getKey(),
                    each.getValue() - term,
                    outcome));
        }
        Kit.say(taken + " orders taken after SIGTERM: " + lost + " without an answer though their clients still waited, "
                + outcomes.values().stream().filter(o -> o.equals("served")).count() + " served");
        if (taken < CLIENTS / 2) {
            throw new IllegalStateException("too few orders were sent whole");
        }
        return lost == 0;
    }

    private static void upload(
            Kit.Node node, int number, Map<String, Double> lastBytes, Map<String, String> outcomes) {
        String id = Kit.id();
        try (Kit.Client client = new Kit.Client(node)) {
            client.send(Kit.bytes(Kit.head(
                    id,
                    "k" + id,
                    100 + number,
                    "bulk",
                    CLIENT_WAITS_MS,
                    "Content-Length: " + (FIRST + REST) + "\r\n")));
            client.send(new byte[FIRST]);
            for (int sent = 0; sent < REST; sent += PIECE) {
                Kit.sleep(62);
                client.send(new byte[PIECE]);
            }
            lastBytes.put(id, Kit.ms());
            Kit.note("client has sent the last byte of " + id);
            outcomes.put(id, client.outcome(CLIENT_WAITS_MS + 500));
            Kit.note("client of " + id + ": " + outcomes.get(id));
        } catch (IOException e) {
            Kit.note("client of " + id + " could not send all: " + e.getMessage());
            outcomes.putIfAbsent(id, "not taken");
        }
    }
}
