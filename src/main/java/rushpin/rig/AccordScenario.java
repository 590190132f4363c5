package rushpin.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import rushpin.judge.AccordEvent;
import rushpin.judge.Accords;
import rushpin.judge.Judge;
import rushpin.judge.Records;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;
import rushpin.rig.TogetherFleet.Shape;
import rushpin.rig.TogetherFleet.Step;

/**
 * Five processes of which three vote, under light load, with faults of processes and of the links between them. After
 * each, the others must have a leader, a planner and its plan, and after its end all must; what they said on the way is
 * judged, and so is what clients and app servers saw.
 */
final class AccordScenario implements Scenario {
    private static final int CUSTOMERS = 20;
    private static final double RATE = 25;
    private static final String PLANNER = "planner", NOTHING = "-";
    private static final long LEASE_MS = 3_000;
    private static final long DRAWN_MS = 20_000, DRAWN_SHORT_MS = 4_000;

    @Override
    public String name() {
        return "accord";
    }

    @Override
    public String line() {
        return "five processes, three of them voters: leader killed, voters stopped, cut off, blank, no quorum, under load";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        report.row(
                "fault",
                "at",
                "leader after s",
                "planner after s",
                "plan at all others after s",
                "all well after s",
                "tries",
                "not served");
        List<RigConfig.Plan> plans = List.of(new RigConfig.Plan("bulk", 1_000, 2_000, 0, 0, 0));
        Shape shape = new Shape(5, 3, LEASE_MS, 1_000);
        AppServer.Work work = new AppServer.Work(4, 16, 5_000, 15_000, RigConfig.KEY_WINDOW_MS * 1_000_000);
        try (Yard yard = new Yard()) {
            for (String pool : TogetherFleet.POOLS) {
                yard.pool(pool, TogetherFleet.ZONES, 1, work, options.seed() * 31 + pool.hashCode());
            }
            try (TogetherFleet fleet = new TogetherFleet(yard, shape, plans, options.seed())) {
                Play play = new Play(options, report, yard, fleet);
                boolean whole = play.run();
                report.claims(
                        "",
                        Accords.Rule.values(),
                        fleet.accords.judge(
                                shape.bounds(),
                                whole ? fleet.members.stream().map(Member::run).toList() : List.of(),
                                fleet.seen()));
            }
            yard.end();
            report.add(Judge.judge(yard.records, RigConfig.rules(plans)));
        }
        return report;
    }

    /** One play of the script. */
    private static final class Play {
        private final Options options;
        private final Report report;
        private final Yard yard;
        private final TogetherFleet fleet;
        private final List<Member> all;
        private final SplittableRandom random;
        private final List<Load> loads = new ArrayList<>();
        private String doing = "";

        Play(Options options, Report report, Yard yard, TogetherFleet fleet) {
            this.options = options;
            this.report = report;
            this.yard = yard;
            this.fleet = fleet;
            all = fleet.members;
            random = new SplittableRandom(options.seed());
        }

        /** Plays all; false if something that has to come did not, which is then a claim that fails. */
        boolean run() throws Exception {
            try {
                begin();
                if (options.isShort()) {
                    leaderKilled();
                    plannerStopped();
                    plannerCutOff();
                    serversCutOff();
                    drawn(DRAWN_SHORT_MS);
                } else {
                    Path old = leaderKilled();
                    List<Step> rest = new ArrayList<>(List.of(
                            any -> plannerStopped(),
                            any -> leaderMute(),
                            any -> leaderDeaf(),
                            any -> leaderCutOff(),
                            any -> plannerCutOff(),
                            any -> blankVoter(),
                            any -> oldFolder(old),
                            any -> leaderStopped(),
                            any -> leaderFull(),
                            any -> leaderLaden(),
                            any -> serversCutOff()));
                    Collections.shuffle(rest, new Random(options.seed()));
                    for (Step step : rest) {
                        step.on(null);
                    }
                    noQuorum();
                    drawn(DRAWN_MS);
                }
                end();
                doing = "end";
                fleet.await("all well", () -> fleet.isWell(PLANNER));
                return true;
            } catch (TimeoutException e) {
                report.claim(doing + ": " + e.getMessage(), false);
                tell();
                end();
                return false;
            }
        }

        /** What the processes said last, for whoever looks for the cause. */
        private void tell() {
            for (Member member : all) {
                List<String> lines = member.said();
                lines.subList(Math.max(0, lines.size() - 15), lines.size())
                        .forEach(line -> System.out.println(member + (member.isAlive() ? ": " : ", ended: ") + line));
            }
        }

