package rushpin.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;
import rushpin.net.OpenRequest;
import rushpin.traffic.Allowance;
import rushpin.traffic.Entry;
import rushpin.traffic.Recorder;

/**
 * Follows a pool's requests for the records, on the pool's loop. What it holds is bounded by the requests that are open; what
 * is beyond the allowed number a second is counted and not followed.
 */
final class Tap {
    private final Recorder recorder;
    private final String node, pool;
    private final Allowance allowance;
    /** Unix time in microseconds at nanosecond 0 of the loop's clock, as it was when this began. */
    private final long base;

    private final Map<OpenRequest, Sketch> open = new HashMap<>();

    private static final class Sketch {
        final long came;
        final List<Entry.Try> tries = new ArrayList<>(2);
        Entry.End end;
        long sentAt, took;
        String server;
        double trueUnits;

        Sketch(long came) {
            this.came = came;
        }
    }

    /** {@code wallMs} is the Unix time of {@code now}. */
    Tap(Recorder recorder, String node, String pool, int mostPerSecond, long wallMs, long now) {
        this.recorder = recorder;
        this.node = node;
        this.pool = pool;
        allowance = new Allowance(mostPerSecond);
        base = wallMs * 1_000 - now / 1_000;
    }

    /** A request was taken. */
    void began(OpenRequest of, long now) {
        if (allowance.take(now)) {
            open.put(of, new Sketch(now));
        } else {
            recorder.drop();
        }
    }

    void sent(OpenRequest of, String server, long now) {
        Sketch sketch = open.get(of);
        if (sketch != null) {
            sketch.sentAt = now;
            sketch.server = server;
        }
    }

    void attemptEnded(OpenRequest of, Outcome outcome, double trueUnits, long now) {
        Sketch sketch = open.get(of);
        if (sketch != null && sketch.server != null) {
            if (sketch.tries.size() < Entry.MOST_TRIES) {
                sketch.tries.add(new Entry.Try(
                        sketch.server,
                        (sketch.sentAt - sketch.came) / 1_000,
                        (now - sketch.sentAt) / 1_000,
                        outcome.name()));
            }
            sketch.server = null;
            sketch.trueUnits = Math.max(sketch.trueUnits, trueUnits);
        }
    }

    /** Its one end for its client. */
    void answered(OpenRequest of, Entry.End end, long now) {
        Sketch sketch = open.get(of);
        if (sketch != null && sketch.end == null) {
            sketch.end = end;
            sketch.took = (now - sketch.came) / 1_000;
        }
    }

    /** It is over: answered, and no attempt is out. */
    void settled(OpenRequest of, List<String> plans) {
        Sketch sketch = open.remove(of);
        if (sketch != null && sketch.end != null) {
            Request r = of.request();
            recorder.offer(new Entry(
                    node,
                    pool,
                    base + sketch.came / 1_000,
                    of.className(),
                    plans.get(r.plan()),
                    r.customer(),
                    r.units(),
                    sketch.trueUnits,
                    Math.max(0, r.deadline() - sketch.came) / 1_000,
                    r.repeat(),
                    r.setSize(),
                    r.setFirst(),
                    sketch.end,
                    sketch.took,
                    sketch.tries,
                    0));
        }
    }

    /** Turned away before it was taken. */
    void turnedAway(OpenRequest of, List<String> plans, long now) {
        began(of, now);
        answered(of, Entry.End.REFUSED, now);
        settled(of, plans);
    }
}
