package rushpin.study;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.gateway.Gateway;
import rushpin.model.Comparison;
import rushpin.model.Comparison.Verdict;
import rushpin.model.Day;

/** Parses choices from text, files and other builds, and runs studies with them. */
@Tag("long")
class StudyTest {
    private static final Path SETTINGS = Path.of("deploy/pools/lookups.json");

    @TempDir
    Path folder;

    private static Map<String, String> day() throws UnusableInputException {
        Map<String, String> day = DayFile.read(Path.of("deploy/model/day.toml"));
        day.put("seconds", "15");
        day.put("trouble.0.at-s", "4");
        day.put("trouble.1.at-s", "6");
        return day;
    }

    private static Study.Options options(int seeds) {
        return new Study.Options(0.95, 0.01, seeds, seeds, 0, false);
    }

    private static Comparison compare(String a, String b, int seeds, int threads) throws Exception {
        try (Runner runner = new Runner(threads, 60)) {
            return new Study(runner, day(), null, options(seeds))
                    .compare(Choice.of(a, SETTINGS), Choice.of(b, SETTINGS));
        }
    }

    /** Creates the jar of a build with the gateway of this one, or with one whose constructor has the given body. */
    private String jar(String name, String body) throws Exception {
        Path classes = Files.createDirectories(folder.resolve(name));
        Path own = Path.of(Gateway.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .toURI());
        if (body != null) {
            Path source = Files.createDirectories(folder.resolve(name + "-src")).resolve("Gateway.java");
            Files.writeString(
                    source,
                    "package rushpin.gateway; public final class Gateway implements Ports.Events {\n"
                            + "public Gateway(Ports.Settings s, long seed, long now, Ports.Actions a) { " + body
                            + " }\n"
                            + "public void list(long n, Ports.ListKind k, java.util.List<Ports.Server> e) { }\n"
                            + "public void request(long n, Ports.Request r) {"
                            + " throw new IllegalStateException(\"test failure\"); }\n"
                            + "public void attemptEnded(long n, Ports.Result r) { }\n"
                            + "public void streamStarted(long n, String i) { }\n"
                            + "public void bodyGone(long n, String i) { }\n"
                            + "public void clientGone(long n, String i) { }\n"
                            + "public void counted(long n, long m, Ports.Outcome o, double t) { }\n"
                            + "public void probed(long n, String s, Ports.Outcome o, long t,"
                            + " java.util.List<Double> r) { }\n"
                            + "public void timer(long n, long t) { }\n"
                            + "public void restore(long n, long c, int p, int s, double u) { }\n"
                            + "public void releaseCeiling(long n, double p) { }\n"
                            + "public void acquireCeiling(long n, long c, int p, int s, double u) { }\n"
                            + "public void processes(long n, int c) { }\n"
                            + "public void settings(long n, Ports.Settings s, int[] w) { }\n"
                            + "public void zones(long n, int[][] p) { }\n"
                            + "public void clock(long n, long a) { }\n}\n");
            assertEquals(
                    0,
                    ToolProvider.getSystemJavaCompiler()
                            .run(
                                    null,
                                    null,
                                    null,
                                    "-d",
                                    classes.toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    source.toString()));
        }
        Path jar = folder.resolve(name + ".jar");
        try (OutputStream out = Files.newOutputStream(jar);
                JarOutputStream to = new JarOutputStream(out);
                Stream<Path> files = Files.list(own.resolve("rushpin/gateway"))) {
            for (Path file : files.filter(
                            f -> body == null || !f.getFileName().toString().startsWith("Gateway"))
                    .toList()) {
                to.putNextEntry(new JarEntry("rushpin/gateway/" + file.getFileName()));
                to.write(Files.readAllBytes(file));
            }
            if (body != null) {
                to.putNextEntry(new JarEntry("rushpin/gateway/Gateway.class"));
                to.write(Files.readAllBytes(classes.resolve("rushpin/gateway/Gateway.class")));
            }
        }
        return jar.toString();
    }

    @Test
    void theNumberOfThreadsDoesNotAffectResults() throws Exception {
        Comparison one = compare("as-is", "caps.max-attempts=1", 4, 1);
        Comparison many = compare("as-is", "caps.max-attempts=1", 4, 4);
        for (int i = 0; i < 4; i++) {
            for (String name : one.runs(true).get(i).keySet()) {
                Object a = one.runs(false).get(i).get(name);
                Object b = many.runs(false).get(i).get(name);
                if (a instanceof double[] series) {
                    assertArrayEquals(series, (double[]) b, name);
                } else {
                    assertEquals(a, b, name);
                }
            }
        }
    }

    @Test
    void aSingleAttemptWhereServersFailFastIsFoundToBeWorse() throws Exception {
        Comparison found = compare("as-is", "caps.max-attempts=1", 10, 4);
        assertEquals(Verdict.A, found.verdict(), found.reasons().toString());
    }

