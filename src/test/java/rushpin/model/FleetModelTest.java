package rushpin.model;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports;

/** The fleet in simulated time, and what its judge finds of modules that break the rules. */
@Tag("long")
class FleetModelTest {
    /** All kinds of trouble in 20 s. */
    private static Map<String, String> rough() {
        return Days.with(
                Days.day(),
                "kind=nodes-die at-s=3 for-s=3 part=0.4",
                "kind=servers-fail-fast at-s=5 for-s=6 part=0.2",
                "kind=servers-replaced at-s=8 for-s=3 part=0.3",
                "kind=counter-silent at-s=10 for-s=2",
                "kind=counter-blank at-s=13",
                "kind=servers-slow at-s=12 for-s=3 part=0.2 factor=3",
                "kind=servers-pause at-s=15 for-s=1 part=0.2",
                "kind=overload at-s=14 for-s=3 factor=1.5",
                "kind=heavy-customer at-s=2 for-s=10 factor=0.3",
                "kind=zone-lost at-s=16 for-s=2 zone=1 counter=true");
    }

    @Test
    void aQuietDayIsServedAndKeepsTheRules() {
        Map<String, Object> run = Days.play(Days.day(), 1);
        assertEquals("", run.get("breach"));
        assertTrue(Days.number(run, "served") > 0.97, run.toString());
        assertEquals(140 * 20, Days.number(run, "asks"), 250);
        assertTrue(Days.number(run, "p50-ms") > 110 && Days.number(run, "p50-ms") < 220, run.toString());
    }

