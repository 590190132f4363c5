import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A new configuration by SIGHUP while answers of 8 MB are under way, in a node with an operator's file whose pool has an
 * event loop of its own.
 */
final class CaseReload {
    private static final int CLIENTS = 8;
    private static final int PIECES = 80;
    private static final int PIECE = 100_000;
    private static final String OPERATOR =
            """
            [[pool]]
            name = "pickup"
            settings = "pool.json"
            loop = "own"

            [[route]]
            pool = "pickup"
            """;

    public static void main(String[] args) {
        Kit.run(CaseReload::holds);
    }

    private static void answer(Kit.Message request, OutputStream out) throws IOException {
        if (!request.headers.containsKey("idempotency-key")) {
            out.write(Kit.ok(request.id()));
            return;
        }
        byte[] piece = new byte[PIECE];
        out.write(Kit.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES * PIECE + "\r\n\r\n"));
        for (int i = 0; i < PIECES; i++) {
            out.write(piece);
            Kit.sleep(50);
        }
    }

    private static boolean holds() throws Exception {
        List<Kit.App> apps = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            apps.add(new Kit.App("s-" + i, (app, request, connection) -> {
                try {
                    answer(request, connection.getOutputStream());
                    Kit.note(app.id + " has given all of the answer to " + request.id());
                } catch (IOException e) {
                    Kit.note(app.id + " could not give the rest of the answer to " + request.id() + ": " + e.getMessage());
                    throw e;
                }
            }));
        }
        List<String> members = apps.stream().map(Kit.App::entry).toList();
        Kit.Listener discovery = Kit.discovery(members);
        Kit.Listener counter = Kit.counter();
        Kit.operator = OPERATOR;
        Kit.Node node = new Kit.Node("n1", discovery, counter, members, 96, 512);
        Kit.warm(node, 50);
        Map<String, String> outcomes = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.start("client", () -> {
                String id = Kit.id();
                try (Kit.Client client = new Kit.Client(node)) {
                    client.send(Kit.order(id, "k" + id, 100 + number, 4_000, "order"));
                    outcomes.put(id, client.outcome(10_000));
                } catch (IOException e) {
                    outcomes.put(id, "not taken: " + e.getMessage());
                }
                Kit.note("client of " + id + ": " + outcomes.get(id));
            }));
        }
        Kit.sleep(1_500);
        if (Kit.TROUBLE) {
            Kit.settings = Kit.settings.replace("\"max-attempts\":6", "\"max-attempts\":5");
            node.write("pool.json", Kit.Node.pool(discovery, counter, members));
            node.signal("HUP");
            Kit.note("SIGHUP, with one attempt less in the settings");
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.warm(node, 5);
        long lost = outcomes.values().stream().filter(o -> o.startsWith("ended") || o.equals("no answer")).count();
        Kit.say(CLIENTS + " answers of " + PIECES * PIECE + " bytes: " + lost + " cut off, "
                + outcomes.values().stream().filter(o -> o.equals("served")).count() + " whole");
        return lost == 0;
    }
}