    @Test
    void theSameBuildLoadedFromItsJarGivesTheSameResults() throws Exception {
        Comparison found = compare("as-is", jar("same", null), 6, 4);
        assertEquals(Verdict.CANNOT_TELL, found.verdict());
        assertEquals(0, found.figures().get(0).difference().high());
        assertEquals(
                found.runs(true).get(0).get("events"), found.runs(false).get(0).get("events"));
    }

    @Test
    void aBuildThatThrowsLosesAndSoDoesOneInAnEndlessLoop() throws Exception {
        Comparison thrown = compare("as-is", jar("throws", "a.timer(0, 1000000);"), 6, 4);
        assertEquals(Verdict.A, thrown.verdict());
        assertTrue(
                thrown.reasons().get(0).contains("B failed at seed 1: java.lang.IllegalStateException: test failure"),
                thrown.reasons().toString());
        try (Runner runner = new Runner(2, 3)) {
            Comparison endless = new Study(runner, day(), null, options(6))
                    .compare(
                            Choice.of(jar("endless", "while (s != null) { Thread.onSpinWait(); }"), SETTINGS),
                            Choice.of("as-is", SETTINGS));
            assertEquals(Verdict.B, endless.verdict());
            assertTrue(
                    endless.reasons().get(0).contains("A failed at seed 1: it did not end within 3 s"),
                    endless.reasons().toString());
        }
    }

    @Test
    void invalidChoicesAreRejectedByName() throws Exception {
        assertTrue(assertThrows(UnusableInputException.class, () -> Choice.of("fast", SETTINGS))
                .getMessage()
                .contains("\"fast\" is none of"));
        assertTrue(assertThrows(UnusableInputException.class, () -> Choice.of("as-is", null))
                .getMessage()
                .contains("names no settings"));
        assertTrue(assertThrows(UnusableInputException.class, () -> Choice.of("caps.colour=1", SETTINGS))
                .getMessage()
                .contains("has no key caps.colour"));
        assertTrue(assertThrows(UnusableInputException.class, () -> Choice.of("nowhere.json", null))
                .getMessage()
                .contains("nowhere.json"));
        Files.writeString(folder.resolve("empty.jar"), "no jar");
        String invalidJar = folder.resolve("empty.jar").toString();
        assertTrue(assertThrows(UnusableInputException.class, () -> compare("as-is", invalidJar, 6, 1))
                .getMessage()
                .contains("cannot be read"));
    }

    @Test
    void aSweepComparesEachValueWithTheUnchangedChoice() throws Exception {
        try (Runner runner = new Runner(4, 60)) {
            List<Comparison> all = new Study(runner, day(), null, options(10))
                    .sweep(Choice.of("as-is", SETTINGS), "caps.max-attempts", List.of("1", "6"));
            assertEquals(Verdict.A, all.get(0).verdict(), all.get(0).reasons().toString());
            assertEquals(Verdict.CANNOT_TELL, all.get(1).verdict(), "6 is the unchanged value");
        }
    }

    @Test
    void aDayWrittenAndParsedIsUnchanged() throws Exception {
        Map<String, String> day = day();
        day.put("front.notice-ms", "100,900");
        day.put("class.window-lookup.work", "quantiles 1 2 3");
        assertEquals(day, DayFile.parse(DayFile.text(day, List.of("a note")), "written"));
        Day.of(day);
        assertTrue(assertThrows(UnusableInputException.class, () -> DayFile.parse("a = ", "x.toml"))
                .getMessage()
                .contains("x.toml, line 1"));
        Map<String, String> given = DayFile.read(Path.of("deploy/model/given.toml"));
        assertEquals("4", given.get("servers.cores"));
    }

    @Test
    void reportsContainTheVerdictAndThePlots() throws Exception {
        Comparison found = compare("as-is", "caps.max-attempts=1", 10, 4);
        List<String> table = Reports.table(found, "as-is", "caps.max-attempts=1");
        assertEquals("verdict: A", table.get(table.size() - 1));
        String json = Reports.json(found, "as-is", "b", new TreeMap<>(day()));
        assertEquals(
                "A",
                new com.fasterxml.jackson.databind.ObjectMapper()
                        .readTree(json)
                        .get("verdict")
                        .asText());
        String page = Reports.page(found, "as-is", "<b>");
        assertEquals(3, page.split("data:image/svg", -1).length - 1);
        assertTrue(
                page.contains("&lt;b&gt;") && !page.contains("http://") && !page.contains("src=\"/"),
                "the page loads nothing from elsewhere");
    }

    @Test
    void aPredictionIntervalContainsTheStatedShareOfFurtherRuns() throws Exception {
        try (Runner runner = new Runner(4, 60)) {
            Study study = new Study(runner, day(), null, options(20));
            List<Map<String, Object>> runs = study.play(Choice.of("as-is", SETTINGS), 60);
            int within = 0;
            Study.Forecast forecast = Study.forecast(runs.subList(0, 20), "p50-ms", 0.95);
            for (Map<String, Object> run : runs.subList(20, 60)) {
                within += forecast.contains((Double) run.get("p50-ms")) ? 1 : 0;
            }
            assertTrue(within >= 34, within + " of 40 within the 95% interval");
        }
    }
}
