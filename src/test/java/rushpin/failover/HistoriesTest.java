package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.failover.Scene.Ends;

/** What holds whatever zones, links, reports and planners do. */
class HistoriesTest {
    private static final Scene.Nature CALM = (from, to, of) -> Ends.WELL;
    private static final Limits KNOWN = Limits.USUAL.bearing(100_000);

    /** What goes wrong in a history: by pair of zones and class, each for a while. */
    private static final class Drawn implements Scene.Nature {
        final Map<String, Ends> wrong = new HashMap<>();
        final Random random;
        final Scene scene;

        Drawn(Scene scene, Random random) {
            this.scene = scene;
            this.random = random;
        }

        void change() {
            List<String> zones = scene.geography.zones();
            String from = random.nextInt(3) == 0 ? any(zones) : "", to = random.nextInt(8) == 0 ? "" : any(zones);
            String of = random.nextInt(4) == 0 ? any(List.copyOf(scene.rates.keySet())) : "";
            if (random.nextInt(3) == 0) {
                wrong.clear();
            } else {
                wrong.put(
                        from + " " + to + " " + of,
                        new Ends(random.nextInt(3) == 0 ? 0 : random.nextInt(1_001), random.nextInt(1_001)));
            }
        }

        private String any(List<String> all) {
            return all.get(random.nextInt(all.size()));
        }

        @Override
        public Ends ends(String from, String to, String of) {
            for (String who : new String[] {"", from}) {
                for (String what : new String[] {"", of}) {
                    for (String where : new String[] {"", to}) {
                        Ends ends = wrong.get(who + " " + where + " " + what);
                        if (ends != null) {
                            return ends;
                        }
                    }
                }
            }
            return Ends.WELL;
        }
    }

    private static Scene scene(Limits limits, Random random) {
        List<List<String>> regions = new ArrayList<>();
        int all = 0;
        for (int r = 0; r < 1 + random.nextInt(4); r++) {
            List<String> zones = new ArrayList<>();
            for (int z = 0; z < 1 + random.nextInt(3); z++) {
                zones.add("z" + all++);
            }
            regions.add(zones);
        }
        // Six processes of two classes by 40: 480 a second; 10 servers bear 90 each.
        Scene scene = new Scene(limits, 6, 40, List.of("book", "look"), regions);
        scene.warm.replaceAll((zone, warm) -> 2_000L + random.nextInt(9_000));
        return scene;
    }

    /** What a plan sends to others, at most what they can take beside their own; looks not counted. */
    private static void targetsAreNotOverrun(Scene scene, Sight sight, String at) {
        for (String zone : scene.geography.zones()) {
            double come = 0;
            for (Plan.Way way : scene.plan.ways()) {
                Map<String, Double> demand = sight.picture().demand(way.from());
                double rate = way.of().isEmpty()
                        ? demand.entrySet().stream()
                                .filter(each -> scene.plan.ways().stream()
                                        .noneMatch(other -> other.from().equals(way.from())
                                                && other.of().equals(each.getKey())))
                                .mapToDouble(Map.Entry::getValue)
                                .sum()
                        : demand.getOrDefault(way.of(), 0.0);
                come += way.parts().stream()
                        .filter(part -> part.to().equals(zone)
                                && !way.from().equals(zone)
                                && part.thousandths() > scene.limits.look())
                        .mapToDouble(part -> rate * part.thousandths() / 1_000)
                        .sum();
            }
            boolean whole =
                    scene.plan.marks().stream().noneMatch(mark -> mark.zone().equals(zone) && mark.open() < Plan.WHOLE);
            double own = whole
                    ? sight.picture().demand(zone).values().stream()
                            .mapToDouble(rate -> rate)
                            .sum()
                    : 0;
            double room = Math.max(0, sight.capacity().getOrDefault(zone, 0.0) - own);
            assertTrue(
                    come <= room + 1e-6,
                    at + ": " + zone + " gets " + come + " with room for " + room + "\n" + scene.plan);
            spareIsBorne(scene, sight, zone, room - come, at);
        }
    }

