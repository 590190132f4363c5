package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.KEYED_CELL;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;
import static rushpin.gateway.Host.UNSAFE;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Limits;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;

/** A zone plan sets which part of the requests goes to which zone; the choice within a zone is unchanged. */
class ZonesTest {
    private static final int SENDS = 3_000;

    /**
     * Returns a host whose servers are x0, x1 ... in zone 0, y0 ... in zone 1, z0 ... in zone 2, each in its own cell.
     */
    private static Host host(long seed, int siblings, int... servers) {
        Host host = new Host(Host.FREE, siblings, 0, true, seed, false);
        for (int zone = 0; zone < servers.length; zone++) {
            for (int i = 0; i < servers[zone]; i++) {
                server(host, zone, i, Readiness.READY, 0);
            }
        }
        return host;
    }

    private static void server(Host host, int zone, int i, Readiness readiness, long startedAt) {
        host.gateway.list(
                host.now,
                ListKind.DELTA,
                List.of(new Server("xyz".charAt(zone) + "" + i, 1, zone, 10 * zone + i, 0, readiness, startedAt)));
    }

    /** Sets the same parts for each class. */
    private static void plan(Host host, int... parts) {
        int[][] all = new int[4][];
        Arrays.fill(all, parts);
        host.gateway.zones(host.now, all);
    }

    /** Sends requests one after another, each served; returns how many went to each zone, '-' for those not sent. */
    private static Map<Character, Integer> sends(Host host, int requestClass, int many) {
        Map<Character, Integer> to = new TreeMap<>();
        for (int i = 0; i < many; i++) {
            host.pass(10 * MS);
            String id = host.request(requestClass, 1);
            if (host.attempts(id).isEmpty()) {
                host.gateway.clientGone(host.now, id);
                to.merge('-', 1, Integer::sum);
            } else {
                to.merge(host.attempts(id).get(0).server().charAt(0), 1, Integer::sum);
                host.end(id, Outcome.OK);
                if (i < many - 1) {
                    // Keeps the list short, as each request searches it.
                    host.sent.removeIf(sent -> sent.id().equals(id));
                }
            }
        }
        return to;
    }

    /** Asserts five standard deviations around a part in thousandths; one run in two million exceeds them by chance. */
    private static void assertPart(int part, int of, Integer seen, String about) {
        double p = part / 1_000.0;
        assertEquals(p * of, seen == null ? 0 : seen, 5 * Math.sqrt(of * p * (1 - p)), about);
    }

    @Test
    void partsAreKeptWhateverTheNumberOfServers() {
        for (long seed = 1; seed <= 4; seed++) {
            // A single gateway examines all servers, one of 40 only some.
            for (int siblings : new int[] {1, 40}) {
                Host host = host(seed, siblings, 2, 20, 9);
                plan(host, 700, 250, 50);
                Map<Character, Integer> to = sends(host, SAFE, SENDS);
                String about = to + " of seed " + seed + ", " + siblings + " siblings";
                assertPart(700, SENDS, to.get('x'), about);
                assertPart(250, SENDS, to.get('y'), about);
                assertPart(50, SENDS, to.get('z'), about);
            }
        }
    }

    @Test
    void zoneWithoutAPartGetsNothingAndZoneWithoutServersIsSkipped() {
        Host host = host(1, 2, 3, 3, 3);
        // Zones 3 and 4 have no servers; their parts go to the others in proportion.
        plan(host, 0, 300, 100, 400, 200);
        Map<Character, Integer> to = sends(host, SAFE, SENDS);
        assertEquals(null, to.get('x'));
        assertPart(750, SENDS, to.get('y'), to.toString());
        assertPart(250, SENDS, to.get('z'), to.toString());
        plan(host, 0, 0, 0, 1_000);
        assertEquals(Map.of('-', 50), sends(host, SAFE, 50), "nothing goes to zones that the plan does not name");
    }

    @Test
    void drainsAndColdServersTakePrecedenceOverThePlan() {
        Host host = host(1, 2, 2, 2, 2);
        plan(host, 800, 150, 50);
        server(host, 0, 0, Readiness.DRAINING, 0);
        server(host, 0, 1, Readiness.DRAINING, 0);
        Map<Character, Integer> to = sends(host, SAFE, SENDS);
        assertEquals(null, to.get('x'), "all of zone 0 drains");
        assertPart(750, SENDS, to.get('y'), to.toString());
        // A new server gets no more than its part of what a warm one takes, a quarter at first.
        server(host, 0, 2, Readiness.READY, host.now);
        to = sends(host, SAFE, 100);
        assertTrue(to.getOrDefault('x', 0) > 0 && to.get('x') < 50, "a cold server for 800 of 1,000 got " + to);
    }

