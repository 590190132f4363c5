package thistlefall.node;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import thistlefall.drill.Drill;

/** The program: {@code serve} runs a real edge node, {@code drill} the decisions on the simulator's wire. */
public final class Main {
    private Main() {
    }

    /** Picks the word. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve(System.getenv("GW_CONFIG"));
            case "drill" -> Drill.main(args);
            default -> exit(2, "usage: thistlefall.jar serve|drill");
        }
    }

    private static void serve(String file) {
        if (file == null || file.isEmpty()) {
            exit(2, "GW_CONFIG must name the configuration file");
            return;
        }
        try {
            EdgeNode node = new EdgeNode(Config.read(Path.of(file)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
            node.start();
            System.out.println("serving on " + node.address());
        } catch (Config.Invalid e) {
            exit(1, e.getMessage());
        } catch (Exception e) {
            exit(1, "cannot start: " + e.getMessage());
        }
    }

    /** Ends a planned restart with 0: the platform reads any other status as a failure of the node. */
    private static void stop(EdgeNode node) {
        try {
            node.drain().get(1, TimeUnit.MINUTES);
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
