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

/** {@code rig NAME}: plays a scenario on loopback, with stand-ins of this program. */
@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario; without a name, lists them. Exit 0: holds, 1: falls short, 2: wrong words.")
final class RigCommand implements Callable<Integer> {
    /** A process takes some 150 MB. */
    private static final int FLEET_MOST = 60;

    @Parameters(index = "0", arity = "0..1", paramLabel = "NAME", description = "The scenario.")
    private String name;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Where all chance comes from (1).")
    private long seed;

    @Option(names = "--short", description = "30 s at most.")
    private boolean isShort;

    @Option(names = "--json", paramLabel = "FILE", description = "Writes the report there too.")
    private Path json;

    @Option(names = "--other", paramLabel = "JAR", description = "cost: another build to compare with.")
    private Path other;

    @Option(
            names = "--flood",
            paramLabel = "N",
            defaultValue = "5",
            description = "pools: how many times its quota the flooded pool is asked for (5).")
    private double flood;

    @Option(
            names = "--size",
            paramLabel = "N",
            defaultValue = "0",
            description = "cost: of [fleet], off and on, at 5, 20 and 60 processes up to N instead.")
    private int size;

    static int run(String[] args) {
        return new CommandLine(new RigCommand()).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        if (name == null) {
            Rig.all().forEach(one -> System.out.printf("%-8s %s%n", one.name(), one.line()));
            return 0;
        }
        Scenario scenario = Rig.named(name);
        if (scenario == null) {
            System.err.println("there is no scenario " + name + "; rig alone lists them");
            return 2;
        }
        if (size < 0 || size > FLEET_MOST) {
            System.err.println("--size " + size + " is not among 0 to " + FLEET_MOST);
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