    /** Whoever holds its zone out, as many as may be left at once: no target gets more than it has room for. */
    private static void spareIsBorne(Scene scene, Sight sight, String to, double room, String at) {
        Map<String, Double> most = new HashMap<>();
        for (Plan.Way way : scene.plan.ways()) {
            Map<String, Double> demand = sight.picture().demand(way.from());
            double rate = way.of().isEmpty()
                    ? demand.entrySet().stream()
                            .filter(each -> scene.plan.ways().stream()
                                    .noneMatch(other -> other.from().equals(way.from())
                                            && other.of().equals(each.getKey())))
                            .mapToDouble(Map.Entry::getValue)
                            .sum()
                    : demand.getOrDefault(way.of(), 0.0);
            int open = scene.plan.marks().stream()
                    .filter(mark -> mark.zone().equals(to)
                            && List.of("", way.from()).contains(mark.from())
                            && List.of("", way.of()).contains(mark.of()))
                    .mapToInt(Plan.Mark::open)
                    .min()
                    .orElse(Plan.WHOLE);
            way.parts().stream().filter(part -> part.to().equals(to)).forEach(part -> {
                double spare = rate * part.spare() / 1_000;
                most.merge(way.from(), spare, Double::sum);
                assertTrue(
                        spare <= Math.max(0, room) * open / Plan.WHOLE + 1e-6,
                        () -> at + ": " + to + " is open to " + open + " for " + way + "\n" + scene.plan);
            });
        }
        double sum = most.values().stream()
                .sorted(Collections.reverseOrder())
                .limit(scene.limits.left(scene.geography.zones().size()))
                .mapToDouble(each -> each)
                .sum();
        assertTrue(
                sum <= Math.max(0, room) + 1e-6,
                () -> at + ": " + to + " may get " + sum + " more with room for " + room + "\n" + scene.plan);
    }

    private static void fewAreLeft(Scene scene, String at) {
        List<String> zones = scene.geography.zones();
        long left = zones.stream()
                .filter(zone -> scene.isLeft("", zone, "") || scene.isLeft(zone, zone, ""))
                .count();
        assertTrue(left <= Limits.USUAL.left(zones.size()), at + ": " + left + " are left\n" + scene.plan);
    }

    /** A history of three minutes, with reports that are lost, late and false and planners that come and go. */
    private static void play(long seed, Limits limits, double capacity) {
        Random random = new Random(seed);
        Scene scene = scene(limits, random);
        Drawn nature = new Drawn(scene, random);
        Deque<Report> late = new ArrayDeque<>();
        String liar = scene.geography.zones().get(0) + "-0";
        scene.way = report -> {
            if (report.process().equals(liar) && random.nextBoolean()) {
                return new Report(
                        1,
                        report.sequence(),
                        liar,
                        report.zone(),
                        report.span(),
                        0,
                        report.seen().stream()
                                .map(seen -> new Report.Seen(seen.zone(), seen.of(), Report.MOST, 0, Report.MOST, 0, 0))
                                .toList(),
                        report.stocks(),
                        List.of(new Report.Entered("book", Report.MOST)));
            }
            if (random.nextInt(5) == 0) {
                late.add(report);
            }
            return random.nextInt(20) == 0 ? null : late.size() > 20 ? late.poll() : report;
        };
        scene.sees = sight -> {
            Map<String, Double> more = new HashMap<>(sight.capacity());
            more.replaceAll((zone, can) -> can * capacity);
            return new Sight(sight.picture(), more);
        };
        for (int turn = 0; turn < 180; turn++) {
            if (random.nextInt(10) == 0) {
                nature.change();
            }
            if (random.nextInt(40) == 0) {
                scene.learned = new Learned();
            }
            String at = "seed " + seed + " turn " + turn;
            Plan before = scene.plan;
            Optional<Planner.Draft> draft = scene.turn(nature);
            if (draft.isPresent()) {
                assertTrue(Plan.isWhole(draft.get().ways(), draft.get().marks()), at);
                assertEquals(draft, Planner.next(before, scene.sight, scene.geography, scene.limits, scene.now), at);
                targetsAreNotOverrun(scene, scene.told, at);
                fewAreLeft(scene, at);
            }
        }
    }

