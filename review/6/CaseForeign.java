import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** App servers send a second answer some milliseconds after the first, and the edge node is held up for 35 ms. */
final class CaseForeign {
    private static final int ROUNDS = 60;
    private static final long LATE_MS = 4;
    private static final long HOLD_MS = 22;
    private static volatile String spoilt = "";
    private static volatile CountDownLatch firstHeard;

    public static void main(String[] args) {
        Kit.run(CaseForeign::holds);
    }

    private static void work(Kit.App app, Kit.Message request, Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        byte[] answer = Kit.ok("answer to " + request.id());
        out.write(answer);
        Kit.note(app.id + " has answered " + request.id() + " on " + connection.getPort());
        if (request.id().equals(spoilt) && Kit.TROUBLE) {
            Kit.sleep(LATE_MS);
            out.write(answer);
            Kit.note(app.id + " has sent a second answer to " + request.id() + " on " + connection.getPort());
        }
    }

    private static boolean holds() throws Exception {
        List<Kit.App> apps = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            apps.add(new Kit.App("s-" + i, CaseForeign::work));
        }
        List<String> members = apps.stream().map(Kit.App::entry).toList();
        Kit.Node node = new Kit.Node("n1", Kit.discovery(members), Kit.counter(), members, 96, 512);
        Kit.warm(node, 100);
        int foreign = 0;
        int other = 0;
        try (Kit.Signals signals = new Kit.Signals(node);
                Kit.Client first = new Kit.Client(node);
                Kit.Client second = new Kit.Client(node)) {
            for (int round = 0; round < ROUNDS; round++) {
                String a = Kit.id();
                String b = Kit.id();
                spoilt = a;
                first.send(Kit.lookup(a, 200 + round, 3_000));
                Kit.Message heard = first.receive(3_500);
                long heardAt = System.nanoTime();
                signals.send("STOP");
                Kit.note("round " + round + ": the node is held up");
                TimeUnit.MICROSECONDS.sleep(300);
                second.send(Kit.lookup(b, 200 + round, 3_000));
                Kit.sleep(HOLD_MS);
                signals.send("CONT");
                Kit.note("the node goes on after " + (System.nanoTime() - heardAt) / 1_000_000 + " ms");
                Kit.Message got = second.receive(3_500);
                boolean wrong = got.status() == 200 && !got.text().equals("answer to " + b);
                boolean wrongFirst = heard.status() == 200 && !heard.text().equals("answer to " + a);
                Kit.note("client of " + a + ": " + heard.first + ", " + heard.text());
                Kit.note("client of " + b + ": " + got.first + ", " + got.text() + (wrong ? "  <-- FOREIGN" : ""));
                foreign += wrong || wrongFirst ? 1 : 0;
                other += got.status() == 200 ? 0 : 1;
                Kit.sleep(300);
            }
        }
        Kit.say(ROUNDS + " rounds: " + foreign + " answers of another request, " + other + " not served");
        return foreign == 0;
    }
}
