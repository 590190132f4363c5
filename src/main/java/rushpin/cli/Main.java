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
import rushpin.node.EdgeNode;
import rushpin.node.OperatorState;
import rushpin.node.PlainLogFormatter;
import rushpin.node.WarmUp;

/**
 * The command line: {@code serve} runs an edge node, {@code check} checks an operator's file, {@code rig} and
 * {@code model} run scenarios and simulations, {@code drill} connects the gateway to the simulator's adapter.
 */
public final class Main {
    /** The number of requests of the warm-up before a start. */
    private static final int WARM_UP_REQUESTS = 1_000;
    /** Milliseconds after which the warm-up ends even if requests are left. */
    private static final long WARM_UP_MS = 2_000;

    private static final String USAGE =
            "usage: rushpin.jar serve [--operator FILE] | check FILE | rig [NAME] | model | drill";

    private Main() {}

    /** Runs the command that the first argument names. */
    public static void main(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        switch (command) {
            case "serve" -> serve(System.getenv("GW_CONFIG"), operator(args));
            case "drill" -> Drill.main(args);
            case "check" -> Runtime.getRuntime().halt(check(args));
            case "model" -> Runtime.getRuntime().halt(ModelCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            case "rig" -> Runtime.getRuntime().halt(RigCommand.run(Arrays.copyOfRange(args, 1, args.length)));
            default -> exit(2, USAGE);
        }
    }

    /** The operator's file that {@code --operator} or else the environment names; null for none. */
    private static Path operator(String[] args) {
        if (args.length == 3 && args[1].equals("--operator")) {
            return Path.of(args[2]);
        }
        if (args.length != 1) {
            exit(2, USAGE);
        }
        String path = System.getenv("RUSHPIN_OPERATOR");
        return path == null || path.isBlank() ? null : Path.of(path);
    }

    /** Prints all faults of an operator's file; returns the exit code, 0 if there are none. */
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
        // Set explicitly: otherwise Netty looks for other logging libraries first, which slows the start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        PlainLogFormatter.install();
        try {
            Path path = Path.of(file);
            AtomicReference<EdgeNode> serving = new AtomicReference<>();
            AtomicReference<EdgeNode> started = new AtomicReference<>();
            AtomicInteger hangups = new AtomicInteger();
            AtomicReference<OperatorState> desk = new AtomicReference<>();
            AtomicReference<Config> running = new AtomicReference<>();
            onHangup(() -> {
                hangups.incrementAndGet();
                reload(started.get(), path, operator, desk.get(), running);
            });
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serving.get()), "stop"));
            String temporary = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
            Config first = Config.read(path);
            SocketAddress console = Config.console(first, System.getenv("GW_CONSOLE"));
            if (console != null) {
                desk.set(OperatorState.in(Path.of(temporary).resolve("rushpin")));
                // The console answers from here on, before the node is ready.
                System.out.println("console on " + new Console(console, desk.get(), serving::get).address());
            }
            if (operator != null) {
                // Faults are reported before the warm-up, not after it.
                OperatorFile.read(operator, first);
            }
            long warmUpStart = System.nanoTime();
            int requests = WarmUp.run(first, WARM_UP_REQUESTS, WARM_UP_MS, Path.of(temporary));
            System.out.println("rehearsed with " + requests + " requests in "
                    + (System.nanoTime() - warmUpStart) / 1_000_000 + " ms");
            // The file is read again, as a signal may have arrived during the warm-up. Later ones are handled at the
            // end.
            int hangupsBefore = hangups.get();
            Config config = Config.read(path);
            EdgeNode node =
                    new EdgeNode(config, operator == null ? null : OperatorFile.read(operator, config), desk.get());
            running.set(config);
            serving.set(node);
            node.start();
            System.out.println("serving on " + node.address());
            started.set(node);
            if (hangups.get() != hangupsBefore) {
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
     * Handles SIGHUP. Java has no public interface for signals, and without a handler SIGHUP ends the JVM. The
     * compiler's warning about the internal interface can't be suppressed.
     *
     * <p>A process that was started to ignore SIGHUP, as by nohup, goes on to ignore it; this is logged.
     */
    private static void onHangup(Runnable action) {
        sun.misc.SignalHandler previous = sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
        if (previous == sun.misc.SignalHandler.SIG_IGN) {
            System.out.println(
                    "SIGHUP is ignored, as this process was started so: no configuration will be read again");
        }
    }

    /** Reads the configuration again. If it can't be used, one line is logged and the running settings stay. */
    private static void reload(
            EdgeNode node, Path file, Path operator, OperatorState desk, AtomicReference<Config> running) {
        if (node == null) {
            // The file is read when the node has started.
            return;
        }
        try {
            // One reload at a time: signals may arrive faster than the file is read.
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

    /** Drains and ends with status 0: the platform takes any other status for a failure of the node. */
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
            System.err.println("the drain failed: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    private static void exit(int status, String line) {
        System.err.println(line);
        Runtime.getRuntime().halt(status);
    }
}