    @Test
    void planCanChangeAndBeRemoved() {
        Host planned = host(3, 2, 2, 2, 2);
        Host never = host(3, 2, 2, 2, 2);
        for (int i = 0; i < 300; i++) {
            planned.gateway.zones(planned.now, i % 2 == 0 ? null : new int[4][]);
            sends(never, SAFE, 1);
            sends(planned, SAFE, 1);
            assertEquals(never.sent, planned.sent, "as without any plan");
        }
        plan(planned, 1_000);
        assertEquals(Map.of('x', 300), sends(planned, SAFE, 300));
        plan(planned, 0, 0, 1_000);
        assertEquals(Map.of('z', 300), sends(planned, SAFE, 300));
        planned.gateway.zones(planned.now, null);
        Map<Character, Integer> to = sends(planned, SAFE, 300);
        assertEquals(3, to.size(), "without a plan all zones are used again: " + to);
    }

    @Test
    void eachClassHasItsOwnPartsAndABlockedOneDelaysNoOther() {
        Host host = host(5, 2, 2, 2, 2);
        host.gateway.zones(host.now, new int[][] {{0, 1_000}, {0, 0, 1_000}, null, {0, 0, 0, 1_000}});
        assertEquals(Map.of('y', 50), sends(host, SAFE, 50));
        assertEquals(Map.of('z', 50), sends(host, KEYED_CELL, 50));
        assertEquals(null, sends(host, UNSAFE, 50).get('-'), "without parts any zone may be used");
        String blocked = host.request(Host.KEYED_ALL, 1);
        assertEquals(Map.of('y', 50), sends(host, SAFE, 50));
        assertTrue(host.attempts(blocked).isEmpty());
        host.pass(3000 * MS);
        assertTrue(host.refused.contains(blocked), "the request is answered in time");
    }

    @Test
    void classesKeepTheirPartsOverAChangeOfSettings() {
        Host host = host(5, 2, 2, 2, 2);
        host.gateway.zones(host.now, new int[][] {{1_000}, {0, 1_000}, {0, 0, 1_000}, null});
        Settings before = Host.settings(Host.FREE, 2, 0, true, false);
        List<RequestClass> classes =
                List.of(before.classes().get(1), before.classes().get(0));
        String last = host.request(UNSAFE, 1);
        host.gateway.settings(
                host.now,
                new Settings(
                        0,
                        2,
                        0,
                        MS,
                        true,
                        List.of(),
                        classes,
                        before.plans(),
                        new Limits(4, 1000, false, false, 0, false),
                        before.counter(),
                        before.rules()),
                new int[] {1, 0});
        assertEquals(Map.of('y', 20), sends(host, 0, 20));
        assertEquals(Map.of('x', 20), sends(host, 1, 20));
        host.gateway.zones(host.now, new int[][] {{0, 0, 1_000}, {0, 1_000}});
        host.end(last, Outcome.FULL);
        assertEquals('z', host.attempts(last).get(1).server().charAt(0), "it follows its last parts to its end");
    }

    @Test
    void retryGoesToAnotherZoneAndAKeyedOneStays() {
        for (long seed = 1; seed <= 40; seed++) {
            Host host = host(seed, 2, 2, 2, 2);
            plan(host, 950, 50);
            String id = host.request(SAFE, 1);
            host.end(id, Outcome.ERROR);
            char first = host.attempts(id).get(0).server().charAt(0);
            char second = host.attempts(id).get(1).server().charAt(0);
            assertEquals(first == 'x' ? 'y' : 'x', second, "seed " + seed);
            // Only the cell of the first attempt knows the key, whatever the plan says.
            String keyed = host.request(KEYED_CELL, 1);
            plan(host, 0, 0, 1_000);
            host.end(keyed, Outcome.RESET);
            assertEquals(
                    host.attempts(keyed).get(0).server(),
                    host.attempts(keyed).get(1).server(),
                    "seed " + seed);
        }
    }

