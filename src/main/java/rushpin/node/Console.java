package rushpin.node;

import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import rushpin.console.ConsoleServer;

/** Answers operators' console calls, from the start of the process on. */
public final class Console implements ConsoleServer.CommandHandler, AutoCloseable {
    private static final String DONE = "done\n";

    private final OperatorState operatorState;
    private final Supplier<EdgeNode> node;
    private final ConsoleServer server;

    /** Listens from now on; {@code node} returns null until a node serves. */
    public Console(SocketAddress address, OperatorState operatorState, Supplier<EdgeNode> node)
            throws InterruptedException {
        this.operatorState = operatorState;
        this.node = node;
        server = new ConsoleServer(address, this);
    }

    /** Returns the address it listens on. */
    public SocketAddress address() {
        return server.address();
    }

    @Override
    public CompletionStage<String> call(String line) {
        String[] words = line.split("\\s+");
        EdgeNode serving = node.get();
        return switch (words.length + words[0]) {
            case "1READY" ->
                (serving == null ? CompletableFuture.completedFuture(false) : serving.takesClients())
                        .thenApply(ready -> ready ? DONE : "error not yet, or no more\n");
            case "1STATS" ->
                CompletableFuture.completedFuture(operatorState.counts().lines() + "end\n");
            case "2DISABLE" -> withhold(serving, words[1], true);
            case "2ENABLE" -> withhold(serving, words[1], false);
            default ->
                CompletableFuture.completedFuture(
                        "error no such call; there are READY, STATS, DISABLE ID, ENABLE ID\n");
        };
    }

    private static CompletionStage<String> withhold(EdgeNode serving, String id, boolean out) {
        return serving == null
                ? CompletableFuture.completedFuture("error not yet: nothing is listed\n")
                : serving.withhold(id, out)
                        .thenApply(known -> known ? DONE : "error no app server of that id was listed\n");
    }

    @Override
    public void close() {
        server.close();
    }
}