        private void begin() throws Exception {
            doing = "start";
            long at = System.nanoTime();
            fleet.all(all, Member::start);
            fleet.await("all have sessions and the planner's plan", () -> fleet.isWell(PLANNER));
            for (String pool : TogetherFleet.POOLS) {
                Load load = new Load(
                        yard.loop(),
                        new Load.Group(
                                pool, pool + ".example.org", "/api?slot=1", 0.35, CUSTOMERS, "bulk", 4_000, 60, true),
                        fleet.front(),
                        yard.records,
                        options.seed() + loads.size() + 1);
                load.rate(RATE);
                loads.add(load);
            }
            row("start", "all", List.of(), at, 0);
        }

        private void end() throws Exception {
            for (Load load : loads) {
                load.rate(0);
            }
            for (Load load : loads) {
                load.settle();
            }
        }

        /** A voter that neither leads nor plans, or at least does not lead; drawn. */
        private Member follower() {
            Member leader = fleet.leader(), planner = fleet.holder(PLANNER);
            List<Member> some = all.stream()
                    .filter(member -> member.votes && member != leader && member != planner)
                    .toList();
            return some.isEmpty()
                    ? all.stream()
                            .filter(member -> member.votes && member != leader)
                            .findFirst()
                            .orElseThrow()
                    : some.get(random.nextInt(some.size()));
        }

        private List<Member> others(List<Member> than) {
            return all.stream().filter(member -> !than.contains(member)).toList();
        }

        private static long fence(AccordEvent.Holds holds) {
            return holds == null ? 0 : holds.fence();
        }

        /**
         * A fault at one process, from which on the others must do without it: they have a leader, a planner of a later
         * fence if it was the planner, and that one's plan; then its end, after which all are well.
         */
        private void fault(String what, Member at, Step begin, Step end) throws Exception {
            doing = what;
            List<Member> rest = others(List.of(at));
            long before = fence(fleet.holds(at, PLANNER)), from = System.nanoTime();
            begin.on(at);
            fleet.await("a leader among the others", () -> rest.contains(fleet.leader()));
            fleet.await(
                    "a planner among the others",
                    () -> rest.stream().anyMatch(member -> fence(fleet.holds(member, PLANNER)) > before));
            fleet.await("its plan in all pools of the others", () -> {
                long fence = rest.stream()
                        .mapToLong(member -> fence(fleet.holds(member, PLANNER)))
                        .max()
                        .orElse(0);
                return fence > before && fleet.go(rest, plan -> plan.fence() >= fence);
            });
            end.on(at);
            fleet.await("all well", () -> fleet.isWell(PLANNER));
            row(what, at.name, rest, from, before);
        }

        /** @param before the fence that the process at fault held the planner's part under; 0 if it did not */
        private void row(String what, String at, List<Member> rest, long from, long before) throws Exception {
            long now = System.nanoTime();
            fleet.look();
            LongStream leads = rest.stream()
                    .flatMap(member -> fleet.said(member.run(), AccordEvent.Leads.class).stream())
                    .mapToLong(AccordEvent.Leads::at);
            List<AccordEvent.Holds> holds = before == 0
                    ? List.of()
                    : rest.stream()
                            .flatMap(member -> fleet.said(member.run(), AccordEvent.Holds.class).stream())
                            .filter(one -> one.resource().equals(PLANNER) && one.fence() > before)
                            .toList();
            long fence =
                    holds.stream().mapToLong(AccordEvent.Holds::fence).min().orElse(Long.MAX_VALUE);
            // The last pool's first plan of that fence or a later one.
            long plan = before == 0
                    ? 0
                    : rest.stream()
                            .flatMap(member -> TogetherFleet.POOLS.stream()
                                    .map(pool -> fleet.said(member.run(), AccordEvent.Planned.class).stream()
                                            .filter(one -> one.pool().equals(pool) && one.fence() >= fence)
                                            .mapToLong(AccordEvent.Planned::at)
                                            .min()
                                            .orElse(0)))
                            .max(Long::compare)
                            .orElse(0L);
            Load.Stretch seen = new Load.Stretch();
            for (Load load : loads) {
                seen.add(load.turn());
            }
            int tries = seen.ok + seen.turnedAway + seen.failed + seen.none;
            report.row(
                    what,
                    at,
                    seconds(from, leads.filter(one -> one > from).min().orElse(0)),
                    seconds(
                            from,
                            holds.stream()
                                    .mapToLong(AccordEvent.Holds::at)
                                    .min()
                                    .orElse(0)),
                    seconds(from, plan),
                    seconds(from, now),
                    tries,
                    tries - seen.ok);
        }

        private static String seconds(long from, long until) {
            return until <= from ? NOTHING : String.format(Locale.ROOT, "%.1f", (until - from) / 1e9);
        }

