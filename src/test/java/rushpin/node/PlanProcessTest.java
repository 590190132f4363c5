package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushpin.judge.AccordEvent;
import rushpin.node.Fellows.Fellow;
import rushpin.node.Fellows.Said;

/** Six real processes, two in each of three zones, with servers there: requests go where the plan says. */
@Tag("long")
@Timeout(300)
class PlanProcessTest extends NodeTestBase {
    private static final int LEASE = 2_000, EFFECT = 500, SENDS = 200;
    private static final List<String> ZONES = List.of("a", "b", "c");

    @TempDir
    Path folder;
    /** Of each request the zones whose servers got it, by its trace. */
    private final Map<String, List<String>> got = new ConcurrentHashMap<>();

    private final Map<String, Integer> ports = new TreeMap<>();
    private volatile String ill = "";
    private volatile boolean over;
    private int asked;

    private Fellows fleet() throws Exception {
        List<String> members = new ArrayList<>();
        for (String zone : ZONES) {
            for (int i = 0; i < 2; i++) {
                StubServer server = stubServer(m -> {
                    got.computeIfAbsent(m.headers().get("x-trace-id"), id -> new ArrayList<>())
                            .add(zone);
                    m.answer(
                            zone.equals(ill) ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : StubServer.ok("", "x"));
                });
                members.add(member("s-" + zone + i, server.address(), "Ready", 0)
                        .replace("\"locality\":\"a\"", "\"locality\":\"" + zone + "\""));
            }
        }
        String config = config(members.toArray(String[]::new)).replace("\"b\"\n", "\"b\", \"c\"\n");
        Fellows made = new Fellows(folder, config, 3, 3, LEASE, EFFECT);
        toClose.add(made);
        for (int i = 0; i < made.all.size(); i++) {
            Fellow each = made.all.get(i);
            each.zone = ZONES.get(i % ZONES.size());
            each.platform = config.replace("\"my-zone\": 0", "\"my-zone\": " + i % ZONES.size());
            each.start();
        }
        for (Fellow each : made.all) {
            String at = made.awaitLine(each.name + ": serving on");
            ports.put(each.name, Integer.parseInt(at.substring(at.lastIndexOf(':') + 1)));
        }
        toClose.add(() -> over = true);
        return made;
    }

