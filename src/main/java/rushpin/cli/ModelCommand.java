package rushpin.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.apache.commons.math3.distribution.BinomialDistribution;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rushpin.fit.Fit;
import rushpin.model.Comparison;
import rushpin.model.Day;
import rushpin.rig.Report;
import rushpin.rig.Rig;
import rushpin.rig.Scenario;
import rushpin.study.Choice;
import rushpin.study.Columns;
import rushpin.study.DayFile;
import rushpin.study.Reports;
import rushpin.study.Runner;
import rushpin.study.Study;
import rushpin.study.Unusable;
import rushpin.traffic.Recorded;

/** {@code model ...}: the fleet in simulated time. Exit 0: done, 1: a file can't be used or a claim falls short, 2: wrong words. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        subcommands = {
            ModelCommand.FitCommand.class,
            ModelCommand.PlayCommand.class,
            ModelCommand.CompareCommand.class,
            ModelCommand.SweepCommand.class,
            ModelCommand.CalibrateCommand.class,
            ModelCommand.ValidateCommand.class
        },
        description = "Plays a fleet in simulated time round the modules that serve, and compares choices.")
final class ModelCommand implements Runnable {
    static int run(String[] args) {
        return new CommandLine(new ModelCommand())
                .setExecutionExceptionHandler((e, line, result) -> {
                    if (!(e instanceof Unusable
                            || e instanceof Recorded.Unreadable
                            || e instanceof IllegalArgumentException
                            || e instanceof IOException)) {
                        throw e;
                    }
                    System.err.println(e.getMessage());
                    return 1;
                })
                .execute(args);
    }

    private static String number(double x) {
        return String.format(Locale.ROOT, "%.4f", x);
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    /** What a command asks of a study. */
    private interface Asked<T> {
        T of(Study study, Runner runner) throws Exception;
    }

    /** What all that play a day are told. */
    static final class OnADay {
        @Option(
                names = "--day",
                required = true,
                paramLabel = "FILE",
                description = "The day, TOML; model fit writes one.")
        private Path day;

        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "Settings in the platform's form, where a choice names none.")
        private Path settings;

        @Option(names = "--records", paramLabel = "FOLDER", description = "Replay the first tries recorded there.")
        private Path records;

        @Option(names = "--pool", paramLabel = "NAME", defaultValue = "", description = "The recorded pool to replay.")
        private String pool;

        @Option(names = "--seed", paramLabel = "N", defaultValue = "0", description = "Seeds are those after it (0).")
        private long seed;

        @Option(
                names = "--threads",
                paramLabel = "N",
                description = "Threads; all cores unless said. Changes no figure.")
        private int threads;

        @Option(
                names = "--run-s",
                paramLabel = "S",
                defaultValue = "120",
                description = "Real seconds after which a run has failed (120).")
        private long runSeconds;

        Map<String, String> pairs() throws Unusable {
            Map<String, String> pairs = DayFile.read(day);
            Day.of(pairs);
            return pairs;
        }

        Choice choice(String word) throws Unusable {
            return Choice.of(word, settings);
        }

        Fit.Columns replay(Choice by, Map<String, String> on) throws Recorded.Unreadable {
            if (records == null) {
                return null;
            }
            Fit fit = new Fit(Recorded.read(records), by.settings(), on, pool);
            fit.notes().stream()
                    .filter(note -> note.contains("left out") || note.contains("not written"))
                    .forEach(note -> System.out.println("replay: " + note));
            return fit.columns();
        }

        /** Plays what is asked on the day, as it is for a choice that records are read by. */
        <T> T study(Choice by, Study.Options options, Asked<T> asked) throws Exception {
            Map<String, String> pairs = pairs();
            try (Runner runner =
                    new Runner(threads > 0 ? threads : Runtime.getRuntime().availableProcessors(), runSeconds)) {
                return asked.of(new Study(runner, pairs, replay(by, pairs), options), runner);
            }
        }
    }

    /** How sure a comparison is to be. */
    static final class HowSure {
        @Option(names = "--level", paramLabel = "P", defaultValue = "0.95", description = "Of the verdict (0.95).")
        private double level;

        @Option(
                names = "--width",
                paramLabel = "W",
                defaultValue = "0.005",
                description = "Seeds are added until service is known to so much on each side (0.005).")
        private double width;

        @Option(names = "--budget", paramLabel = "N", defaultValue = "60", description = "Most seeds (60).")
        private int budget;

        @Option(names = "--independent", description = "B gets seeds of its own: a check of the method.")
        private boolean independent;

        Study.Options options(long seed) throws Unusable {
            if (!(level >= 0.5 && level < 1) || !(width > 0) || budget < 1 || budget > 10_000) {
                throw new Unusable(
                        "allowed are --level from 0.5 to below 1, --width above 0, --budget from 1 to 10000");
            }
            return new Study.Options(level, width, 10, budget, seed, independent);
        }
    }

    @Command(name = "fit", mixinStandardHelpOptions = true, description = "Makes a day from records.")
    static final class FitCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "RECORDS", description = "A folder of records, or one file.")
        private Path records;

        @Option(
                names = "--settings",
                required = true,
                paramLabel = "FILE",
                description = "The settings they were made under.")
        private Path settings;

        @Option(
                names = "--given",
                required = true,
                paramLabel = "FILE",
                description = "A day with what records can't tell, servers.cores at least.")
        private Path given;

        @Option(names = "--pool", paramLabel = "NAME", defaultValue = "", description = "Whose requests are meant.")
        private String pool;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FILE",
                description = "Where the day goes; else to standard output.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            Fit fit = new Fit(
                    Recorded.read(records), Choice.of(settings.toString(), null).settings(), DayFile.read(given), pool);
            fit.notes().forEach(note -> System.err.println(note));
            String text = DayFile.text(fit.day(), fit.notes());
            Day day = Day.of(fit.day());
            System.err.println(String.format(Locale.ROOT, "the servers are %.0f%% busy by this", 100 * day.load()));
            if (out == null) {
                System.out.print(text);
            } else {
                Files.writeString(out, text);
            }
            return 0;
        }
    }

    @Command(
            name = "play",
            mixinStandardHelpOptions = true,
            description = "Plays one choice; each figure with where one run lies.")
    static final class PlayCommand implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "CHOICE",
                description = "FILE.json, FILE.jar, KEY=VALUE, day.KEY=VALUE or as-is, joined by commas.")
        private String word;

        @Mixin
        private OnADay on;

        @Option(names = "--seeds", paramLabel = "N", defaultValue = "10", description = "How many runs (10).")
        private int seeds;

        @Override
        public Integer call() throws Exception {
            Choice choice = on.choice(word);
            int count = Math.max(2, seeds);
            return on.study(choice, new Study.Options(0.95, 1, count, count, on.seed, false), (study, runner) -> {
                List<Map<String, Object>> runs = study.play(choice, count);
                List<List<String>> rows = new ArrayList<>(List.of(List.of("figure", "least", "mean", "most")));
                for (String name : runs.get(0).keySet()) {
                    if (runs.stream().allMatch(run -> run.get(name) instanceof Double)) {
                        Study.Forecast of = Study.forecast(runs, name, 0.95);
                        rows.add(List.of(name, number(of.low()), number(of.mean()), number(of.high())));
                    }
                }
                Columns.lines(rows).forEach(System.out::println);
                runs.stream()
                        .map(run -> (String) run.get("breach"))
                        .filter(breach -> !breach.isEmpty())
                        .limit(5)
                        .forEach(breach -> System.out.println("broken: " + breach));
                System.out.printf(
                        Locale.ROOT,
                        "%d runs; 95 of 100 further runs lie between least and most; %.0f us of one core a "
                                + "simulated try%n",
                        runs.size(),
                        runner.microsPerTry());
                return 0;
            });
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Plays two choices on the same seeds: A, B or cannot tell.")
    static final class CompareCommand implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "A",
                description = "FILE.json, FILE.jar, KEY=VALUE, day.KEY=VALUE or as-is, joined by commas.")
        private String a;

        @Parameters(index = "1", paramLabel = "B")
        private String b;

        @Mixin
        private OnADay on;

        @Mixin
        private HowSure sure;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the comparison there.")
        private Path json;

        @Option(names = "--page", paramLabel = "FILE", description = "Writes one page with plots there.")
        private Path page;

        @Override
        public Integer call() throws Exception {
            Choice first = on.choice(a), second = on.choice(b);
            Comparison found = on.study(first, sure.options(on.seed), (study, runner) -> study.compare(first, second));
            Reports.table(found, a, b).forEach(System.out::println);
            if (json != null) {
                Files.writeString(json, Reports.json(found, a, b, on.pairs()));
            }
            if (page != null) {
                Files.writeString(page, Reports.page(found, a, b));
            }
            return 0;
        }
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description = "One setting over values, each against the choice as it stands.")
    static final class SweepCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CHOICE")
        private String word;

        @Parameters(
                index = "1",
                paramLabel = "KEY",
                description = "As under settings, points between: caps.max-attempts.")
        private String key;

        @Parameters(index = "2..*", arity = "1..*", paramLabel = "VALUE")
        private List<String> values;

        @Mixin
        private OnADay on;

        @Mixin
        private HowSure sure;

        @Override
        public Integer call() throws Exception {
            Choice choice = on.choice(word);
            List<Comparison> all =
                    on.study(choice, sure.options(on.seed), (study, runner) -> study.sweep(choice, key, values));
            List<List<String>> rows =
                    new ArrayList<>(List.of(List.of(key, "service", "less as-is", "from", "to", "seeds", "verdict")));
            for (int i = 0; i < all.size(); i++) {
                Comparison one = all.get(i);
                List<String> row = new ArrayList<>(List.of(values.get(i)));
                if (one.seeds() > 0) {
                    Comparison.Figure f = one.figures().get(0);
                    row.addAll(List.of(
                            number(f.b()),
                            number(f.difference().middle()),
                            number(f.difference().low()),
                            number(f.difference().high())));
                } else {
                    row.addAll(List.of("", "", "", ""));
                }
                row.addAll(List.of(
                        String.valueOf(one.seeds()),
                        switch (one.verdict()) {
                            case A -> "worse";
                            case B -> "better";
                            case CANNOT_TELL -> "cannot tell";
                        }));
                rows.add(row);
            }
            Columns.lines(rows).forEach(System.out::println);
            for (int i = 0; i < all.size(); i++) {
                String value = values.get(i);
                all.get(i).reasons().forEach(reason -> System.out.println(value + ": " + reason));
            }
            return 0;
        }
    }

    @Command(
            name = "calibrate",
            mixinStandardHelpOptions = true,
            description = "Compares a choice with itself on seeds of its own: how often it is said to differ.")
    static final class CalibrateCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CHOICE")
        private String word;

        @Mixin
        private OnADay on;

        @Mixin
        private HowSure sure;

        @Option(names = "--comparisons", paramLabel = "N", defaultValue = "200", description = "How many (200).")
        private int comparisons;

        @Override
        public Integer call() throws Exception {
            Choice choice = on.choice(word);
            Study.Options options = sure.options(on.seed);
            int differs = on.study(choice, options, (study, runner) -> study.differs(choice, comparisons));
            BinomialDistribution said = new BinomialDistribution(null, comparisons, 1 - options.level());
            int most = said.inverseCumulativeProbability(0.995);
            boolean holds = differs <= most;
            System.out.printf(
                    Locale.ROOT,
                    "%d of %d comparisons of %s with itself differ; the level lets %d to %d pass, and fewer "
                            + "where figures are whole%nverdict: %s%n",
                    differs,
                    comparisons,
                    word,
                    said.inverseCumulativeProbability(0.005),
                    most,
                    holds ? "holds" : "falls short: the method says more than it knows");
            return holds ? 0 : 1;
        }
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description =
                    "Plays a real loopback fleet, records and fits it, and holds the forecast against further real runs.")
    static final class ValidateCommand implements Callable<Integer> {
        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "Where all chance comes from (1).")
        private long seed;

        @Option(names = "--short", description = "Fewer and shorter runs.")
        private boolean isShort;

        @Override
        public Integer call() throws Exception {
            Report report = Rig.named("model").play(new Scenario.Options(seed, isShort, null, 5));
            report.print(System.out);
            return report.holds() ? 0 : 1;
        }
    }
}