        /** Killed, and back with its old folder: as the voter that it was. The folder as it was then. */
        private Path leaderKilled() throws Exception {
            Path[] copy = new Path[1];
            Member leader = leader();
            String id = id(leader);
            fault("leader killed", leader, Member::kill, member -> {
                copy[0] = member.copy("copy-" + member);
                member.start();
                fleet.await(member + " votes again", () -> id(member) != null);
            });
            report.claim(
                    "a voter that is back with its folder is who it was",
                    id(leader).equals(id)
                            && fleet.said(leader.run(), AccordEvent.Voter.class).stream()
                                    .noneMatch(AccordEvent.Voter::blank));
            return copy[0];
        }

        private Member leader() throws Exception {
            return fleet.await("a leader", fleet::leader);
        }

        private Member planner() throws Exception {
            return fleet.await("a planner", () -> fleet.holder(PLANNER));
        }

        /** By the last word of its run; null for none. */
        private String id(Member voter) {
            return fleet.said(voter.run(), AccordEvent.Voter.class).stream()
                    .map(AccordEvent.Voter::id)
                    .reduce((first, second) -> second)
                    .orElse(null);
        }

        /** Until another one plans, which is longer than its lease and the fleet's wait; then it wakes up. */
        private void plannerStopped() throws Exception {
            long[] from = new long[1];
            fault("planner stopped", planner(), member -> from[0] = member.stop(), member -> member.wake(from[0]));
        }

        /** Longer than a lease, whether or not it holds anything. */
        private void leaderStopped() throws Exception {
            long[] from = new long[1];
            fault(
                    "leader stopped",
                    leader(),
                    member -> {
                        from[0] = member.stop();
                        TimeUnit.MILLISECONDS.sleep(2 * LEASE_MS);
                    },
                    member -> member.wake(from[0]));
        }

        /** It can store nothing, says so and steps back; with room again it is the voter that it was. */
        private void leaderFull() throws Exception {
            Member leader = leader();
            String id = id(leader);
            int voters = fleet.said(leader.run(), AccordEvent.Voter.class).size();
            int back = fleet.said(leader.run(), AccordEvent.StepsBack.class).size();
            fault(
                    "leader's disk full",
                    leader,
                    member -> {
                        member.full();
                        fleet.await(
                                member + " steps back",
                                () -> fleet.said(member.run(), AccordEvent.StepsBack.class)
                                                .size()
                                        > back);
                    },
                    member -> {
                        member.room();
                        fleet.await(
                                member + " votes again",
                                () -> fleet.said(member.run(), AccordEvent.Voter.class)
                                                .size()
                                        > voters);
                    });
            report.claim("a voter whose disk was full is who it was", id(leader).equals(id));
        }

        /** Its heap is nearly full for two leases: it may be slow, lose what it holds, or end. Then there is room again, by a new start at worst. */
        private void leaderLaden() throws Exception {
            doing = "leader's heap nearly full";
            Member leader = leader();
            long before = fence(fleet.holds(leader, PLANNER)), from = System.nanoTime();
            leader.laden();
            TimeUnit.MILLISECONDS.sleep(2 * LEASE_MS);
            boolean ended = !leader.isAlive();
            leader.unladen();
            fleet.await("all well", () -> fleet.isWell(PLANNER));
            row(doing + (ended ? ", ended" : ""), leader.name, others(List.of(leader)), from, before);
        }

        private void plannerCutOff() throws Exception {
            fault(
                    "planner cut off",
                    planner(),
                    member -> fleet.apart(member, Way.SILENT),
                    member -> fleet.links.heal());
        }

        private void leaderCutOff() throws Exception {
            fault("leader cut off", leader(), member -> fleet.apart(member, Way.SILENT), member -> fleet.links.heal());
        }

        private void leaderMute() throws Exception {
            fault(
                    "leader not heard",
                    leader(),
                    member -> {
                        for (Member other : others(List.of(member))) {
                            fleet.links.cutOneWay(member.name, other.name);
                        }
                    },
                    member -> fleet.links.heal());
        }

        private void leaderDeaf() throws Exception {
            fault(
                    "leader hears nothing",
                    leader(),
                    member -> {
                        for (Member other : others(List.of(member))) {
                            fleet.links.cutOneWay(other.name, member.name);
                        }
                    },
                    member -> fleet.links.heal());
        }

        /** Back without its folder it is a new voter, and its vote counts: it and the leader alone give sessions. */
        private void blankVoter() throws Exception {
            Member voter = follower();
            String id = id(voter);
            fault("voter's folder blank", voter, Member::kill, member -> {
                member.blank();
                member.start();
                fleet.await(
                        member + "'s vote counts",
                        () -> !fleet.said(member.run(), AccordEvent.Counts.class)
                                .isEmpty());
            });
            report.claim("a voter with a blank folder is a new one", !id(voter).equals(id));
            Member leader = leader();
            Member third = all.stream()
                    .filter(member -> member.votes && member != voter && member != leader)
                    .findFirst()
                    .orElseThrow();
            Member plain = all.get(all.size() - 1);
            fault(
                    "the new one's vote needed",
                    third,
                    member -> {
                        member.kill();
                        plain.kill();
                        plain.start();
                        fleet.await(plain + " has a session", () -> fleet.isConnected(plain));
                    },
                    Member::start);
        }

