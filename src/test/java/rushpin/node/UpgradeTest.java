package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replacement of the program while it serves: two processes share an address and a folder, under constant load. */
class UpgradeTest extends NodeTestBase {
    @TempDir
    Path folder;

    private ServeProcess startProcess(String config, int listen) throws Exception {
        ServeProcess process = new ServeProcess(
                folder,
                config.replaceFirst(
                        "\"listen\": *\"[^\"]*\"",
                        "\"listen\": \"127.0.0.1:" + listen + "\", \"console\": \"127.0.0.1:0\""),
                null);
        toClose.add(process);
        return process;
    }

    @Test
    void noRequestIsLostAndADisabledServerStaysDisabled() throws Exception {
        AtomicInteger disabledRequests = new AtomicInteger();
        StubServer disabled = stubServer(m -> {
            disabledRequests.incrementAndGet();
            m.answer(StubServer.ok("", "a"));
        });
        StubServer enabled = stubServer(m -> m.answer(StubServer.ok("", "b")));
        String config =
                config(member("s-0", disabled.address(), "Ready", 0), member("s-1", enabled.address(), "Ready", 0));
        ServeProcess old = startProcess(config, 0);
        int oldConsole = old.awaitConsolePort();
        int listen = old.awaitPort();
        assertEquals("done\n", call(oldConsole, "READY"));
        assertEquals("done\n", call(oldConsole, "DISABLE s-0"));
        int requestsBefore = disabledRequests.get();
        AtomicBoolean stop = new AtomicBoolean();
        List<String> failures = new ArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        Thread clients = new Thread(
                () -> {
                    for (int i = 0; !stop.get(); i++) {
                        // A new connection for each request: none may be refused or reset.
                        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listen)) {
                            client.setSoTimeout(60_000);
                            Map<String, String> headers = headers("t-" + i, "order", "20000");
                            write(client, "POST /api", headers, "book");
                            StubServer.Message answer = StubServer.read(client);
                            if (answer == null) {
                                failures.add("t-" + i + ": no response");
                            }
                            answered.incrementAndGet();
                        } catch (Exception e) {
                            failures.add("t-" + i + ": " + e);
                        }
                    }
                },
                "clients");
        clients.start();
        ServeProcess fresh = startProcess(config, listen);
        int newConsole = fresh.awaitConsolePort();
        fresh.awaitPort();
        for (int i = 0; !call(newConsole, "READY").equals("done\n"); i++) {
            assertTrue(i < 600, "the new process never became ready");
            Thread.sleep(50);
        }
        old.awaitLine("2 processes act as this node");
        old.signal("TERM");
        assertEquals(0, old.awaitExit());
        assertTrue(
                old.awaitFullOutput().stream().noneMatch(line -> line.startsWith("the listening socket")),
                "the old process logged an error of its listening socket: " + old.output);
        fresh.awaitLine("alone again");
        stop.set(true);
        clients.join();
        // The kernel resets a connection whose handshake is incomplete at the moment at which the socket closes.
        assertTrue(failures.size() <= 1, failures.size() + " of " + answered + ": " + failures);
        assertEquals(
                requestsBefore, disabledRequests.get(), "a disabled server must stay disabled over the replacement");
        assertEquals("done\n", call(newConsole, "ENABLE s-0"), "the new process must know that the server is disabled");
        assertTrue(Files.isDirectory(folder.resolve("rushpin")));
    }
}