    /** While one zone refuses everything, the other gets its part and at most a fifth of all requests as retries. */
    @Test
    void failuresInOneZoneDoNotFloodTheOthers() {
        Host host = host(9, 2, 2, 2, 2);
        plan(host, 900, 100);
        int moved = 0;
        for (int i = 0; i < SENDS; i++) {
            host.pass(10 * MS);
            host.sent.clear();
            String id = host.request(SAFE, 1);
            for (int n = 1; host.attempts(id).size() == n; n++) {
                boolean there = host.attempts(id).get(n - 1).server().charAt(0) == 'y';
                moved += there ? 1 : 0;
                host.end(id, there ? Outcome.OK : Outcome.FULL);
            }
        }
        // Without retry tokens for a move, each of four attempts is drawn by the plan.
        double allowed = SENDS * (0.2 + 1 - Math.pow(0.9, 4)) + 20 + 5 * Math.sqrt(SENDS);
        assertTrue(moved <= allowed, moved + " of " + SENDS + ", at most " + allowed);
        assertTrue(moved >= SENDS * 0.3, "moves with a retry token are made: " + moved);
    }

    /**
     * While the own zone does not answer, the overflow that the plan allows goes to the other zones, growing at first
     * and never beyond the plan. The remaining requests still go to the own zone, so that its recovery is noticed.
     */
    @Property(tries = 30)
    void overflowIsUsedAndNeverExceeded(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 600) int toY,
            @ForAll @IntRange(min = 0, max = 300) int toZ) {
        Host host = host(seed, 2, 2, 2, 2);
        int[][] parts = new int[4][];
        int[][] overflow = new int[4][];
        Arrays.fill(parts, new int[] {996, 2, 2});
        Arrays.fill(overflow, new int[] {0, toY, toZ});
        host.gateway.zones(host.now, parts, overflow);
        int[] duringOutage = firstAttempts(host, SENDS, true);
        int[] afterwards = firstAttempts(host, SENDS, false);
        for (int zone = 1; zone < 3; zone++) {
            double p = 0.002 + (zone == 1 ? toY : toZ) / 1e3;
            double tolerance = 5 * Math.sqrt(SENDS * p * (1 - p)) + 1;
            String about = "seed " + seed + " spare " + toY + ", " + toZ + ": " + duringOutage[zone] + " of " + SENDS;
            assertTrue(duringOutage[zone] <= SENDS * p + tolerance, about);
            // It grows for 2.3 of 30 seconds, and avoided servers are tried again now and then.
            assertTrue(duringOutage[zone] >= SENDS * p * 0.85 - tolerance, about);
            assertTrue(afterwards[zone] <= SENDS * 0.002 + 60 * p + 20, "back: " + afterwards[zone] + " seed " + seed);
        }
        assertFalse(host.gateway.isServerHeldOut("x0"));
    }

    /** Returns the zones of the first attempts, one every 10 ms, while zone 0 is dead or all zones answer. */
    private static int[] firstAttempts(Host host, int many, boolean dead) {
        int[] to = new int[3];
        for (int i = 0; i < many; i++) {
            host.pass(10 * MS);
            host.sent.clear();
            String id = host.request(SAFE, 1);
            for (int n = 1; host.attempts(id).size() == n; n++) {
                int zone = host.attempts(id).get(n - 1).server().charAt(0) - 'x';
                to[zone] += n == 1 ? 1 : 0;
                host.end(id, dead && zone == 0 ? Outcome.CONNECT_FAILED : Outcome.OK);
            }
        }
        return to;
    }

    /** Within a zone a server that fails is avoided as without a plan. */
    @Test
    void failingServerWithinAZoneIsAvoided() {
        Host host = host(2, 2, 1, 3);
        plan(host, 0, 1_000);
        int bad = 0;
        for (int i = 0; i < 400; i++) {
            host.pass(10 * MS);
            String id = host.request(SAFE, 1);
            boolean fails = host.attempts(id).get(0).server().equals("y1");
            bad += fails ? 1 : 0;
            host.end(id, fails ? Outcome.CONNECT_FAILED : Outcome.OK, true);
        }
        assertTrue(bad < 100, bad + " of 400 to one of three that fails");
        assertEquals(1, host.gateway.ejected());
    }
}