    @Test
    void theSameSeedGivesTheSameFiguresAndAnotherDoesNot() {
        Map<String, Object> one = Days.play(rough(), 7), again = Days.play(rough(), 7), other = Days.play(rough(), 8);
        assertEquals(one.keySet(), again.keySet());
        for (String name : one.keySet()) {
            if (one.get(name) instanceof double[] series) {
                assertArrayEquals(series, (double[]) again.get(name), name);
            } else {
                assertEquals(one.get(name), again.get(name), name);
            }
        }
        assertTrue(Days.number(one, "service") != Days.number(other, "service"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void troublesCostServiceAndNoRule(long seed) {
        Map<String, Object> run = Days.play(rough(), seed);
        assertEquals("", run.get("breach"), "seed " + seed);
        assertTrue(Days.number(run, "service") < Days.number(Days.play(Days.day(), seed), "service"), "seed " + seed);
        assertEquals(
                Days.number(run, "servers.present-s"),
                Days.number(run, "servers.sojourn-s"),
                1e-3,
                "Little, seed " + seed);
    }

    private static double part(Map<String, Object> run, int from, int to) {
        double[] asked = (double[]) run.get("series.asked"), served = (double[]) run.get("series.served");
        double all = 0, ok = 0;
        for (int i = from; i < to; i++) {
            all += asked[i];
            ok += served[i];
        }
        return ok / all;
    }

    /**
     * All servers are replaced within half a second: none is warm. Sent what a warm one would do, or what nobody had counted, each
     * fell over; and one gateway, used to answers slower than its clients wait, refused all that came from then on.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 60})
    void withNoWarmServerLeftNoneIsPushedOverAndAllAreServedOnceTheyAreWarm(int nodes) {
        for (long seed = 1; seed <= 2; seed++) {
            Map<String, String> day = Days.with(
                    Days.day(
                            "seconds=40 fleet.nodes=" + nodes + " fleet.spread=" + Math.min(3, nodes)
                                    + " fleet.zones=1 clients.rate=150 servers.drain-ms=1500 servers.count=60 servers.cores=1 servers.line=6"),
                    "kind=servers-replaced at-s=8 for-s=0.5 part=1");
            Map<String, Object> run = Days.play(day, seed);
            assertEquals("", run.get("breach"), nodes + " nodes, seed " + seed);
            double before = part(run, 2, 8), meanwhile = part(run, 12, 18), behind = part(run, 30, 40);
            assertTrue(
                    behind > before - 0.05,
                    nodes + " nodes, seed " + seed + ": " + before + " before, " + behind + " behind it");
            assertTrue(meanwhile > 0.3 * before, nodes + " nodes, seed " + seed + ": " + meanwhile + " meanwhile");
        }
    }

    /** The servers of a fleet that starts are all new: each does at least half a request at a time. */
    @Test
    void aGatewayThatKnowsNoWarmServerSendsAllTheSame() {
        Map<String, String> day = Days.with(
                Days.day("seconds=12 fleet.nodes=3"),
                "kind=servers-replaced at-s=0.1 for-s=0.1 part=1",
                "kind=nodes-die at-s=3 for-s=0.5 part=1");
        day.put("servers.drain-ms", "1000");
        day.put("clients.rate", "60");
        Map<String, Object> run = Days.play(day, 1);
        assertEquals("", run.get("breach"));
        assertTrue(part(run, 6, 12) > 0.2, "served " + part(run, 6, 12));
    }

    /** Started while most servers are cold: it has known none of them warm, and goes by the few that are. */
    @Test
    void aGatewayThatStartsInAReleaseUsesColdServersByWhatTheWarmOnesTake() {
        double served = 0;
        for (long seed = 1; seed <= 3; seed++) {
            Map<String, String> day = Days.with(
                    Days.day("seconds=14 fleet.nodes=2 fleet.spread=2 fleet.zones=1 clients.rate=120"),
                    "kind=servers-replaced at-s=2 for-s=0.5 part=0.8",
                    "kind=nodes-die at-s=5.5 for-s=0.3 part=1");
            day.put("servers.drain-ms", "1500");
            Map<String, Object> run = Days.play(day, seed);
            assertEquals("", run.get("breach"), "seed " + seed);
            served += part(run, 7, 14) / 3;
        }
        assertTrue(served > 0.6, "served " + served);
    }

    private static String broken(Map<String, String> day, World.Module module) {
        return (String) Days.play(day, 3, module).get("breach");
    }

    @Test
    void aModuleThatSendsToADrainIsCaught() {
        Map<String, String> day = Days.with(Days.day(), "kind=servers-replaced at-s=3 for-s=1 part=0.5");
        String found = broken(
                day,
                (settings, seed, now, actions) -> new Gateway(settings, seed, now, new Bent(actions) {
                    @Override
                    public void send(String id, String server, long patience) {
                        super.send(id, "s-" + id.hashCode() % 10 * Integer.signum(id.hashCode()), patience);
                    }
                }));
        assertTrue(found.startsWith("DRAINS_KEPT"), found);
    }

    @Test
    void aModuleThatKnowsNoQuotaBreaksACeiling() {
        Map<String, String> day = Days.with(Days.day(), "kind=heavy-customer at-s=2 for-s=10 factor=0.5");
        String found = broken(
                day, (settings, seed, now, actions) -> new Gateway(free(settings), seed, now, new Bent(actions) {}));
        assertTrue(found.startsWith("CEILINGS_KEPT"), found);
    }

    private static Ports.Settings free(Ports.Settings of) {
        Ports.Plan plan = new Ports.Plan(0, 0, 0, 1, 0, 0, 0, 0, 0);
        return new Ports.Settings(
                of.me(),
                of.siblings(),
                of.zone(),
                of.tick(),
                of.sizesAreWeights(),
                of.reports(),
                of.classes(),
                List.of(plan, plan),
                of.limits(),
                of.counter(),
                of.rules());
    }

    @Test
    void aModuleThatSendsAllToOneColdServerPushesItOver() {
        Map<String, String> day =
                Days.with(Days.day("servers.line=200"), "kind=servers-replaced at-s=3 for-s=1 part=0.1");
        String found = broken(
                day,
                (settings, seed, now, actions) -> new Gateway(settings, seed, now, new Bent(actions) {
                    @Override
                    public void send(String id, String server, long patience) {
                        super.send(
                                id,
                                now > 0 || Integer.parseInt(id.substring(0, id.indexOf('.'))) > 700 ? "r-0" : server,
                                patience);
                    }
                }));
        assertTrue(found.startsWith("COLD_NOT_PUSHED_OVER"), found);
    }

    @Test
    void aModuleThatRepeatsWhatMayHaveRunIsCaught() {
        Map<String, String> settings = Days.settings();
        settings.put("classes.1.idempotency", "fragile");
        Map<String, String> day =
                Days.with(Days.day("servers.line=200"), "kind=servers-slow at-s=2 for-s=10 part=0.5 factor=30");
        World.Module module =
                (told, seed, now, actions) -> new Gateway(retryable(told), seed, now, new Bent(actions) {});
        World world = new World(
                rushpin.gateway.SettingsReader.read(settings),
                List.of("lookup", "order"),
                List.of("basic", "bulk"),
                Day.of(day),
                null,
                3,
                module);
        String found = (String) world.play().get("breach");
        assertTrue(found.startsWith("NO_EFFECT_TWICE"), found);
    }

    private static Ports.Settings retryable(Ports.Settings of) {
        Ports.RequestClass safe = of.classes().get(0);
        return new Ports.Settings(
                of.me(),
                of.siblings(),
                of.zone(),
                of.tick(),
                of.sizesAreWeights(),
                of.reports(),
                List.of(safe, safe),
                of.plans(),
                of.limits(),
                of.counter(),
                of.rules());
    }

    @Test
    void anAnswerAfterItsTimeIsCaught() {
        // Half a second to the node and back is no client's fault.
        Map<String, String> day = Days.day("clients.patience=0.25,0.25");
        day.put("fleet.node", "fixed 1000");
        String found = broken(day, Days.gateway());
        assertTrue(found.startsWith("NO_REQUEST_LOST"), found);
    }

    @Test
    void aModuleThatThrowsIsNoRun() {
        RuntimeException why = assertThrows(
                IllegalStateException.class,
                () -> Days.play(Days.day(), 1, (settings, seed, now, actions) -> {
                    throw new IllegalStateException("made to");
                }));
        assertEquals("made to", why.getMessage());
    }

    @Test
    void whatADayLacksIsNamedWithWhatIsAllowed() {
        Map<String, String> day = Days.day("servers.cores=0", "front.notice-ms=9,3", "servers.colour=red");
        day.put("class.lookup.work", "bimodal 1 2");
        String why =
                assertThrows(IllegalArgumentException.class, () -> Day.of(day)).getMessage();
        for (String part : List.of(
                "servers.cores is \"0\"; allowed: a number from 1",
                "front.notice-ms",
                "servers.colour is no key",
                "\"bimodal\" is no family")) {
            assertTrue(why.contains(part), why);
        }
        Map<String, String> unknown = Days.day("class.refund.share=0.1");
        unknown.put("class.refund.work", "fixed 10");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Days.play(unknown, 1))
                .getMessage()
                .contains("class.refund: the settings have lookup, order"));
        Map<String, String> huge = Days.day("seconds=7200", "clients.rate=10000");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Days.play(huge, 1))
                .getMessage()
                .contains("2000000"));
    }

    @Test
    void recordedFirstTriesTakeThePlaceOfDrawnOnes() {
        double[][] columns = {{0, 1e9, 1e9, 3e9}, {0, 1, 0, 1}, {0, 1, 1, 0}, {1, 2, 1, 1}, {3e9, 3e9, 3e9, 3e9}};
        Map<String, Object> run = Play.play(Days.settings(), Days.day(), columns, new long[] {5, 6, 7, 5}, 1);
        assertEquals(4.0, run.get("asks"));
        assertEquals(1.0, run.get("served"));
        double[] asked = (double[]) run.get("series.asked");
        assertArrayEquals(new double[] {1, 2, 0, 1}, java.util.Arrays.copyOf(asked, 4));
    }

    @Test
    void aDeadNodesClientsComeAgainAndAreServedElsewhere() {
        Map<String, Object> run = Days.play(Days.with(Days.day(), "kind=nodes-die at-s=5 for-s=5 part=0.34"), 2);
        assertEquals("", run.get("breach"));
        assertTrue(Days.number(run, "tries") > Days.number(run, "asks"));
        assertTrue(Days.number(run, "served") > 0.9, run.toString());
    }

    @Test
    void callsOfOneNameEndInTheirOrderThoughAnswersAreLost() {
        Timeline time = new Timeline();
        Tallies counter = new Tallies(time, 1, 1_000, 50_000_000);
        var line = Tallies.line();
        StringBuilder order = new StringBuilder();
        counter.silent(true);
        counter.call(
                line,
                9,
                1,
                1_000_000_000,
                100,
                (outcome, total) -> order.append("first ").append(outcome));
        time.run(1_000_000);
        counter.silent(false);
        counter.call(
                line,
                9,
                2,
                1_000_000_000,
                100,
                (outcome, total) -> order.append(", second ").append(outcome).append(total));
        time.run(100_000_000);
        assertEquals("first TIMEOUT, second OK2.0", order.toString());
        assertTrue(line.isEmpty());
    }
}
