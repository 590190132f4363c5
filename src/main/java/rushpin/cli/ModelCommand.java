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
import rushpin.study.DayFile;
import rushpin.study.Reports;
import rushpin.study.Runner;
import rushpin.study.Study;
import rushpin.study.TextTable;
import rushpin.study.UnusableInputException;
import rushpin.traffic.RecordedTraffic;

/**
 * {@code model ...}: the fleet in simulated time. Exit 0: done, 1: a file can't be used or a claim falls short, 2:
 * wrong arguments.
 */
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
        description = "Simulates a fleet that runs the gateway's own code, and compares choices.")
final class ModelCommand implements Runnable {
    static int run(String[] args) {
        return new CommandLine(new ModelCommand())
                .setExecutionExceptionHandler((e, line, result) -> {
                    if (!(e instanceof UnusableInputException
                            || e instanceof RecordedTraffic.Unreadable
                            || e instanceof IllegalArgumentException
                            || e instanceof IOException)) {
                        throw e;
                    }
                    System.err.println(e.getMessage());
                    return 1;
                })
                .execute(args);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    /** What a command computes with a study. */
    private interface StudyTask<T> {
        T run(Study study, Runner runner) throws Exception;
    }

    /** The options of all commands that play a day. */
    static final class DayOptions {
        @Option(
                names = "--day",
                required = true,
                paramLabel = "FILE",
                description = "The day, a TOML file; model fit writes one.")
        private Path day;

        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "Settings in the platform's form, for choices that name none.")
        private Path settings;

        @Option(
                names = "--records",
                paramLabel = "FOLDER",
                description = "Replays the first tries of the requests recorded there.")
        private Path records;

        @Option(names = "--pool", paramLabel = "NAME", defaultValue = "", description = "The recorded pool to replay.")
        private String pool;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "0",
                description = "Seeds count up from the next number (0).")
        private long seed;

        @Option(
                names = "--threads",
                paramLabel = "N",
                description = "Threads; default: all cores. Does not affect results.")
        private int threads;

        @Option(
                names = "--run-s",
                paramLabel = "S",
                defaultValue = "120",
                description = "Real time in seconds after which a run has failed (120).")
        private long runSeconds;

        Map<String, String> pairs() throws UnusableInputException {
            Map<String, String> pairs = DayFile.read(day);
            Day.of(pairs);
            return pairs;
        }

        Choice choice(String text) throws UnusableInputException {
            return Choice.of(text, settings);
        }

        Fit.Columns replay(Choice choice, Map<String, String> pairs) throws RecordedTraffic.Unreadable {
            if (records == null) {
                return null;
            }
            Fit fit = new Fit(RecordedTraffic.read(records), choice.settings(), pairs, pool);
            fit.notes().stream()
                    .filter(note -> note.contains("left out") || note.contains("not written"))
                    .forEach(note -> System.out.println("replay: " + note));
            return fit.columns();
        }

