package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.judge.Records;

/** What the stand-in for discovery writes down of its own words, which drains are judged by. */
@Timeout(60)
class DiscoveryTest {
    private static final int DRAINS = 200;

    /** Who is told first that a server is ready again may send at once: its drain is over by then. */
    @Test
    void aDrainIsOverBeforeAnybodyIsToldSo() throws Exception {
        AppServer.Work work = new AppServer.Work(1, 1, 1_000, 1_000, 1_000_000_000L);
        try (Yard yard = new Yard()) {
            Discovery discovery = yard.pool("one", 1, work, 1);
            AppServer server = yard.servers("one").get(0);
            List<Long> heard = new ArrayList<>();
            try (Socket watch = new Socket(
                    discovery.socket().getAddress(), discovery.socket().getPort())) {
                watch.getOutputStream()
                        .write("GET /watch HTTP/1.1\r\nHost: d\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.US_ASCII));
                await(lines, "Ready");
                for (int i = 0; i < DRAINS; i++) {
                    discovery.set(server, "Terminating", 0);
                    await(lines, "Terminating");
                    discovery.set(server, "Ready", 0);
                    await(lines, "Ready");
                    heard.add(System.nanoTime());
                }
            }
            yard.end();
            List<Records.Told> told = List.copyOf(yard.records.told());
            assertEquals(DRAINS, told.size());
            for (int i = 0; i < DRAINS; i++) {
                assertTrue(
                        told.get(i).until() <= heard.get(i),
                        "drain " + i + " ends " + (told.get(i).until() - heard.get(i)) + " ns after its end was heard");
            }
        }
    }

    private static void await(BufferedReader lines, String phase) throws Exception {
        String line = lines.readLine();
        while (line != null && !line.contains("\"" + phase + "\"")) {
            line = lines.readLine();
        }
        assertTrue(line != null, "the watch ended");
    }
}
