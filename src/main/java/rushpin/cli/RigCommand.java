package rushpin.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushpin.rig.Report;
import rushpin.rig.Rig;
import rushpin.rig.Scenario;

/** {@code rig NAME}: runs a scenario on loopback, with fake clients and servers of this program. */
@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario; without a name, lists them. Exit 0: holds, 1: falls short, 2: wrong arguments.")
final class RigCommand implements Callable<Integer> {
    /** The largest fleet, in processes; each takes some 150 MB. */
    private static final int MAX_FLEET_SIZE = 60;

    @Parameters(index = "0", arity = "0..1", paramLabel = "NAME", description = "The scenario.")
    private String name;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed of all random choices (1).")
    private long seed;

    @Option(names = "--short", description = "A short run of at most 30 s.")
    private boolean isShort;

    @Option(names = "--json", paramLabel = "FILE", description = "Also writes the report to this file.")
    private Path json;

    @Option(names = "--other", paramLabel = "JAR", description = "cost: another build to compare with.")
    private Path other;

    @Option(
            names = "--flood",
            paramLabel = "N",
            defaultValue = "5",
            description = "pools: load on the flooded pool, as a multiple of its quota (5).")
    private double flood;

    @Option(
            names = "--size",
            paramLabel = "N",
            defaultValue = "0",
            description = "cost: measures [fleet] instead, off and on, with 5, 20 and 60 processes, up to N.")
    private int size;

    static int run(String[] args) {
        return new CommandLine(new RigCommand()).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        if (name == null) {
            Rig.all().forEach(each -> System.out.printf("%-8s %s%n", each.name(), each.line()));
            return 0;
        }
        Scenario scenario = Rig.named(name);
        if (scenario == null) {
            System.err.println("there is no scenario " + name + "; rig without a name lists them");
            return 2;
        }
        if (size < 0 || size > MAX_FLEET_SIZE) {
            System.err.println("--size is " + size + "; allowed: 0 to " + MAX_FLEET_SIZE);
            return 2;
        }
        Report report = scenario.play(new Scenario.Options(seed, isShort, other, flood, size));
        report.print(System.out);
        if (json != null) {
            report.write(json);
        }
        return report.holds() ? 0 : 1;
    }
}
