package rushpin.rig;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What it costs to keep use over a hard kill: the record in the state folder, and the counter called before each first
 * attempt, against the same node with neither. Loaded in turn, in an order that is turned round each time.
 */
final class UseScenario implements Scenario {
    private static final int SET = 3;

    /** Customers whose set is larger than this one node: only their use is told to the counter. */
    private record Shared(InetSocketAddress node) implements Load.Nodes {
        @Override
        public InetSocketAddress pick(int customer, SplittableRandom random) {
            return node;
        }

        @Override
        public String set(int customer) {
            return "spread=" + SET + ",first=0";
        }

        @Override
        public boolean killed(InetSocketAddress of, long from, long until) {
            return false;
        }
    }

    @Override
    public String name() {
        return "use";
    }

    @Override
    public String line() {
        return "CPU, latency and calls to the counter of the record of use and of count-first, against neither";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        List<CostScenario.Candidate> all = new ArrayList<>();
        try (Yard yard = new Yard()) {
            Discovery discovery = yard.pool("one", 4, CostScenario.WORK, options.seed());
            Path config = yard.write(
                    "node.json", RigConfig.json(1024, SET, discovery, yard.counter, List.of(CostScenario.PLAN)));
            try {
                add(all, yard, config, options, "neither", "", "");
                add(all, yard, config, options, "record", "[process]\nstate = \"state\"\n", "");
                add(all, yard, config, options, "count-first", "", "count-first = true\n");
                CostScenario.measure(options, report, all, yard.records);
            } finally {
                all.forEach(candidate -> candidate.process().close());
            }
        }
        return report;
    }

    private static void add(
            List<CostScenario.Candidate> all,
            Yard yard,
            Path config,
            Options options,
            String name,
            String process,
            String pool)
            throws Exception {
        Path file = yard.write(
                name + ".toml",
                process + "[[pool]]\nname = \"one\"\nsettings = \"platform\"\n" + pool + "[[route]]\npool = \"one\"\n");
        NodeProcess node = NodeProcess.serve(yard.folder, config, file);
        Load.Group group = new Load.Group("one", "app.svc", "/api?slot=1", 0.35, 200, "bulk", 2_000, 200, false);
        all.add(new CostScenario.Candidate(
                name, node, new Load(yard.loop(), group, new Shared(node.address()), yard.records, options.seed())));
    }
}
