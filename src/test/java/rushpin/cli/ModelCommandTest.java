package rushpin.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.traffic.Entry;
import rushpin.traffic.Recorder;
import rushpin.traffic.RecordingConfig;

/** Tests the model command from records to a verdict, with the arguments that the operators' page shows. */
class ModelCommandTest {
    private static final String SETTINGS = "deploy/pools/lookups.json";

    @TempDir
    Path folder;

    private String out;

    private int run(String... arguments) {
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        PrintStream previousOut = System.out;
        PrintStream previousErr = System.err;
        PrintStream stream = new PrintStream(captured, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
        try {
            return ModelCommand.run(arguments);
        } finally {
            System.setOut(previousOut);
            System.setErr(previousErr);
            out = captured.toString(StandardCharsets.UTF_8);
        }
    }

    private String records() throws Exception {
        Path key = Files.writeString(folder.resolve("key"), "sixteen bytes or more");
        SplittableRandom random = new SplittableRandom(4);
        for (int node = 0; node < 3; node++) {
            try (Recorder recorder = new Recorder(
                    new RecordingConfig(folder.resolve("records"), key, 1 << 22, 1 << 26, 1_000),
                    "n" + node,
                    s -> {})) {
                double at = 1e15;
                for (int i = 0; i < 400; i++) {
                    at += -Math.log(1 - random.nextDouble()) / 25 * 1e6;
                    long work = 110_000 + random.nextInt(90_000);
                    recorder.offer(new Entry(
                            "n" + node,
                            "lookups",
                            (long) at,
                            "window-lookup",
                            "bulk",
                            random.nextInt(30),
                            1,
                            1,
                            3_000_000,
                            false,
                            3,
                            0,
                            Entry.End.SERVED,
                            work + 900,
                            List.of(new Entry.Try("s-" + random.nextInt(6), 200, work + 400, "OK")),
                            0));
                }
            }
        }
        return folder.resolve("records").toString();
    }

    @Test
    void recordsAreFittedPlayedAndCompared() throws Exception {
        String records = records();
        String day = folder.resolve("day.toml").toString();
        String page = folder.resolve("page.html").toString();
        assertEquals(
                0,
                run(
                        "fit",
                        records,
                        "--pool",
                        "lookups",
                        "--settings",
                        SETTINGS,
                        "--given",
                        "deploy/model/given.toml",
                        "-o",
                        day),
                out);
        assertTrue(
                out.contains("class window-lookup: uniform") && out.contains("front.notice-ms: the records can't tell"),
                out);
        String[] options = {"--day", day, "--settings", SETTINGS, "--records", records, "--pool", "lookups"};
        assertEquals(
                0,
                run(join(
                        options,
                        "compare",
                        "as-is",
                        "day.servers.cores=1,day.servers.line=1",
                        "--budget",
                        "8",
                        "--page",
                        page)),
                out);
        assertTrue(out.endsWith("verdict: A\n"), out);
        assertTrue(Files.size(Path.of(page)) > 10_000);
        assertEquals(0, run(join(options, "compare", "as-is", "as-is", "--budget", "8")), out);
        assertTrue(out.endsWith("verdict: cannot tell\n"), out);
        assertEquals(0, run(join(options, "play", "as-is", "--seeds", "3")), out);
        assertTrue(out.matches("(?s).*asks +1200\\.0000.*"), out);
        assertEquals(0, run(join(options, "sweep", "as-is", "day.servers.cores", "1", "4", "--budget", "8")), out);
        assertTrue(out.contains("worse") && out.contains("cannot tell"), out);
        assertEquals(0, run(join(options, "calibrate", "as-is", "--comparisons", "3", "--budget", "6")), out);
        assertTrue(out.endsWith("verdict: holds\n"), out);
    }

    private static String[] join(String[] options, String... arguments) {
        String[] all = java.util.Arrays.copyOf(arguments, arguments.length + options.length);
        System.arraycopy(options, 0, all, arguments.length, options.length);
        return all;
    }

    @Test
    void unusableInputIsReportedInOneLineWithoutStackTrace() throws Exception {
        Path empty = Files.createDirectories(folder.resolve("empty"));
        assertEquals(1, run("fit", empty.toString(), "--settings", SETTINGS, "--given", "deploy/model/given.toml"));
        assertTrue(out.contains("holds no file of records") && !out.contains("\tat "), out);
        Path odd = Files.writeString(folder.resolve("odd.toml"), "secnods = 3\n[servers]\ncount = 0\n");
        assertEquals(1, run("play", "as-is", "--day", odd.toString(), "--settings", SETTINGS));
        assertTrue(out.contains("secnods is no key here") && out.contains("servers.count is \"0\""), out);
        assertEquals(1, run("play", "caps.colour=1", "--day", "deploy/model/day.toml", "--settings", SETTINGS));
        assertTrue(out.contains("no key caps.colour"), out);
        assertEquals(
                1,
                run(
                        "compare",
                        "as-is",
                        "as-is",
                        "--day",
                        "deploy/model/day.toml",
                        "--settings",
                        SETTINGS,
                        "--level",
                        "2"));
        assertTrue(out.contains("--level from 0.5"), out);
        assertEquals(2, run("compare", "as-is"));
    }
}
