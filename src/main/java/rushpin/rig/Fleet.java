package rushpin.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The nodes of a fleet, each with its files, and what is done to many of them at once. */
final class Fleet implements AutoCloseable {
    private static final int STEP_S = 120;

    /** Something done to a node. */
    interface Step {
        void on(FleetNode node) throws Exception;
    }

    final List<FleetNode> nodes = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread made = new Thread(work, "fleet");
        made.setDaemon(true);
        return made;
    });

    /**
     * Makes nodes and writes their files; starts none.
     *
     * @param head what a node's operator file begins with, by the node's name; one pool for all that comes follows
     */
    Fleet(
            Yard yard,
            String pool,
            int count,
            FleetNode.Way way,
            List<RigConfig.Plan> plans,
            Function<String, String> head)
            throws Exception {
        for (int i = 0; i < count; i++) {
            FleetNode node = new FleetNode(i, way, yard.folder);
            nodes.add(node);
            node.configure(
                    yard.write(
                            node.name + ".json",
                            RigConfig.json(
                                    node.name,
                                    node.address.getAddress().getHostAddress() + ":" + node.address.getPort(),
                                    i,
                                    512,
                                    count,
                                    yard.discovery(pool),
                                    yard.counter,
                                    plans)),
                    yard.write(
                            node.name + ".toml",
                            head.apply(node.name) + "\n[[pool]]\nname = \"" + pool
                                    + "\"\nsettings = \"platform\"\n\n[[route]]\npool = \"" + pool + "\"\n"));
        }
    }

    /** Does something beside whoever asks. */
    Future<?> begin(FleetNode node, Step step) {
        return threads.submit(() -> {
            step.on(node);
            return null;
        });
    }

    /** Does something to some nodes at once and waits for all. */
    void all(List<FleetNode> some, Step step) throws Exception {
        await(some.stream().map(node -> begin(node, step)).toList());
    }

    /** Where what is done beside may run for long. */
    Executor threads() {
        return threads;
    }

    static void await(List<? extends Future<?>> running) throws Exception {
        for (Future<?> one : running) {
            one.get(STEP_S, TimeUnit.SECONDS);
        }
    }

    boolean isHealthy() {
        return nodes.stream().allMatch(FleetNode::isHealthy);
    }

    @Override
    public void close() {
        nodes.forEach(FleetNode::close);
        threads.shutdownNow();
    }
}
