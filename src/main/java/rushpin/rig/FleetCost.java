package rushpin.rig;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import rushpin.judge.AccordEvent;
import rushpin.rig.CostScenario.Candidate;
import rushpin.rig.TogetherFleet.Member;

/**
 * What it costs a process to decide in common, in a calm fleet that grows: CPU a request beside a process without
 * {@code [fleet]}, loaded in turn; and for voters and the others heap, threads, CPU and bytes a second, start to ready.
 */
final class FleetCost {
    private static final List<Integer> SIZES = List.of(5, 20, 60);
    private static final int STEP = 5, LOOKED_AT = 3, STARTS = 3;
    private static final double RATE = 300;
    private static final String PLANNER = "planner";

    private final Scenario.Options options;
    private final Report report;

    FleetCost(Scenario.Options options, Report report) {
        this.options = options;
        this.report = report;
    }

    void play() throws Exception {
        report.row(
                "size",
                "process",
                "CPU us a request, median",
                "quartiles",
                "to one without [fleet], median",
                "quartiles",
                "CPU ms/s idle",
                "bytes/s",
                "heap MiB",
                "resident MiB",
                "threads",
                "ready ms, median",
                "plan ms, median");
        List<RigConfig.Plan> plans = List.of(CostScenario.PLAN);
        TogetherFleet.Shape shape = new TogetherFleet.Shape(options.size(), 3, 5_000, 1_000);
        try (Yard yard = new Yard()) {
            for (String pool : TogetherFleet.POOLS) {
                yard.pool(pool, TogetherFleet.ZONES, 2, CostScenario.WORK, options.seed() * 31 + pool.hashCode());
            }
            try (TogetherFleet fleet = new TogetherFleet(yard, shape, plans, options.seed())) {
                String json = "off-%s.json";
                for (String pool : TogetherFleet.POOLS) {
                    yard.write(
                            String.format(json, pool),
                            RigConfig.json(
                                    "off",
                                    "127.0.0.1:0",
                                    0,
                                    512,
                                    shape.processes(),
                                    yard.through(fleet.links, "off", pool),
                                    yard.counter,
                                    plans,
                                    TogetherFleet.ZONES,
                                    TogetherFleet.ZONES.get(0)));
                }
                Path config = yard.folder.resolve(String.format(json, TogetherFleet.POOLS.get(0)));
                grow(yard, fleet, config, yard.write("off.toml", TogetherFleet.pools(json, TogetherFleet.POOLS)));
            }
        }
    }

    private void grow(Yard yard, TogetherFleet fleet, Path config, Path operator) throws Exception {
        List<Double> ready = new ArrayList<>();
        NodeProcess off = null;
        try {
            for (int i = 0; i < STARTS; i++) {
                if (off != null) {
                    off.kill();
                }
                off = NodeProcess.serve(yard.folder, config, operator);
                ready.add(off.readyAfter() / 1e6);
            }
            int there = 0;
            for (int size : sizes()) {
                for (; there < size; there += STEP) {
                    fleet.all(fleet.members.subList(there, Math.min(size, there + STEP)), Member::start);
                }
                there = size;
                List<Member> in = fleet.members.subList(0, size);
                fleet.await("all " + size + " have sessions and the plan", () -> fleet.isWell(PLANNER, in));
                measure(yard, fleet, in, off, ready);
            }
        } finally {
            if (off != null) {
                off.close();
            }
        }
    }

    private List<Integer> sizes() {
        List<Integer> sizes = new ArrayList<>(
                SIZES.stream().filter(size -> size < options.size()).toList());
        sizes.add(options.size());
        return sizes;
    }

