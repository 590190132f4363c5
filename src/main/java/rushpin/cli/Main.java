package rushpin.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import rushpin.config.Config;
import rushpin.drill.Drill;
import rushpin.node.EdgeNode;
import rushpin.node.Rehearsal;

/** The program: {@code serve} runs a real edge node, {@code drill} the decisions on the simulator's wire. */
public final class Main {
    /** How long a start's rehearsal is: so many requests, or so many milliseconds where these take longer. */
    private static final int REHEARSED = 1_000;
    private static final long REHEARSAL_MS = 2_000;

    private Main() {
    }

    /** Picks the word. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve(System.getenv("GW_CONFIG"));
            case "drill" -> Drill.main(args);
            default -> exit(2, "usage: rushpin.jar serve|drill");
        }
    }

    private static void serve(String file) {
        if (file == null || file.isEmpty()) {
            exit(2, "GW_CONFIG must name the configuration file");
            return;
        }
        // Said outright, or Netty looks for the other libraries first, which takes a part of the start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        try {
            Path path = Path.of(file);
            AtomicReference<EdgeNode> serving = new AtomicReference<>();
            onHangup(() -> reload(serving.get(), path));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serving.get()), "stop"));
            String folder = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
            long begun = System.nanoTime();
            int rehearsed = Rehearsal.hold(Config.read(path), REHEARSED, REHEARSAL_MS, Path.of(folder));
            System.out.println("rehearsed with " + rehearsed + " requests in "
                + (System.nanoTime() - begun) / 1_000_000 + " ms");
            // The file is read again: a signal may have come meanwhile.
            EdgeNode node = new EdgeNode(Config.read(path));
            serving.set(node);
            node.start();
            System.out.println("serving on " + node.address());
        } catch (Config.Invalid e) {
            exit(1, e.getMessage());
        } catch (Exception e) {
            exit(1, "cannot start: " + e.getMessage());
        }
    }

    /**
     * Java has no public way to hear of a signal, and without a handler this one ends the JVM. The compiler's
     * word on this interface cannot be turned off; it is no lint.
     */
    private static void onHangup(Runnable then) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> then.run());
    }

    /** A file that cannot be used costs one line; the settings that the node has stay as they are. */
    private static void reload(EdgeNode node, Path file) {
        if (node == null) {
            // The file will be read when the node is made.
            return;
        }
        try {
            // One at a time: signals may follow each other faster than the file is read.
            synchronized (node) {
                node.reload(Config.read(file));
            }
            System.out.println("configuration read again");
        } catch (Exception e) {
            System.err.println("the configuration stays as it was: " + e.getMessage());
        }
    }

    /** Ends a planned restart with 0: the platform reads any other status as a failure of the node. */
    private static void stop(EdgeNode node) {
        try {
            if (node != null) {
                node.drain().get(1, TimeUnit.MINUTES);
            }
            Runtime.getRuntime().halt(0);
        } catch (Exception e) {
            System.err.println("the drain did not end: " + e);
        }
    }

    private static void exit(int status, String line) {
        System.err.println(line);
        Runtime.getRuntime().halt(status);
    }
}
