import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.stream.Stream;

/**
 * A node of two pools with a state folder is replaced by a second process while it serves. The units that both tell the
 * counter are held against the requests that reached an app server.
 */
final class CaseRecord {
    private static final int CLIENTS = 20;
    private static final boolean ONE_POOL = Boolean.getBoolean("one");
    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
    private static final DoubleAdder TOLD = new DoubleAdder();
    private static volatile Kit.Node present;

    public static void main(String[] args) {
        Kit.run(CaseRecord::holds);
    }

    private static List<Kit.App> apps(int from) throws IOException {
        List<Kit.App> apps = new ArrayList<>();
        for (int i = from; i < from + 4; i++) {
            apps.add(new Kit.App("s-" + i, (app, request, connection) -> {
                RAN.add(request.id());
                connection.getOutputStream().write(Kit.ok(request.id()));
            }));
        }
        return apps;
    }

    private static void client(int number, long until, AtomicInteger sent) {
        while (System.nanoTime() < until) {
            try (Kit.Client client = new Kit.Client(present)) {
                for (int i = 0; i < 20 && System.nanoTime() < until; i++) {
                    String id = Kit.id();
                    long customer = 100 + number * 4 + i % 4;
                    sent.incrementAndGet();
                    client.send(
                            i % 2 == 0 || ONE_POOL ? Kit.lookup(id, customer, 3_000) : Kit.order(id, "k" + id, customer, 3_000, "x"));
                    Kit.Message answer = client.receive(4_000);
                    if (answer == null || answer.closes()) {
                        break;
                    }
                    Kit.sleep(100);
                }
            } catch (IOException e) {
                Kit.note("client " + number + ": " + e.getMessage());
            }
        }
    }

    private static boolean holds() throws Exception {
        Path state = Files.createTempDirectory("review-state");
        List<Kit.App> apps = apps(0);
        List<String> members = apps.stream().map(Kit.App::entry).toList();
        List<String> others = apps(4).stream().map(Kit.App::entry).toList();
        Kit.Listener discovery = Kit.discovery(members);
        Kit.Listener discoveryOfOthers = Kit.discovery(others);
        Kit.Listener counter = Kit.counter((name, amount) -> TOLD.add(amount));
        Kit.operator = "[process]\nlistener = \"reuseport\"\nstate = \"" + state + "\"\n\n"
                + "[[pool]]\nname = \"lookups\"\nsettings = \"pool.json\"\n\n[[route]]\npool = \"lookups\"\n"
                + (ONE_POOL
                        ? ""
                        : "\n[[pool]]\nname = \"orders\"\nsettings = \"pool.json\"\ndiscovery = \""
                                + discoveryOfOthers.address()
                                + "\"\n\n[[route]]\npool = \"orders\"\nclass = \"pickup-order\"\n");
        Kit.Node first = new Kit.Node("n1", discovery, counter, members, 96, 512);
        present = first;
        long until = System.nanoTime() + 20_000_000_000L;
        AtomicInteger sent = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.start("client", () -> client(number, until, sent)));
        }
        Kit.sleep(5_000);
        Kit.Node second = null;
        if (Kit.TROUBLE) {
            second = new Kit.Node("n1", first.port, discovery, counter, members, 96, 512);
            Kit.sleep(2_000);
            first.signal("TERM");
            Kit.note("SIGTERM to the first process; it has " + (first.awaitEnd(3_700) ? "ended" : "not ended"));
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.sleep(4_000);
        // A try that was taken and refused before it was sent on may have been told; none may be told twice.
        double excess = TOLD.sum() - sent.get();
        Kit.say(sent + " requests of one unit, " + RAN.size() + " reached an app server; units told to the counter: "
                + TOLD.sum() + ", beyond one for each request: " + Math.max(0, excess));
        try (Stream<Path> files = Files.walk(state)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
        return excess < 1;
    }
}
