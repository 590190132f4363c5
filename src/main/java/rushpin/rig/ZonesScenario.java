package rushpin.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import rushpin.judge.AccordEvent.Agreed;
import rushpin.judge.Accords;
import rushpin.judge.Judge;
import rushpin.judge.Zones;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;
import rushpin.rig.ZoneSide.Seen;

/**
 * Two regions of three zones with app servers and edge nodes in each, and faults of zones, of links and of the planner;
 * played at once, from one seed, for edge nodes that go by a common plan and for such that decide alone. Judged is the order
 * of events; shares and seconds are figures.
 */
final class ZonesScenario implements Scenario {
    private static final long CALM_MS = 10_000,
            CALM_SHORT_MS = 2_000,
            FAULT_MS = 10_000,
            FAULT_SHORT_MS = 3_000,
            AFTER_MS = 60_000,
            AFTER_SHORT_MS = 2_000,
            FLAP_MS = 3_000;
    private static final int SEEDS = 3, FLAPS = 4, PROCESSES = 6;
    /** Thousandths: a zone that is left gets no more of what enters there than looks, one that stands gets most of it. */
    private static final int LEFT = 50, STANDS = 900;

    private static final double SLOW = 20, FLOOD = 3;
    private static final List<String> ZONES = TogetherFleet.ZONES;

    /** What is done to one side, at its beginning or its end. */
    private interface Step {
        void on(ZoneSide side) throws Exception;
    }

    /**
     * A fault with its end.
     *
     * @param left what a plan that has to come meanwhile says; null if none has to
     * @param stands what each plan says that comes meanwhile
     */
    private record Fault(String what, Step begin, Step end, Predicate<Agreed> left, Predicate<Agreed> stands) {
        Fault(String what, Step begin, Step end) {
            this(what, begin, end, null, plan -> true);
        }

        Fault leaves(Predicate<Agreed> by) {
            return new Fault(what, begin, end, by, stands);
        }

        Fault keeps(Predicate<Agreed> by) {
            return new Fault(what, begin, end, left, by);
        }
    }

    /** A fault as it was played; {@code planned} is when all went by a plan for it, 0 for not. */
    private record Played(Fault fault, long from, long ended, long until, long planned) {}

    /** Nothing of a class that enters in a zone goes to its servers but looks; empty for all classes. */
    private static Predicate<Agreed> left(String zone, String className) {
        return plan -> ZoneSide.part(plan, zone, className, zone) <= LEFT;
    }

    /** Most of it stays there. */
    private static Predicate<Agreed> stands(String zone) {
        return plan -> ZoneSide.part(plan, zone, "", zone) >= STANDS;
    }

    @Override
    public String name() {
        return "zones";
    }