        private void oldFolder(Path copy) throws Exception {
            Member voter = all.stream()
                    .filter(member -> copy.endsWith("copy-" + member))
                    .findFirst()
                    .orElseThrow();
            String id = id(voter);
            fault("voter's folder an old one", voter, Member::kill, member -> {
                member.restore(copy);
                member.start();
                fleet.await(
                        member + " is a new voter that counts",
                        () -> id(member) != null
                                && !id(member).equals(id)
                                && fleet.said(member.run(), AccordEvent.Counts.class).stream()
                                        .anyMatch(each -> each.id().equals(id(member))));
            });
        }

        /** All voters but one are dead: nothing is decided, all goes on by the last plan; then they are back. */
        private void noQuorum() throws Exception {
            doing = "no quorum";
            Member left = follower();
            List<Member>
                    dead =
                            all.stream()
                                    .filter(member -> member.votes && member != left)
                                    .toList(),
                    rest = others(dead);
            long from = System.nanoTime();
            fleet.all(dead, Member::kill);
            fleet.await("the others' sessions end", () -> rest.stream().noneMatch(fleet::isConnected));
            long plan = fleet.newest();
            for (Load load : loads) {
                load.turn();
            }
            TimeUnit.SECONDS.sleep(5);
            int served = 0, sent = 0;
            for (Load load : loads) {
                Load.Stretch seen = load.turn();
                load.settleStretch(seen);
                served += seen.ok;
                sent += seen.sent;
            }
            fleet.look();
            report.claim("without a quorum " + served + " of " + sent + " are served", served > 0.9 * sent);
            // Who heard last of a voter that is dead may lack what it said last; nothing newer is decided.
            report.claim(
                    "without a quorum a plan stays in force, " + plan + " the last",
                    fleet.newest() == plan && fleet.go(rest, one -> one.number() <= plan));
            fleet.all(dead, Member::start);
            fleet.await("all well", () -> fleet.isWell(PLANNER));
            row("no quorum", dead.stream().map(Member::toString).collect(Collectors.joining("+")), List.of(), from, 0);
        }

        /** No process reaches a zone's servers: they are served by the others, and go there again when they can. */
        private void serversCutOff() throws Exception {
            doing = "servers of a zone cut off";
            String zone = TogetherFleet.ZONES.get(random.nextInt(TogetherFleet.ZONES.size()));
            long from = System.nanoTime();
            fleet.links.around(Yard.zone(zone), Way.SILENT);
            long cut = System.nanoTime();
            for (String pool : TogetherFleet.POOLS) {
                fleet.await(
                        "requests of pool " + pool + " at the other zones",
                        () -> attempts(pool, zone, false, cut) >= 20);
            }
            long healed = System.nanoTime();
            fleet.links.heal();
            for (String pool : TogetherFleet.POOLS) {
                fleet.await("requests of pool " + pool + " there again", () -> attempts(pool, zone, true, healed) >= 5);
            }
            fleet.await("all well", () -> fleet.isWell(PLANNER));
            row(doing, zone, List.of(), from, 0);
        }

        private boolean in(Records.Attempt attempt, String zone) {
            return yard.servers(attempt.pool()).stream()
                    .anyMatch(server -> server.id.equals(attempt.server()) && server.zone.equals(zone));
        }

        /** Requests that came to a pool's servers in a zone, or to those outside of it, after a moment. */
        private long attempts(String pool, String zone, boolean inside, long after) {
            return yard.records.attempts().stream()
                    .filter(one -> one.pool().equals(pool) && one.first() > after && in(one, zone) == inside)
                    .count();
        }

        /** Faults of all links at drawn moments, over one another. */
        private void drawn(long forMs) throws Exception {
            doing = "drawn faults of links";
            long from = System.nanoTime();
            fleet.links
                    .play(LinkFaults.drawn(
                            options.seed(),
                            forMs,
                            fleet.links.all(),
                            List.of(
                                    Way.SILENT,
                                    Way.REFUSE,
                                    Way.RESET,
                                    Way.delay(20, 400),
                                    Way.trickle(4_000),
                                    Way.FORTH,
                                    Way.BACK)))
                    .get(10 * DRAWN_MS, TimeUnit.MILLISECONDS);
            fleet.await("all well", () -> fleet.isWell(PLANNER));
            row(doing, "links", List.of(), from, 0);
        }
    }
}