    /** One look-up after the other at each process, so that they have something to tell. */
    private void load(Fellows fleet) {
        for (Fellow each : fleet.all) {
            Thread client = new Thread(
                    () -> {
                        for (int i = 0; !over; i++) {
                            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(each.name))) {
                                for (; !over; i++) {
                                    write(
                                            socket,
                                            "GET /api?slot=4",
                                            headers("load-" + each.name + "-" + i, "lookup", "5000"),
                                            "");
                                    if (StubServer.read(socket) == null) {
                                        break;
                                    }
                                    TimeUnit.MILLISECONDS.sleep(10);
                                }
                            } catch (IOException e) {
                                // It comes again while the test goes on.
                            } catch (InterruptedException e) {
                                return;
                            }
                        }
                    },
                    "client of " + each.name);
            client.setDaemon(true);
            client.start();
        }
    }

    /** To which zone each of some look-ups went first, and how often. */
    private Map<String, Integer> firsts(Fellow by) throws IOException {
        Map<String, Integer> to = new TreeMap<>();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(by.name))) {
            socket.setSoTimeout(60_000);
            for (int i = 0; i < SENDS; i++) {
                String id = "asked-" + asked++;
                write(socket, "GET /api?slot=4", headers(id, "lookup", "20000"), "");
                status(StubServer.read(socket));
                List<String> zones = got.get(id);
                if (zones != null) {
                    to.merge(zones.get(0), 1, Integer::sum);
                }
            }
        }
        return to;
    }

    /** What the pool of a process has gone by for what enters in its zone, one after the other; null while that was no plan. */
    private static List<Map<String, Integer>> ways(Fellows fleet, Fellow of) {
        Map<String, Map<String, Integer>> agreed = new TreeMap<>();
        List<Map<String, Integer>> gone = new ArrayList<>();
        Map<String, Integer> last = null;
        boolean local = false;
        for (Said said : fleet.since(0)) {
            String number = said.values().get("number");
            if (!said.by().equals(of.name)) {
                continue;
            } else if (said.kind().equals("agreed")) {
                agreed.put(
                        number,
                        ((AccordEvent.Agreed) AccordEvent.of("fleet agreed number=1 fence=1 at=1 ways="
                                        + said.values().get("ways")))
                                .ways().stream()
                                        .filter(way -> way.from().equals(of.zone)
                                                && way.of().isEmpty())
                                        .map(AccordEvent.Way::parts)
                                        .findFirst()
                                        .orElse(null));
                continue;
            } else if (said.kind().equals("plan")) {
                last = agreed.get(number);
            } else if (said.kind().equals("rule")) {
                local = said.values().get("rule").equals("local");
            } else {
                continue;
            }
            gone.add(local ? null : last);
        }
        return gone;
    }

    private static Map<String, Integer> last(List<Map<String, Integer>> ways) {
        return ways.isEmpty() ? null : ways.get(ways.size() - 1);
    }

    /** While one plan was in force at it, look-ups went to the zones that it names, by their parts within chance. */
    private void goesByItsPlan(Fellows fleet, Fellow of) throws Exception {
        List<Map<String, Integer>> before, after;
        String wrong;
        do {
            before = ways(fleet, of);
            wrong = wrong(last(before), firsts(of));
            // A change of the plan may be said and not be read yet; by the end of another look it is.
            wrong = wrong.isEmpty() ? wrong : wrong(last(before), firsts(of));
            after = ways(fleet, of);
        } while (last(before) == null
                || !after.subList(before.size() - 1, after.size()).stream().allMatch(last(before)::equals));
        assertEquals("", wrong);
    }

    /** What went otherwise than by a plan; empty for nothing. What is left of an ill zone's part may go elsewhere: its servers fail. */
    private String wrong(Map<String, Integer> plan, Map<String, Integer> to) {
        double sent = to.values().stream().mapToInt(Integer::intValue).sum();
        Map<String, Integer> parts = plan == null ? Map.of() : plan;
        double elsewhere = sent * parts.getOrDefault(ill, 0) / 1_000.0;
        boolean keeps = parts.keySet().containsAll(to.keySet())
                && parts.entrySet().stream().allMatch(part -> {
                    double p = part.getValue() / 1_000.0;
                    return Math.abs(to.getOrDefault(part.getKey(), 0) - p * sent)
                            <= 5 * Math.sqrt(sent * p * (1 - p)) + 1 + elsewhere;
                });
        return keeps ? "" : to + " by " + plan;
    }

    /** All stay near; a zone's servers fail, and what enters there goes elsewhere, in each process, as the plan says. */
    @Test
    void requestsGoWhereThePlanSays() throws Exception {
        Fellows fleet = fleet();
        fleet.awaitPlan(0, fleet.all);
        load(fleet);
        for (Fellow each : fleet.all) {
            goesByItsPlan(fleet, each);
        }
        ill = "b";
        for (Fellow each : List.of(fleet.all.get(1), fleet.all.get(4))) {
            fleet.await("a way out of b at " + each.name, () -> {
                Map<String, Integer> way = last(ways(fleet, each));
                return way != null && way.getOrDefault("b", 0) < 500 ? way : null;
            });
            goesByItsPlan(fleet, each);
        }
        assertEquals(List.of(), fleet.breaches(), fleet.all());
    }

    private static void awaitRule(Fellows fleet, Fellow of, int since, String rule) throws Exception {
        fleet.await(
                "rule " + rule,
                () -> fleet.since(since).stream()
                        .filter(line -> line.by().equals(of.name) && line.is("rule", "rule", rule))
                        .findFirst()
                        .orElse(null));
    }

    /** Without a voter that is awake a process serves on by the local rule, near, and is back with the plan later. */
    @Test
    void whoIsCutOffGoesByTheLocalRuleAndComesBack() throws Exception {
        Fellows fleet = fleet();
        fleet.awaitPlan(0, fleet.all);
        List<Fellow> voters = fleet.all.subList(0, 3);
        Fellow cut = fleet.all.get(3);
        int stopped = fleet.now();
        List<Long> from = new ArrayList<>();
        for (Fellow voter : voters) {
            from.add(voter.stop());
        }
        awaitRule(fleet, cut, stopped, "local");
        Map<String, Integer> to = firsts(cut);
        int sent = to.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(sent > 0 && to.getOrDefault("a", 0) >= sent * 0.95, "what is cut off stays near: " + to);
        int woken = fleet.now();
        for (int i = 0; i < voters.size(); i++) {
            voters.get(i).wake(from.get(i));
        }
        awaitRule(fleet, cut, woken, "plan");
        goesByItsPlan(fleet, cut);
        assertEquals(List.of(), fleet.breaches(), fleet.all());
    }
}