    @Override
    public String line() {
        return "three zones in two regions, six edge nodes a side: zones die, slow down, fail a class, are cut off";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        report.row(
                "seed",
                "fault",
                "way",
                "asked",
                "served %",
                "near %",
                "cold pushed over",
                "plan at all after s",
                "moves");
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (int i = 0; i < (options.isShort() ? 1 : SEEDS); i++) {
                new Play(report, options.seed() + i, options.isShort(), threads).run();
            }
        } finally {
            threads.shutdownNow();
        }
        return report;
    }

    /** One seed. */
    private static final class Play {
        private final Report report;
        private final long seed;
        private final boolean isShort;
        private final ExecutorService threads;
        private final List<ZoneSide> sides = new ArrayList<>();
        private final List<Played> played = new ArrayList<>();

        Play(Report report, long seed, boolean isShort, ExecutorService threads) {
            this.report = report;
            this.seed = seed;
            this.isShort = isShort;
            this.threads = threads;
        }

        void run() throws Exception {
            try {
                sides.add(new ZoneSide("common plan", true, PROCESSES, seed));
                sides.add(new ZoneSide("alone", false, PROCESSES, seed));
                all(ZoneSide::begin);
                script();
                all(ZoneSide::end);
                for (Played one : played) {
                    sides.forEach(side -> tell(one, side));
                }
                sides.forEach(this::judge);
            } finally {
                for (ZoneSide side : sides) {
                    side.close();
                }
            }
        }

        /** On all sides at once. */
        private void all(Step step) throws Exception {
            List<Future<?>> running = new ArrayList<>();
            for (ZoneSide side : sides) {
                running.add(threads.submit(() -> {
                    step.on(side);
                    return null;
                }));
            }
            for (Future<?> one : running) {
                one.get();
            }
        }

        private void script() throws Exception {
            fault(new Fault("calm", side -> {}, side -> {}));
            List<String> zones = new ArrayList<>(ZONES);
            Collections.shuffle(zones, new Random(seed));
            String one = zones.get(0), two = zones.get(1), three = zones.get(2);
            List<Fault> faults = new ArrayList<>(List.of(
                    // What one tells of its own zone has as many attempts behind it as what the other there tells.
                    new Fault(
                                    "one edge of " + two + " reports failures of " + two + " and " + three,
                                    side -> lies(side, two, three, Way.RESET),
                                    side -> lies(side, two, three, Way.THROUGH))
                            .keeps(stands(one).and(stands(two)).and(stands(three))),
                    new Fault(
                                    "zone " + one + " dies, comes back cold",
                                    side -> side.dies(one),
                                    side -> side.returns(one, true))
                            .leaves(left(one, ""))
                            .keeps(stands(two).and(stands(three)))));
            if (!isShort) {
                faults.addAll(List.of(
                        new Fault(
                                        "servers of " + two + " slow",
                                        side -> side.slower(two, SLOW),
                                        side -> side.slower(two, 1))
                                .leaves(stands(two).negate())
                                .keeps(stands(one).and(stands(three))),
                        new Fault(
                                        "servers of " + three + " fail orders",
                                        side -> side.fails(three, "order"),
                                        side -> side.fails(three, null))
                                .leaves(left(three, "yard.order").and(stands(three))),
                        new Fault(
                                        "zone " + two + " cut off from zone " + three,
                                        side -> cut(side, two, three, Way.SILENT),
                                        side -> cut(side, two, three, Way.THROUGH))
                                .keeps(stands(one).and(stands(two)).and(stands(three))),
                        new Fault(
                                        "edges of " + two + " cut off from its servers",
                                        side -> cut(side, two, two, Way.SILENT),
                                        side -> cut(side, two, two, Way.THROUGH))
                                .leaves(left(two, ""))
                                .keeps(stands(one).and(stands(three))),
                        new Fault(
                                        "edges of " + three + " sick",
                                        side -> sick(side, three, Way.delay(300, 900)),
                                        side -> sick(side, three, Way.THROUGH))
                                .keeps(stands(one).and(stands(two))),
                        planner("killed", two, Member::kill, Member::start),
                        stopped(three),
                        planner("cut off", two, null, null),
                        new Fault("too little everywhere", side -> side.load(FLOOD), side -> side.load(1)),
                        new Fault("zone " + three + " flaps", side -> flaps(side, three), side -> {})));
                Collections.shuffle(faults.subList(1, faults.size() - 1), new Random(seed));
            }
            for (Fault fault : faults) {
                fault(fault);
            }
        }

        private static void cut(ZoneSide side, String from, String to, Way way) throws Exception {
            for (Member member : side.in(from)) {
                side.way(member, to, way);
            }
        }

        private static void lies(ZoneSide side, String from, String to, Way way) throws Exception {
            Member liar = side.in(from).get(0);
            side.way(liar, from, way);
            side.way(liar, to, way);
        }

        private static void sick(ZoneSide side, String zone, Way way) throws Exception {
            for (String to : ZONES) {
                cut(side, zone, to, way);
            }
        }

        private static void flaps(ZoneSide side, String zone) throws Exception {
            for (int i = 0; i < FLAPS; i++) {
                side.dies(zone);
                Thread.sleep(FLAP_MS);
                side.returns(zone, false);
                Thread.sleep(FLAP_MS);
            }
        }

        /** A zone dies, and while traffic moves the planner is away; both are back at the end. */
        private Fault planner(String how, String zone, TogetherFleet.Step begin, TogetherFleet.Step end) {
            CompletableFuture<Member> of = new CompletableFuture<>();
            return new Fault(
                            "zone " + zone + " dies, planner " + how,
                            side -> {
                                Member planner = side.planner();
                                side.dies(zone);
                                Thread.sleep(1_000);
                                if (begin == null) {
                                    side.fleet.apart(planner, Way.SILENT);
                                } else {
                                    side.away(planner, true);
                                    begin.on(planner);
                                }
                                if (side.agrees()) {
                                    of.complete(planner);
                                }
                            },
                            side -> {
                                Member planner = side.agrees() ? of.get() : side.planner();
                                if (end == null) {
                                    side.fleet.links.heal();
                                } else {
                                    end.on(planner);
                                    side.away(planner, false);
                                }
                                side.returns(zone, false);
                            })
                    .leaves(left(zone, ""));
        }

        private Fault stopped(String zone) {
            Map<Member, Long> since = new ConcurrentHashMap<>();
            return planner(
                    "stopped",
                    zone,
                    member -> since.put(member, member.stop()),
                    member -> member.wake(since.get(member)));
        }

        /** Plays a fault on all sides and says what was seen from its beginning until a while after its end. */
        private void fault(Fault fault) throws Exception {
            boolean calm = fault.what.equals("calm");
            long from = System.nanoTime();
            long[] planned = new long[1];
            all(fault.begin::on);
            Thread.sleep(calm ? isShort ? CALM_SHORT_MS : CALM_MS : isShort ? FAULT_SHORT_MS : FAULT_MS);
            if (fault.left != null) {
                all(side -> planned[0] = side.agrees()
                        ? awaited(fault, () -> side.await("a plan for it", from, fault.left))
                        : planned[0]);
            }
            all(fault.end::on);
            long ended = System.nanoTime();
            Thread.sleep(calm ? 0 : isShort ? AFTER_SHORT_MS : AFTER_MS);
            long until = System.nanoTime();
            played.add(new Played(fault, from, ended, until, planned[0]));
            if (!isShort && !calm) {
                all(side -> {
                    if (side.agrees()) {
                        awaited(
                                fault,
                                () -> side.awaitNow(
                                        "all near again",
                                        ZONES.stream()
                                                .map(ZonesScenario::stands)
                                                .reduce(any -> true, Predicate::and)));
                    }
                });
            }
        }

        /** After the end: answers came until then. */
        private void tell(Played one, ZoneSide side) {
            Seen seen = side.seen(one.from, one.until);
            String after = side.agrees() && one.planned > 0
                    ? String.format(Locale.ROOT, "%.1f", (one.planned - one.from) / 1e9)
                    : "-";
            report.row(
                    seed,
                    one.fault.what,
                    side.name,
                    seen.asked(),
                    percent(seen.served(), seen.asked()),
                    percent(seen.near(), seen.first()),
                    seen.pushed(),
                    after,
                    side.agrees() ? seen.moves() : "-");
            if (side.agrees()) {
                List<Agreed> others = side.agreed().stream()
                        .filter(plan -> plan.at() > one.from && plan.at() < one.ended && !one.fault.stands.test(plan))
                        .toList();
                report.claim(
                        "seed " + seed + ", " + one.fault.what + ": no plan leaves what is well"
                                + (others.isEmpty() ? "" : ": " + others.get(0)),
                        others.isEmpty());
            }
        }

        /** What does not come is a claim that fails, and the play goes on. */
        private long awaited(Fault fault, Callable<Long> wait) throws Exception {
            try {
                return wait.call();
            } catch (TimeoutException e) {
                report.claim("seed " + seed + ", " + fault.what + ": " + e.getMessage(), false);
                return 0;
            }
        }

        private static String percent(int part, int of) {
            return of == 0 ? "-" : String.format(Locale.ROOT, "%.1f", 100.0 * part / of);
        }

        private void judge(ZoneSide side) {
            if (!side.agrees()) {
                // Whether they push over cold servers is a figure; the rest they have to keep as all others.
                report.add(side.rules().stream()
                        .filter(breach -> breach.rule() != Judge.Rule.COLD_NOT_PUSHED_OVER)
                        .toList());
                return;
            }
            report.claims("seed " + seed + ": ", Zones.Rule.values(), side.judged());
            report.claims("seed " + seed + ": ", Accords.Rule.values(), side.accords());
            report.add(side.rules());
        }
    }
}
