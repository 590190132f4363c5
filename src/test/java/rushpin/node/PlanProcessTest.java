package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushpin.judge.AccordEvent;
import rushpin.node.Fellows.Fellow;
import rushpin.node.Fellows.Said;

/** Six real processes, two in each of three zones, with servers there: requests go where the plan says. */
@Timeout(300)
class PlanProcessTest extends Stage {
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
                Peer server = peer(m -> {
                    got.computeIfAbsent(m.headers().get("x-trace-id"), id -> new ArrayList<>()).add(zone);
                    m.answer(zone.equals(ill) ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : Peer.ok("", "x"));
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
            Thread client = new Thread(() -> {
                for (int i = 0; !over; i++) {
                    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(each.name))) {
                        for (; !over; i++) {
                            write(socket, "GET /api?slot=4", headers("load-" + each.name + "-" + i, "lookup", "5000"), "");
                            if (Peer.read(socket) == null) {
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
            }, "client of " + each.name);
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
                status(Peer.read(socket));
                List<String> zones = got.get(id);
                if (zones != null) {
                    to.merge(zones.get(0), 1, Integer::sum);
                }
            }
        }
        return to;
    }

    /** What the pool of a process goes by for what enters in its zone; null while that is no plan. */
    private static Map<String, Integer> way(Fellows fleet, Fellow of) {
        Map<String, Map<String, Integer>> agreed = new TreeMap<>();
        Map<String, Integer> last = null;
        boolean local = false;
        for (Said said : fleet.since(0)) {
            String number = said.values().get("number");
            if (!said.by().equals(of.name)) {
                continue;
            } else if (said.kind().equals("agreed")) {
                agreed.put(number, ((AccordEvent.Agreed) AccordEvent.of("fleet agreed number=1 fence=1 at=1 ways="
                    + said.values().get("ways"))).ways().stream()
                    .filter(way -> way.from().equals(of.zone) && way.of().isEmpty())
                    .map(AccordEvent.Way::parts).findFirst().orElse(null));
            } else if (said.kind().equals("plan")) {
                last = agreed.get(number);
            } else if (said.kind().equals("rule")) {
                local = said.values().get("rule").equals("local");
            }
        }
        return local ? null : last;
    }

    /** While one plan was in force at it, look-ups went to the zones that it names, by their parts within chance. */
    private void goesByItsPlan(Fellows fleet, Fellow of) throws Exception {
        Map<String, Integer> before, to;
        do {
            before = way(fleet, of);
            to = firsts(of);
        } while (before == null || !before.equals(way(fleet, of)));
        Set<String> beside = new HashSet<>(to.keySet());
        beside.removeAll(before.keySet());
        assertEquals(Set.of(), beside, to + " by " + before);
        for (String zone : before.keySet()) {
            double p = before.get(zone) / 1_000.0, sent = to.values().stream().mapToInt(Integer::intValue).sum();
            double most = 5 * Math.sqrt(sent * p * (1 - p)) + 1;
            assertEquals(p * sent, to.getOrDefault(zone, 0), most, to + " by " + before);
        }
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
                Map<String, Integer> way = way(fleet, each);
                return way != null && way.getOrDefault("b", 0) < 500 ? way : null;
            });
            goesByItsPlan(fleet, each);
        }
        assertEquals(List.of(), fleet.breaches(), fleet.all());
    }

    /** Without a voter that is awake a process serves on by the local rule, near, and is back with the plan later. */
    @Test
    void whoIsCutOffGoesByTheLocalRuleAndComesBack() throws Exception {
        Fellows fleet = fleet();
        fleet.awaitPlan(0, fleet.all);
        List<Fellow> voters = fleet.all.subList(0, 3);
        Fellow cut = fleet.all.get(3);
        int stopped = fleet.now();
        long from = System.nanoTime();
        for (Fellow voter : voters) {
            voter.signal("STOP");
        }
        Said local = fleet.await("rule", stopped, List.of(cut));
        assertEquals("local", local.values().get("rule"));
        Map<String, Integer> to = firsts(cut);
        assertTrue(to.getOrDefault("a", 0) >= SENDS * 0.95, "what is cut off stays near: " + to);
        int woken = fleet.now();
        for (Fellow voter : voters) {
            voter.signal("CONT");
            voter.run.stopped(from, System.nanoTime());
        }
        assertEquals("plan", fleet.await("rule", woken, List.of(cut)).values().get("rule"));
        goesByItsPlan(fleet, cut);
        assertEquals(List.of(), fleet.breaches(), fleet.all());
    }
}
