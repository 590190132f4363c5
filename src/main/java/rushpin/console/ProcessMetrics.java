package rushpin.console;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What a process reports of itself, in the form of statsd: {@code NAME:VALUE|c} for counts since its start, {@code |g}
 * for what is now. Written by the pools' loops, read by the console's thread at any moment.
 *
 * <p>Bounds: one entry for each class that the settings have named; beyond {@value #MOST_CLASSES} nothing is kept.
 */
public final class ProcessMetrics {
    private static final int MOST_CLASSES = 256;
    private static final String PREFIX = "node.";

    /** How requests of one class ended, and how often they were tried. */
    public static final class ClassMetrics {
        private final AtomicLong ok = new AtomicLong(),
                shed = new AtomicLong(),
                errors = new AtomicLong(),
                tries = new AtomicLong();

        /** A whole answer of an app server was passed on. */
        public void served() {
            ok.incrementAndGet();
        }

        /** It was refused. */
        public void refused() {
            shed.incrementAndGet();
        }

        /** It failed. */
        public void failed() {
            errors.incrementAndGet();
        }

        /** An attempt was written whole to an app server. */
        public void tried() {
            tries.incrementAndGet();
        }
    }

    private final Map<String, ClassMetrics> classes = new ConcurrentSkipListMap<>();
    private final ClassMetrics rest = new ClassMetrics();
    /** For each pool how many servers are listed and how many of them avoided. */
    private final Map<String, int[]> servers = new ConcurrentHashMap<>();

    private final AtomicLong active = new AtomicLong(), applied = new AtomicLong(), rejected = new AtomicLong();

    /** The figures of a class, which begin at 0. */
    public ClassMetrics of(String name) {
        ClassMetrics known = classes.get(name);
        if (known == null && classes.size() < MOST_CLASSES) {
            known = classes.computeIfAbsent(name, n -> new ClassMetrics());
        }
        return known == null ? rest : known;
    }

    /** So many requests more are taken and not ended. */
    public void open(int by) {
        active.addAndGet(by);
    }

    /** So many app servers of a pool are listed, and so many of these avoided, by hand or by choice. */
    public void servers(String pool, int inList, int avoid) {
        servers.put(pool, new int[] {inList, avoid});
    }

    /** A pool is no more. */
    public void forget(String pool) {
        servers.remove(pool);
    }

    /** A configuration was read again: taken, or turned down whole. */
    public void configured(boolean taken) {
        (taken ? applied : rejected).incrementAndGet();
    }

    /** All figures, a line each. */
    public String lines() {
        StringBuilder text = new StringBuilder(1_024);
        classes.forEach((name, of) -> {
            line(text, "ok." + name, of.ok, 'c');
            line(text, "shed." + name, of.shed, 'c');
            line(text, "errors." + name, of.errors, 'c');
            line(text, "tries." + name, of.tries, 'c');
        });
        int listed = 0, avoided = 0;
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
