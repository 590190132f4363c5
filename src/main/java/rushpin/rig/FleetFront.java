package rushpin.rig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;

/** The front of a fleet: deals each customer over its set, hears late of deaths, takes a node in when it is healthy. */
final class FleetFront implements Load.Nodes, AutoCloseable {
    static final int SPREAD = 3;

    private final List<FleetNode> nodes;
    private final AtomicIntegerArray in;
    private final SplittableRandom random;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread made = new Thread(work, "front");
        made.setDaemon(true);
        return made;
    });

    FleetFront(List<FleetNode> nodes, long seed) {
        this.nodes = nodes;
        random = new SplittableRandom(seed);
        in = new AtomicIntegerArray(nodes.size());
        for (int i = 0; i < nodes.size(); i++) {
            in.set(i, 1);
        }
    }

    private int first(int customer) {
        return Math.floorMod(customer * 7, nodes.size());
    }

    @Override
    public InetSocketAddress pick(int customer, SplittableRandom chance) {
        int spread = Math.min(SPREAD, nodes.size()), start = chance.nextInt(spread);
        for (int i = 0; i < spread; i++) {
            int at = (first(customer) + (start + i) % spread) % nodes.size();
            if (in.get(at) == 1) {
                return nodes.get(at).address;
            }
        }
        return nodes.get((first(customer) + start) % nodes.size()).address;
    }

    @Override
    public String set(int customer) {
        return "spread=" + Math.min(SPREAD, nodes.size()) + ",first=" + first(customer);
    }

    @Override
    public boolean killed(InetSocketAddress node, long from, long until) {
        return nodes.stream()
                .anyMatch(each -> each.address.equals(node) && (each.killed(from, until) || each.frozen(from, until)));
    }

    /** A node is dead: the front hears of it between 0.8 and 4 s later. */
    void died(FleetNode node) {
        out(node, random.nextLong(820, 4_000));
    }

    /** A node is about to end: new connections go on coming for 0.2 to 0.4 s. */
    void ends(FleetNode node) {
        out(node, random.nextLong(200, 400));
    }

    private void out(FleetNode node, long afterMs) {
        thread.schedule(
                () -> {
                    in.set(node.number, 0);
                    look(node);
                },
                afterMs,
                TimeUnit.MILLISECONDS);
    }

    private void look(FleetNode node) {
        if (node.isHealthy()) {
            in.set(node.number, 1);
        } else {
            thread.schedule(() -> look(node), 50, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
