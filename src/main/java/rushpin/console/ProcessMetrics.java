package rushpin.console;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The metrics of this process, in statsd's form: {@code NAME:VALUE|c} for counters since its start, {@code |g} for
 * gauges. Thread-safe: the pools' event loops write them, the console's thread reads them.
 *
 * <p>Bounds: {@value #MAX_CLASSES} classes; figures of further classes are not reported.
 */
public final class ProcessMetrics {
    private static final int MAX_CLASSES = 256;
    private static final String PREFIX = "node.";

    /** Counts how requests of one class ended, and their attempts. */
    public static final class ClassMetrics {
        private final AtomicLong ok = new AtomicLong();
        private final AtomicLong shed = new AtomicLong();
        private final AtomicLong errors = new AtomicLong();
        private final AtomicLong tries = new AtomicLong();

        /** Counts a request whose answer from an app server was passed on whole. */
        public void served() {
            ok.incrementAndGet();
        }

        /** Counts a refused request. */
        public void refused() {
            shed.incrementAndGet();
        }

        /** Counts a failed request. */
        public void failed() {
            errors.incrementAndGet();
        }

        /** Counts an attempt that was written whole to an app server. */
        public void tried() {
            tries.incrementAndGet();
        }
    }

    private final Map<String, ClassMetrics> classes = new ConcurrentSkipListMap<>();
    /** Takes the figures of classes beyond {@link #MAX_CLASSES}; not reported. */
    private final ClassMetrics rest = new ClassMetrics();
    /** By pool: the number of listed servers, and how many of them are avoided. */
    private final Map<String, int[]> servers = new ConcurrentHashMap<>();

    /** Requests taken and not completed. */
    private final AtomicLong active = new AtomicLong();
    /** Reloads of the configuration that were applied. */
    private final AtomicLong applied = new AtomicLong();
    /** Reloads of the configuration that were rejected. */
    private final AtomicLong rejected = new AtomicLong();

    /** The metrics of a class, which begin at 0. */
    public ClassMetrics of(String name) {
        ClassMetrics known = classes.get(name);
        if (known == null && classes.size() < MAX_CLASSES) {
            known = classes.computeIfAbsent(name, unused -> new ClassMetrics());
        }
        return known == null ? rest : known;
    }

    /** Changes the number of requests that are taken and not completed. */
    public void open(int change) {
        active.addAndGet(change);
    }

    /**
     * Sets how many app servers of a pool are listed, and how many of them are avoided, by operators or by the gateway.
     */
    public void servers(String pool, int listed, int avoided) {
        servers.put(pool, new int[] {listed, avoided});
    }

    /** Removes a pool that has ended. */
    public void forget(String pool) {
        servers.remove(pool);
    }

    /** Counts a reload of the configuration that was applied, or else rejected whole. */
    public void configured(boolean wasApplied) {
        (wasApplied ? applied : rejected).incrementAndGet();
    }

    /** All metrics, one line each. */
    public String lines() {
        StringBuilder text = new StringBuilder(1_024);
        classes.forEach((name, metrics) -> {
            line(text, "ok." + name, metrics.ok, 'c');
            line(text, "shed." + name, metrics.shed, 'c');
            line(text, "errors." + name, metrics.errors, 'c');
            line(text, "tries." + name, metrics.tries, 'c');
        });
        int listed = 0;
        int avoided = 0;
        for (int[] pool : servers.values()) {
            listed += pool[0];
            avoided += pool[1];
        }
        line(text, "active", active, 'g');
        line(text, "pool_size", new AtomicLong(listed), 'g');
        line(text, "pool_ejected", new AtomicLong(avoided), 'g');
        line(text, "config_applied", applied, 'c');
        line(text, "config_rejected", rejected, 'c');
        return text.toString();
    }

    private static void line(StringBuilder to, String name, AtomicLong value, char kind) {
        to.append(PREFIX)
                .append(name)
                .append(':')
                .append(value.get())
                .append('|')
                .append(kind)
                .append('\n');
    }
}
