package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.accord.Command;
import rushpin.accord.Who;

/** Voters whose disks lose, damage, fill up and hang. */
class DiskTest {
    @TempDir
    Path root;

    /**
     * What a crash leaves of the last writes, which nobody was told of: any part of them. The voter has a prefix, and the
     * others give it the rest. Where more is gone than that, the disk has not stored what it said: as a folder put back.
     */
    @Test
    void aLogThatIsTornAtItsEndIsHealedAndAShorterOneIsFound() throws Exception {
        try (Lan net = new Lan(root, 21)) {
            Lan.Voter torn = crashed(net);
            int end = end(Files.readAllBytes(segment(root.resolve("image"))));
            for (int number = 6; number <= 9; number++) {
                net.decide(number);
            }
            byte[] more = Files.readAllBytes(segment(net.folder(net.leader().name)));
            cut(net, torn.name, more, (end + end(more)) / 2);
            Lan.Voter healed = net.again(torn.name);
            net.together(100);
            healed.replica.close();
            for (int cut : new int[] {end - 1, end - 9, end / 2, 9, 3, 0}) {
                cut(net, torn.name, more, cut);
                Lan.Voter again = net.again(torn.name);
                net.await("it is found, cut at " + cut, again.replica::isPutBack);
                again.replica.close();
            }
        }
    }

    private static int end(byte[] bytes) {
        int end = bytes.length;
        while (bytes[end - 1] == 0) {
            end--;
        }
        return end;
    }

    private void cut(Lan net, String name, byte[] bytes, int length) throws IOException {
        Lan.erase(net.folder(name));
        Lan.copy(root.resolve("image"), net.folder(name));
        Files.write(segment(net.folder(name)), Arrays.copyOf(bytes, length));
    }

    /** What was stored and answered for is not what a crash tears: that is a disk to be replaced, and the voter says so. */
    @Test
    void aLogThatIsDamagedWithinIsRefused() throws Exception {
        try (Lan net = new Lan(root, 22)) {
            Lan.Voter damaged = crashed(net);
            Lan.erase(net.folder(damaged.name));
            Lan.copy(root.resolve("image"), net.folder(damaged.name));
            Path segment = segment(net.folder(damaged.name));
            byte[] bytes = Files.readAllBytes(segment);
            bytes[40] ^= 0x10;
            Files.write(segment, bytes);
            IOException e = assertThrows(IOException.class, () -> net.again(damaged.name));
            assertTrue(e.getMessage().contains(net.folder(damaged.name).toString()), e::getMessage);
            net.voters.remove(damaged.name);
            net.decide(9);
        }
    }

    /** A disk that hangs: the voter says so, decides nothing, and takes part again when the disk is back. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDiskThatHangs(boolean leads) throws Exception {
        try (Lan net = new Lan(root, 23)) {
            net.three();
            net.decide(1);
            Lan.Voter leader = net.leader();
            Lan.Voter one = leads ? leader : net.voters.get(leader.name.equals("c") ? "b" : "c");
            one.disk = new CompletableFuture<>();
            net.decide(2);
            net.await("that it says so", () -> "the disk hangs".equals(one.back));
            assertFalse(one.replica.leads());
            assertThrows(
                    ExecutionException.class,
                    () -> one.replica.propose(new Command.Renew(50)).get(60, TimeUnit.SECONDS));
            assertThrows(
                    ExecutionException.class,
                    () -> one.replica.received(Carrier.Kind.APPEND, new byte[0]).get(60, TimeUnit.SECONDS));
            net.decide(3);
            one.disk.complete(null);
            net.together(4);
        }
    }

    /** A file may not grow any more, as on a full disk: what was answered for is there afterwards, and nothing is answered since. */
    @Test
    void aDiskThatIsFull() throws Exception {
        Process process = new ProcessBuilder(
                        "bash",
                        "-c",
                        "ulimit -f 300; exec \"$0\" \"$@\"",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx48m",
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Alone.class.getName(),
                        root.toString())
                .redirectErrorStream(true)
                .start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), said);
        List<String> lines = said.lines().toList();
        List<String> done = lines.stream()
                .filter(line -> line.startsWith("done "))
                .map(line -> line.substring(5))
                .toList();
        assertTrue(done.size() > 10, said);
        assertTrue(lines.stream().anyMatch(line -> line.startsWith("back the log can't be written")), said);
        assertEquals("after: refused", lines.get(lines.size() - 1), said);
        try (Lan net = new Lan(root, 24)) {
            net.alone();
            net.decide(1);
            List<String> there;
            synchronized (net) {
                there = net.voters.get("a").heard.stream()
                        .filter(e -> e.command() instanceof Command.Join)
                        .map(e -> ((Command.Join) e.command()).who().name().strip())
                        .toList();
            }
            assertEquals(done, there.subList(0, done.size()));
        }
    }

    /** One voter that proposes until its disk is full, in a process of its own. */
    static final class Alone {
        public static void main(String[] args) throws Exception {
            Lan net = new Lan(Path.of(args[0]), 1);
            Lan.Voter voter = net.alone();
            net.leader();
            String most = " ".repeat(4_000);
            for (int i = 0; voter.back == null; i++) {
                try {
                    voter.replica
                            .propose(new Command.Join(new Who(i + most, 0, "", "", 1)))
                            .get(60, TimeUnit.SECONDS);
                    System.out.println("done " + i);
                } catch (ExecutionException e) {
                    System.out.println(
                            "not " + i + ": " + e.getCause().getClass().getSimpleName());
                    net.await("that it says so", () -> voter.back != null);
                }
            }
            System.out.println("back " + voter.back);
            try {
                voter.replica.propose(new Command.Tick()).get(60, TimeUnit.SECONDS);
                System.out.println("after: done");
            } catch (ExecutionException e) {
                System.out.println("after: refused");
            }
            System.exit(0);
        }
    }

    /** Three voters that have decided a few; one that does not lead has gone, and this is its folder as a crash would leave it. */
    private Lan.Voter crashed(Lan net) throws Exception {
        net.three();
        for (int number = 1; number <= 5; number++) {
            net.decide(number);
        }
        net.everywhere(5);
        Lan.Voter one = net.other();
        Lan.copy(net.folder(one.name), root.resolve("image"));
        one.replica.close();
        return one;
    }

    private static Path segment(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            Path segment = files.filter(file -> file.getFileName().toString().startsWith("log_inprogress"))
                    .findFirst()
                    .orElseThrow();
            assertEquals("current", segment.getParent().getFileName().toString());
            return segment;
        }
    }
}