    @Property(tries = 15)
    void plansHold(@ForAll long seed) {
        play(seed, KNOWN, 1);
        play(seed, Limits.USUAL, 1);
    }

    /** Moves of a zone that fails whenever traffic is back, by the mark that moved most. */
    private static int moves(Scene scene, boolean forgets, int seconds) {
        Map<String, Integer> moves = new HashMap<>(Map.of("", 0));
        for (int turn = 0; turn < seconds; turn++) {
            List<Plan.Mark> before = scene.plan.marks();
            boolean back = before.stream().noneMatch(mark -> mark.zone().equals("a") && mark.open() < Plan.WHOLE);
            scene.turn((from, to, of) -> to.equals("a") && back ? Ends.DEAD : Ends.WELL);
            scene.plan.marks().stream()
                    .filter(mark -> !before.contains(mark))
                    .forEach(mark -> moves.merge(mark.from() + " " + mark.zone(), 1, Integer::sum));
            if (forgets) {
                scene.plan = new Plan(scene.plan.number(), 1, scene.plan.ways());
            }
        }
        return Collections.max(moves.values());
    }

    @Test
    void aFlappingZoneMovesTrafficSoOftenAtMost() {
        Scene scene = new Scene(KNOWN, 4, 40, List.of("book"), List.of(List.of("a", "b", "c")));
        int moves = moves(scene, false, 3_600), most = KNOWN.mostMoves(3_600 * Scene.SECOND);
        System.out.println("a flapping zone: " + moves + " moves an hour, " + most + " at most");
        assertTrue(moves > 10 && moves <= most, () -> moves + " of " + most + " " + scene.plan.marks());
    }

    /** In calm some say what they like; nothing of it is left, and all stays near but for looks. */
    private static void lies(long seed, int liars) {
        Random random = new Random(seed);
        Scene scene = new Scene(KNOWN, 6, 40, List.of("book", "look"), List.of(List.of("a", "b"), List.of("c", "d")));
        int dead = random.nextInt(4), slow = random.nextInt(4);
        scene.way = report -> {
            String process = report.process();
            if (process.charAt(2) - '0' >= liars || liars == 1 && !report.zone().equals("a")) {
                return report;
            }
            List<Report.Seen> seen = new ArrayList<>();
            for (int z = 0; z < 4; z++) {
                long sent = 1 + random.nextInt(100_000);
                seen.add(new Report.Seen(
                        scene.geography.zones().get(z),
                        random.nextBoolean() ? "book" : "look",
                        sent,
                        0,
                        z == dead ? sent : 0,
                        z == slow ? sent : 0,
                        0));
            }
            return new Report(
                    1,
                    report.sequence(),
                    process,
                    report.zone(),
                    report.span(),
                    0,
                    seen,
                    List.of(new Report.Stock(scene.geography.zones().get(dead), 0, 0)),
                    List.of(new Report.Entered("book", random.nextInt(1_000_000))));
        };
        scene.turns(60, CALM);
        assertEquals(List.of(), scene.plan.marks(), () -> "seed " + seed);
        scene.geography.zones().forEach(zone -> assertTrue(scene.part(zone, zone) >= 990, () -> "seed " + seed));
    }

    @Property(tries = 15)
    void oneLiarMovesNothing(@ForAll long seed) {
        lies(seed, 1);
    }

