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

/** A signal that comes while a process starts, after it has read its files for the last time. */
class HangupAtStartTest extends NodeTestBase {
    @TempDir
    Path folder;

    /** It was taken for one that comes before the files are read: the node watched the discovery of before for good. */
    @Test
    void aHangupBehindTheLastReadIsHeardWhenTheNodeHasStarted() throws Exception {
        CompletableFuture<Void> watched = new CompletableFuture<>();
        StubServer moved = stubServer(m -> {
            m.answer(UNCHANGED);
            watched.complete(null);
        });
        Path pipe = folder.resolve("platform.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        String first = config(member("s-0", "127.0.0.1:9", "Ready", 0));
        try (ServeProcess node = new ServeProcess(folder, first, null, List.of("env", "GW_CONFIG=" + pipe))) {
            // Opening a pipe waits for its reader: these are the node's two reads.
            write(pipe, first);
            node.await("rehearsed with");
            try (OutputStream second = Files.newOutputStream(pipe)) {
                Path next = Files.writeString(
                        folder.resolve("next.json"), first.replace(discovery.address(), moved.address()));
                Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
                node.signal("HUP");
                second.write(first.getBytes(StandardCharsets.UTF_8));
            }
            node.await("serving on");
            node.await("configuration read again");
            watched.join();
        }
    }

    private static void write(Path pipe, String text) throws Exception {
        try (OutputStream out = Files.newOutputStream(pipe)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
