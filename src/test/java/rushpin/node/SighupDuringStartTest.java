package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A SIGHUP that arrives while a process starts, after it has read its files for the last time. */
class SighupDuringStartTest extends NodeTestBase {
    @TempDir
    Path folder;

    /** Guards against losing such a signal: the process then kept watching the discovery address of the old file. */
    @Test
    void aSighupAfterTheLastReadTakesEffectOnceTheNodeHasStarted() throws Exception {
        CompletableFuture<Void> newDiscoveryWatched = new CompletableFuture<>();
        StubServer newDiscovery = stubServer(m -> {
            m.answer(UNCHANGED);
            newDiscoveryWatched.complete(null);
        });
        Path pipe = folder.resolve("platform.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        String first = config(member("s-0", "127.0.0.1:9", "Ready", 0));
        try (ServeProcess process = new ServeProcess(folder, first, null, List.of("env", "GW_CONFIG=" + pipe))) {
            // Opening a pipe blocks until a reader opens it, so the two writes meet the process's two reads.
            write(pipe, first);
            process.awaitLine("rehearsed with");
            try (OutputStream second = Files.newOutputStream(pipe)) {
                Path next = Files.writeString(
                        folder.resolve("next.json"), first.replace(discovery.address(), newDiscovery.address()));
                Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
                process.signal("HUP");
                second.write(first.getBytes(StandardCharsets.UTF_8));
            }
            process.awaitLine("serving on");
            process.awaitLine("configuration read again");
            newDiscoveryWatched.join();
        }
    }

    private static void write(Path pipe, String text) throws Exception {
        try (OutputStream out = Files.newOutputStream(pipe)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