    private void measure(Yard yard, TogetherFleet fleet, List<Member> in, NodeProcess off, List<Double> offReady)
            throws Exception {
        Member leader = fleet.await("a leader", fleet::leader);
        Member voter = in.stream()
                .filter(member -> member.votes && member != leader)
                .findFirst()
                .orElseThrow();
        List<Member> voters = in.stream().filter(member -> member.votes).toList();
        List<Member> others = in.stream().filter(member -> !member.votes).toList();
        Member other = others.isEmpty() ? voter : others.get(0);
        // Calm: nothing but what the fleet does by itself.
        List<Double> cpu = new ArrayList<>(), bytes = new ArrayList<>();
        for (Member member : in) {
            cpu.add(-member.process().cpu() / 1e6);
            bytes.add(-bytes(fleet, member));
        }
        double offCpu = -off.cpu() / 1e6;
        long from = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(options.isShort() ? 2_000 : 10_000);
        double span = (System.nanoTime() - from) / 1e9;
        for (int i = 0; i < in.size(); i++) {
            cpu.set(i, (cpu.get(i) + in.get(i).process().cpu() / 1e6) / span);
            bytes.set(i, (bytes.get(i) + bytes(fleet, in.get(i))) / span);
        }
        offCpu = (offCpu + off.cpu() / 1e6) / span;

        List<Candidate> all = List.of(
                candidate(yard, "no [fleet]", off, off.address()),
                candidate(yard, "leads", leader.process(), leader.address),
                candidate(yard, "votes", voter.process(), voter.address),
                candidate(yard, "no vote", other.process(), other.address));
        boolean first = in.size() == SIZES.get(0) || options.size() < SIZES.get(0);
        CostScenario.rounds(
                report,
                all,
                yard.records,
                RATE,
                options.isShort() ? 1 : first ? 8 : 3,
                options.isShort() ? 1_000 : 1_500);

        List<Double> ready = new ArrayList<>(), planned = new ArrayList<>();
        for (int i = 0; i < (options.isShort() ? 1 : STARTS) && other != voter; i++) {
            again(fleet, in, in.get(in.size() - 1), ready, planned);
        }
        for (int i = 0; i < all.size(); i++) {
            Candidate one = all.get(i);
            List<Member> of = i == 0
                    ? List.of()
                    : i == 1
                            ? List.of(leader)
                            : i == 2
                                    ? voters.stream()
                                            .filter(member -> member != leader)
                                            .toList()
                                    : others;
            List<NodeProcess> some = i == 0
                    ? List.of(off)
                    : of.stream().limit(LOOKED_AT).map(Member::process).toList();
            report.row(
                    in.size(),
                    one.name(),
                    CostScenario.number(CostScenario.median(one.micros())),
                    quartiles(one.micros()),
                    CostScenario.number(CostScenario.median(CostScenario.ratios(one, all.get(0)))),
                    quartiles(CostScenario.ratios(one, all.get(0))),
                    CostScenario.number(i == 0 ? offCpu : middle(of, member -> cpu.get(member.number))),
                    i == 0 ? "0" : CostScenario.number(middle(of, member -> bytes.get(member.number))),
                    CostScenario.number(middle(some, process -> process.heap() / 1024.0)),
                    CostScenario.number(middle(some, process -> process.resident() / 1024.0)),
                    CostScenario.number(middle(some, NodeProcess::threads)),
                    i == 0
                            ? CostScenario.number(CostScenario.median(offReady))
                            : i == 3 ? CostScenario.number(CostScenario.median(ready)) : "-",
                    i == 3 ? CostScenario.number(CostScenario.median(planned)) : "-");
        }
    }

    /** One process of a calm fleet starts anew: milliseconds to its first request, and to a plan in its last pool. */
    private static void again(
            TogetherFleet fleet, List<Member> in, Member member, List<Double> ready, List<Double> planned)
            throws Exception {
        member.kill();
        long from = System.nanoTime();
        member.start();
        ready.add(member.process().readyAfter() / 1e6);
        fleet.await("all have sessions and the plan", () -> fleet.isWell(PLANNER, in));
        long last = 0;
        for (String pool : TogetherFleet.POOLS) {
            last = Math.max(
                    last,
                    fleet.said(member.run(), AccordEvent.Planned.class).stream()
                            .filter(plan -> plan.pool().equals(pool))
                            .mapToLong(AccordEvent.Planned::at)
                            .min()
                            .orElse(0));
        }
        planned.add((last - from) / 1e6);
    }

    /** Bytes so far on all links between a process and others, before what TCP adds. */
    private static double bytes(TogetherFleet fleet, Member member) throws Exception {
        double bytes = 0;
        for (Links.Link link : fleet.links.all()) {
            boolean toServers = link.to().startsWith(Yard.zone(""));
            if (!toServers && (link.from().equals(member.name) || link.to().equals(member.name))) {
                bytes += fleet.links.taken(link);
            }
        }
        return bytes;
    }

    private Candidate candidate(Yard yard, String name, NodeProcess process, InetSocketAddress at) {
        String pool = TogetherFleet.POOLS.get(0);
        return new Candidate(
                name,
                process,
                new Load(
                        yard.loop(),
                        new Load.Group(
                                pool, pool + ".example.org", "/api?slot=1", 0.35, 200, "bulk", 2_000, 200, false),
                        at,
                        yard.records,
                        options.seed()));
    }

    /** A figure that may not be had. */
    private interface Figure<T> {
        double of(T one) throws Exception;
    }

    private static <T> double middle(List<T> all, Figure<T> figure) throws Exception {
        List<Double> figures = new ArrayList<>();
        for (T one : all) {
            figures.add(figure.of(one));
        }
        return CostScenario.median(figures);
    }

    private static String quartiles(List<Double> of) {
        double[] sorted = of.stream().mapToDouble(x -> x).sorted().toArray();
        ToDoubleFunction<Double> at = part -> sorted[(int) Math.round(part * (sorted.length - 1))];
        return sorted.length == 0
                ? "-"
                : CostScenario.number(at.applyAsDouble(0.25)) + " to " + CostScenario.number(at.applyAsDouble(0.75));
    }
}
