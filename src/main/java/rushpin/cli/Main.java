package rushpin.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import rushpin.config.Config;
import rushpin.config.OperatorConfig;
import rushpin.config.OperatorFile;
import rushpin.drill.Drill;
import rushpin.node.Console;
import rushpin.node.Desk;
import rushpin.node.EdgeNode;
import rushpin.node.LibraryLines;
import rushpin.node.Rehearsal;

/** The program: {@code serve} runs a real edge node, {@code drill} the decisions on the simulator's wire. */
public final class Main {
    /** How long a start's rehearsal is: so many requests, or so many milliseconds where these take longer. */
    private static final int REHEARSED = 1_000;

    private static final long REHEARSAL_MS = 2_000;
    private static final String USAGE =
            "usage: rushpin.jar serve [--operator FILE] | check FILE | rig [NAME] | model | drill";

    private Main() {}

    /** Picks the word. */
    public static void main(String[] args) {
        String word = args.length == 0 ? "" : args[0];
        switch (word) {
            case "serve" -> serve(System.getenv("GW_CONFIG"), operator(args));
            case "drill" -> Drill.main(args);
            case "check" -> Runtime.getRuntime().halt(check(args));
            case "model" -> Runtime.getRuntime().halt(ModelCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            case "rig" -> Runtime.getRuntime().halt(RigCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            default -> exit(2, USAGE);
        }
    }

    /** The operator's file that a start names, or null. */
    private static Path operator(String[] args) {
        if (args.length == 3 && args[1].equals("--operator")) {
            return Path.of(args[2]);
        }
        if (args.length != 1) {
            exit(2, USAGE);
        }
        String named = System.getenv("RUSHPIN_OPERATOR");
        return named == null || named.isBlank() ? null : Path.of(named);
    }

    /** Prints all faults of an operator's file; 0 if there are none. */
    private static int check(String[] args) {
        if (args.length != 2) {
            System.err.println(USAGE);
            return 2;
        }
        try {
            String platform = System.getenv("GW_CONFIG");
            OperatorConfig read = OperatorFile.read(
                    Path.of(args[1]), platform == null || platform.isEmpty() ? null : Config.read(Path.of(platform)));
            System.out.println(args[1] + ": good, " + read.pools().size() + " pools, "
                    + read.routes().size() + " routes");
            return 0;
        } catch (OperatorConfig.Faulty e) {
            e.faults().forEach(fault -> System.out.println(args[1] + ": " + fault));
            System.out.println(args[1] + ": " + e.faults().size() + (e.faults().size() == 1 ? " fault" : " faults"));
            return 1;
        } catch (Config.Invalid e) {
            System.out.println("GW_CONFIG: " + e.getMessage());
            return 1;
        }
    }

    private static void serve(String file, Path operator) {
        if (file == null || file.isEmpty()) {
            exit(2, "GW_CONFIG must name the configuration file");
            return;
        }
        // Said outright, or Netty looks for the other libraries first, which takes a part of the start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LibraryLines.plain();
        try {
            Path path = Path.of(file);
            AtomicReference<EdgeNode> serving = new AtomicReference<>(), started = new AtomicReference<>();
            AtomicInteger hangups = new AtomicInteger();
            AtomicReference<Desk> desk = new AtomicReference<>();
            AtomicReference<Config> running = new AtomicReference<>();
            onHangup(() -> {
                hangups.incrementAndGet();
                reload(started.get(), path, operator, desk.get(), running);
            });
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serving.get()), "stop"));
            String folder = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
            Config first = Config.read(path);
            SocketAddress console = Config.console(first, System.getenv("GW_CONSOLE"));
            if (console != null) {
                desk.set(Desk.in(Path.of(folder).resolve("rushpin")));
                // Operators are answered from the start on, though it be that nothing is ready.
                System.out.println("console on " + new Console(console, desk.get(), serving::get).address());
            }
            if (operator != null) {
                // A fault is told before the rehearsal, not after it.
                OperatorFile.read(operator, first);
            }
            long begun = System.nanoTime();
            int rehearsed = Rehearsal.hold(first, REHEARSED, REHEARSAL_MS, Path.of(folder));
            System.out.println(
                    "rehearsed with " + rehearsed + " requests in " + (System.nanoTime() - begun) / 1_000_000 + " ms");
            // The file is read again: a signal may have come meanwhile. One that comes from now on is heard at the end.
            int before = hangups.get();
            Config config = Config.read(path);
            EdgeNode node =
                    new EdgeNode(config, operator == null ? null : OperatorFile.read(operator, config), desk.get());
            running.set(config);
            serving.set(node);
            node.start();
            System.out.println("serving on " + node.address());
            started.set(node);
            if (hangups.get() != before) {
                reload(node, path, operator, desk.get(), running);
            }
        } catch (Config.Invalid e) {
            exit(1, e.getMessage());
        } catch (OperatorConfig.Faulty e) {
            e.faults().forEach(fault -> System.err.println(operator + ": " + fault));
            exit(1, operator + " cannot be used");
        } catch (Exception e) {
            exit(1, "cannot start: " + e.getMessage());
        }
    }

    /**
     * Java has no public way to hear of a signal, and without a handler this one ends the JVM. The compiler's
     * word on this interface cannot be turned off; it is no lint.
     *
     * <p>A signal that the process was started to ignore, as by nohup, stays ignored by the JVM: that is told.
     */
    private static void onHangup(Runnable then) {
        sun.misc.SignalHandler before = sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> then.run());
        if (before == sun.misc.SignalHandler.SIG_IGN) {
            System.out.println(
                    "SIGHUP is ignored, as this process was started so: no configuration will be read again");
        }
    }

    /** A file that cannot be used costs one line; the settings that the node has stay as they are. */
    private static void reload(EdgeNode node, Path file, Path operator, Desk desk, AtomicReference<Config> running) {
        if (node == null) {
            // It will be read when the node has started.
            return;
        }
        try {
            // One at a time: signals may follow each other faster than the file is read.
            synchronized (node) {
                Config config = Config.readAgain(file, running.get());
                node.reload(config, operator == null ? null : OperatorFile.read(operator, config));
                running.set(config);
            }
            if (desk != null) {
                desk.configured(true);
            }
            System.out.println("configuration read again");
        } catch (Exception e) {
            if (desk != null) {
                desk.configured(false);
            }
            System.err.println("the configuration stays as it was: " + e.getMessage());
        }
    }

    /** Ends a planned restart with 0: the platform reads any other status as a failure of the node. */
    private static void stop(EdgeNode node) {
        try {
            if (node != null) {
                int cut = node.drain().get(2, TimeUnit.MINUTES);
                if (cut > 0) {
                    System.err.println("the drain has lasted too long: " + cut + " connections are cut");
                }
            }
            Runtime.getRuntime().halt(0);
        } catch (Exception e) {
            System.err.println("the drain did not end: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    private static void exit(int status, String line) {
        System.err.println(line);
        Runtime.getRuntime().halt(status);
    }
}