        /** Runs a task with a study of the day; recorded requests are read by the settings of {@code choice}. */
        <T> T study(Choice choice, Study.Options options, StudyTask<T> task) throws Exception {
            Map<String, String> pairs = pairs();
            try (Runner runner =
                    new Runner(threads > 0 ? threads : Runtime.getRuntime().availableProcessors(), runSeconds)) {
                return task.run(new Study(runner, pairs, replay(choice, pairs), options), runner);
            }
        }
    }

    /** The options for the confidence of a comparison. */
    static final class ConfidenceOptions {
        @Option(
                names = "--level",
                paramLabel = "P",
                defaultValue = "0.95",
                description = "Confidence level of the verdict (0.95).")
        private double level;

        @Option(
                names = "--width",
                paramLabel = "W",
                defaultValue = "0.005",
                description =
                        "Adds seeds until the confidence interval of service is this narrow on each side (0.005).")
        private double width;

        @Option(
                names = "--budget",
                paramLabel = "N",
                defaultValue = "60",
                description = "Maximum number of seeds (60).")
        private int budget;

        @Option(names = "--independent", description = "B gets its own seeds: a check of the method.")
        private boolean independent;

        Study.Options options(long seed) throws UnusableInputException {
            if (!(level >= 0.5 && level < 1) || !(width > 0) || budget < 1 || budget > 10_000) {
                throw new UnusableInputException(
                        "allowed: --level from 0.5 to below 1, --width above 0, --budget from 1 to 10000");
            }
            return new Study.Options(level, width, 10, budget, seed, independent);
        }
    }

    @Command(name = "fit", mixinStandardHelpOptions = true, description = "Derives a day from records.")
    static final class FitCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "RECORDS", description = "A folder of records, or one file.")
        private Path records;

        @Option(
                names = "--settings",
                required = true,
                paramLabel = "FILE",
                description = "The settings that were in force when they were recorded.")
        private Path settings;

        @Option(
                names = "--given",
                required = true,
                paramLabel = "FILE",
                description = "A day with the keys that records don't show, at least servers.cores.")
        private Path given;

        @Option(
                names = "--pool",
                paramLabel = "NAME",
                defaultValue = "",
                description = "The pool whose requests are used.")
        private String pool;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FILE",
                description = "The file for the day; default: standard output.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            Fit fit = new Fit(
                    RecordedTraffic.read(records),
                    Choice.of(settings.toString(), null).settings(),
                    DayFile.read(given),
                    pool);
            fit.notes().forEach(note -> System.err.println(note));
            String text = DayFile.text(fit.day(), fit.notes());
            Day day = Day.of(fit.day());
            System.err.println(String.format(Locale.ROOT, "the servers are %.0f%% busy on this day", 100 * day.load()));
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
            description = "Plays one choice; shows the range of each figure over runs.")
    static final class PlayCommand implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "CHOICE",
                description = "FILE.json, FILE.jar, KEY=VALUE, day.KEY=VALUE or as-is, joined by commas.")
        private String choiceText;

        @Mixin
        private DayOptions dayOptions;

        @Option(names = "--seeds", paramLabel = "N", defaultValue = "10", description = "Number of runs (10).")
        private int seeds;

        @Override
        public Integer call() throws Exception {
            Choice choice = dayOptions.choice(choiceText);
            int count = Math.max(2, seeds);
            return dayOptions.study(
                    choice, new Study.Options(0.95, 1, count, count, dayOptions.seed, false), (study, runner) -> {
                        List<Map<String, Object>> runs = study.play(choice, count);
                        List<List<String>> rows = new ArrayList<>(List.of(List.of("figure", "least", "mean", "most")));
                        for (String name : runs.get(0).keySet()) {
                            if (runs.stream().allMatch(run -> run.get(name) instanceof Double)) {
                                Study.Forecast forecast = Study.forecast(runs, name, 0.95);
                                rows.add(List.of(
                                        name,
                                        number(forecast.low()),
                                        number(forecast.mean()),
                                        number(forecast.high())));
                            }
                        }
                        TextTable.lines(rows).forEach(System.out::println);
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
            description = "Plays two choices on the same seeds; verdict: A, B or cannot tell.")
    static final class CompareCommand implements Callable<Integer> {
        @Parameters(
                index = "0",
                paramLabel = "A",
                description = "FILE.json, FILE.jar, KEY=VALUE, day.KEY=VALUE or as-is, joined by commas.")
        private String choiceA;

        @Parameters(index = "1", paramLabel = "B")
        private String choiceB;

        @Mixin
        private DayOptions dayOptions;

        @Mixin
        private ConfidenceOptions confidence;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the comparison to this file.")
        private Path json;

        @Option(names = "--page", paramLabel = "FILE", description = "Writes a page with plots to this file.")
        private Path page;

        @Override
        public Integer call() throws Exception {
            Choice first = dayOptions.choice(choiceA);
            Choice second = dayOptions.choice(choiceB);
            Comparison found = dayOptions.study(
                    first, confidence.options(dayOptions.seed), (study, runner) -> study.compare(first, second));
            Reports.table(found, choiceA, choiceB).forEach(System.out::println);
            if (json != null) {
                Files.writeString(json, Reports.json(found, choiceA, choiceB, dayOptions.pairs()));
            }
            if (page != null) {
                Files.writeString(page, Reports.page(found, choiceA, choiceB));
            }
            return 0;
        }
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description = "Plays a choice with several values of one setting, each compared with the unchanged choice.")
    static final class SweepCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CHOICE")
        private String choiceText;

        @Parameters(
                index = "1",
                paramLabel = "KEY",
                description = "A key of the settings, with dots, as caps.max-attempts.")
        private String key;

        @Parameters(index = "2..*", arity = "1..*", paramLabel = "VALUE")
        private List<String> values;

        @Mixin
        private DayOptions dayOptions;

        @Mixin
        private ConfidenceOptions confidence;

        @Override
        public Integer call() throws Exception {
            Choice choice = dayOptions.choice(choiceText);
            List<Comparison> all = dayOptions.study(
                    choice, confidence.options(dayOptions.seed), (study, runner) -> study.sweep(choice, key, values));
            List<List<String>> rows =
                    new ArrayList<>(List.of(List.of(key, "service", "less as-is", "from", "to", "seeds", "verdict")));
            for (int i = 0; i < all.size(); i++) {
                Comparison comparison = all.get(i);
                List<String> row = new ArrayList<>(List.of(values.get(i)));
                if (comparison.seeds() > 0) {
                    Comparison.Figure service = comparison.figures().get(0);
                    row.addAll(List.of(
                            number(service.b()),
                            number(service.difference().middle()),
                            number(service.difference().low()),
                            number(service.difference().high())));
                } else {
                    row.addAll(List.of("", "", "", ""));
                }
                row.addAll(List.of(
                        String.valueOf(comparison.seeds()),
                        switch (comparison.verdict()) {
                            case A -> "worse";
                            case B -> "better";
                            case CANNOT_TELL -> "cannot tell";
                        }));
                rows.add(row);
            }
            TextTable.lines(rows).forEach(System.out::println);
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
            description = "Compares a choice with itself on independent seeds, and counts how often the two differ.")
    static final class CalibrateCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CHOICE")
        private String choiceText;

        @Mixin
        private DayOptions dayOptions;

        @Mixin
        private ConfidenceOptions confidence;

        @Option(
                names = "--comparisons",
                paramLabel = "N",
                defaultValue = "200",
                description = "Number of comparisons (200).")
        private int comparisons;

        @Override
        public Integer call() throws Exception {
            Choice choice = dayOptions.choice(choiceText);
            Study.Options options = confidence.options(dayOptions.seed);
            int differs =
                    dayOptions.study(choice, options, (study, runner) -> study.countDifferences(choice, comparisons));
            BinomialDistribution expected = new BinomialDistribution(null, comparisons, 1 - options.level());
            int maxDiffering = expected.inverseCumulativeProbability(0.995);
            boolean holds = differs <= maxDiffering;
            System.out.printf(
                    Locale.ROOT,
                    "%d of %d comparisons of %s with itself differ; the level allows %d to %d, and fewer "
                            + "where figures are whole numbers%nverdict: %s%n",
                    differs,
                    comparisons,
                    choiceText,
                    expected.inverseCumulativeProbability(0.005),
                    maxDiffering,
                    holds ? "holds" : "falls short: the method reports more differences than its level allows");
            return holds ? 0 : 1;
        }
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a real loopback fleet, fits a day to its records, and compares the forecast with more runs.")
    static final class ValidateCommand implements Callable<Integer> {
        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed of all random choices (1).")
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
