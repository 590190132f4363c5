package rushpin.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the adapter as a process: batches, absent values and messages on malformed input. */
class DrillTest {
    private record Run(int exit, String out, String err) {}

    private static Run play(String input) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rushpin.drill.Drill",
                        "drill")
                .start();
        try (var in = process.getOutputStream()) {
            in.write(input.getBytes(StandardCharsets.UTF_8));
        }
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return new Run(process.exitValue(), out, err);
    }

    @Test
    void emptyBatchesGetEmptyReplies() throws Exception {
        assertEquals(new Run(0, "yield\nyield\n", ""), play("mark 5\ncommit\nmark 6\ncommit\n"));
    }

    @Test
    void runsAnInstanceUntilItIsRetired() throws Exception {
        String start = "start 3 9 classes.count=1 classes.0.aim-ns=500000000 classes.0.deadline-ns=900000000 "
                + "classes.0.idempotency=retryable classes.0.worth=1 caps.max-attempts=2 tariffs.count=1 odd.key=- ";
        Run run = play("mark 5\n" + start + "\nview 3 1 1 1\nentry 1 0 1 - 0 srv 0\n"
                + "ingress 3 r-a 0 0 77 800000005 1 1 0 -\nretire 3\ncommit\n");
        assertEquals(0, run.exit, run.err);
        assertTrue(run.out.contains("try 3 r-a srv "), run.out);
        Run gone = play("mark 5\n" + start + "\nretire 3\nreminder 3 0\ncommit\n");
        assertEquals(1, gone.exit);
        assertTrue(gone.err.contains("line 4"), gone.err);
    }

    @Test
    void malformedInputIsReportedWithItsLine() throws Exception {
        for (String bad : new String[] {"hello\n", "mark x\n", "mark 5\nnonsense 1\n", "mark 5\nreminder one 2\n"}) {
            Run run = play(bad);
            assertEquals(1, run.exit, bad);
            assertTrue(run.err.startsWith("line "), run.err);
        }
    }
}