    /** What zones can take where one process of c, the only one there, says that all zones answered it very much. */
    private static Map<String, Double> capacities(int others, boolean lies) {
        Scene scene = new Scene(Limits.USUAL, others, 40, List.of("book"), List.of(List.of("a", "b", "c", "d")));
        scene.way = report -> !report.zone().equals("c")
                ? report
                : !report.process().equals("c-0")
                        ? null
                        : !lies
                                ? report
                                : new Report(
                                        1,
                                        report.sequence(),
                                        "c-0",
                                        "c",
                                        report.span(),
                                        0,
                                        scene.geography.zones().stream()
                                                .map(zone ->
                                                        new Report.Seen(zone, "book", 1_000_000, 1_000_000, 0, 0, 0))
                                                .toList(),
                                        report.stocks(),
                                        report.entered());
        scene.turns(10, CALM);
        return scene.told.capacity();
    }

    @Test
    void aLiarThatIsAloneInItsZoneOpensNoRoom() {
        Map<String, Double> alone = capacities(1, true), so = capacities(1, false);
        so.forEach((zone, can) -> assertTrue(alone.get(zone) <= can * 1.01, () -> "one each: " + alone + " for " + so));
        // Where others tell too, no more than any of them is taken for.
        Map<String, Double> four = capacities(4, true), honest = capacities(4, false);
        honest.forEach(
                (zone, can) -> assertTrue(four.get(zone) <= can * 2.1, () -> "four: " + four + " for " + honest));
    }

    /** Processes that stand still see their own servers fail; how much of their span they did is told, or not. */
    private static void standStill(int told) {
        Scene scene = new Scene(KNOWN, 4, 40, List.of("book"), List.of(List.of("a", "b", "c")));
        scene.way = report -> report.zone().equals("a")
                ? new Report(
                        1,
                        report.sequence(),
                        report.process(),
                        "a",
                        report.span(),
                        told,
                        report.seen(),
                        report.stocks(),
                        report.entered())
                : report;
        scene.turns(20, (from, to, of) -> from.equals("a") && to.equals("a") ? Ends.DEAD : Ends.WELL);
        assertEquals(List.of(), scene.plan.marks());
    }

    @Test
    void whoStandsStillIsNotHeard() {
        standStill(500);
    }

    /** A planner that knows nothing yet, three zones, the middle one dead: its two processes tell, elsewhere one each. */
    private static Scene few(boolean heldOut, int tell) {
        Scene scene = new Scene(Limits.USUAL, 2, 3, List.of("book", "look"), List.of(List.of("a", "b"), List.of("c")));
        scene.warm.replaceAll((zone, warm) -> 2_000L);
        scene.way = report -> {
            boolean first = report.process().endsWith("-0"),
                    told = report.zone().equals("b") && (first || tell > 1);
            if (!report.zone().equals("b")) {
                return first ? report : null;
            }
            // Who holds all servers out sends nothing there, or nothing that tells.
            List<Report.Seen> seen = told && heldOut
                    ? report.seen().stream()
                            .filter(each -> !each.zone().equals("b"))
                            .toList()
                    : told
                            ? report.seen()
                            : report.seen().stream()
                                    .map(each ->
                                            new Report.Seen(each.zone(), each.of(), each.sent(), each.sent(), 0, 0, 0))
                                    .toList();
            List<Report.Stock> stocks = report.stocks().stream()
                    .map(each -> new Report.Stock(
                            each.zone(),
                            each.ready(),
                            each.warm(),
                            told && heldOut && each.zone().equals("b") ? each.ready() : 0))
                    .toList();
            return new Report(
                    1, report.sequence(), report.process(), "b", report.span(), 0, seen, stocks, report.entered());
        };
        // It is left before it is looked at again, after ten seconds and more.
        for (int turn = 0; turn < 30 && scene.part("b", "b") > 50; turn++) {
            scene.turn((from, to, of) -> to.equals("b") ? Ends.DEAD : Ends.WELL);
        }
        return scene;
    }

    @Test
    void aDeadZoneIsLeftThoughElsewhereOneProcessEachTells() {
        for (boolean heldOut : new boolean[] {false, true}) {
            Scene scene = few(heldOut, 2);
            assertTrue(
                    scene.part("b", "b") <= 50 && scene.part("a", "a") >= 900 && scene.part("c", "c") >= 900,
                    () -> "held out: " + heldOut + " " + scene.plan);
            assertEquals(List.of(), few(heldOut, 1).plan.marks(), "one that says so");
        }
    }

    /** What comes back after a fault, however often the planner changed meanwhile. */
    private static void comesBack(boolean marksAreKept) {
        Scene scene = new Scene(KNOWN, 6, 40, List.of("book"), List.of(List.of("a", "b"), List.of("c")));
        scene.turns(5, CALM);
        int opens = 0;
        for (int turn = 0; turn < 60; turn++) {
            scene.learned = new Learned();
            if (!marksAreKept) {
                scene.plan = new Plan(scene.plan.number(), 1, scene.plan.ways());
            }
            boolean dead = turn < 10;
            int before = scene.part("a", "a");
            scene.turn((from, to, of) -> dead && to.equals("a") ? Ends.DEAD : Ends.WELL);
            opens += scene.part("a", "a") > before + 30 ? 1 : 0;
        }
        assertTrue(scene.part("a", "a") >= 990 && opens >= 4, () -> scene.plan.toString());
    }

    @Test
    void aNewPlannerEachSecondGoesOnFromTheMarks() {
        comesBack(true);
    }

    private static void classAlone(List<String> classes) {
        Scene scene = new Scene(KNOWN, 6, 80, classes, List.of(List.of("a", "b", "c")));
        boolean told = classes.size() > 1;
        scene.turns(
                15,
                (from, to, of) -> !to.equals("a")
                        ? Ends.WELL
                        : told ? of.equals("book") ? Ends.DEAD : Ends.WELL : new Ends(500, 0));
        assertTrue(scene.part("a", "a") >= 980, () -> scene.plan.toString());
    }

    @Test
    void aClassIsLeftAlone() {
        classAlone(List.of("book", "look"));
    }

    /** Each fault put in on purpose is found by what holds without it. */
    @Test
    void faultsArePutInAndFound() {
        Limits u = KNOWN;
        Limits all = new Limits(
                u.dead(),
                u.bad(),
                u.well(),
                u.slow(),
                Plan.WHOLE,
                u.reserve(),
                u.growth(),
                u.perServer(),
                u.hold(),
                u.doublings(),
                u.step(),
                u.look(),
                u.looks(),
                u.least());
        Limits steady = new Limits(
                u.dead(),
                u.bad(),
                u.well(),
                u.slow(),
                u.left(),
                u.reserve(),
                u.growth(),
                u.perServer(),
                u.hold(),
                0,
                u.step(),
                u.look(),
                u.looks(),
                u.least());
        found("more is sent than targets can take", () -> plays(KNOWN, 2));
        found("all may be left at once", () -> plays(all, 1));
        found("marks are not handed on: a flapping zone", () -> flaps(KNOWN, true));
        found("marks are not handed on: the way back", () -> comesBack(false));
        found("relapses are not held back longer", () -> flaps(steady, false));
        found("half of each zone's processes lie", () -> lies(1, 4));
        found("who stood still is heard", () -> standStill(0));
        found("classes are not told apart", () -> classAlone(List.of("any")));
    }

    private static void plays(Limits limits, double capacity) {
        for (long seed = 1; seed <= 3; seed++) {
            play(seed, limits, capacity);
        }
    }

    private static void flaps(Limits limits, boolean forgets) {
        Scene scene = new Scene(limits, 4, 40, List.of("book"), List.of(List.of("a", "b", "c")));
        assertTrue(moves(scene, forgets, 900) <= KNOWN.mostMoves(900 * Scene.SECOND));
    }

    private static void found(String fault, Executable property) {
        AssertionError error = assertThrows(AssertionError.class, property, fault);
        System.out.println("found: " + fault + ": "
                + error.getMessage().lines().findFirst().orElse("").replaceAll("^(.{60}).*", "$1"));
    }
}
