package rushpin.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;
import rushpin.net.OpenRequest;
import rushpin.traffic.Entry;
import rushpin.traffic.PerSecondLimit;
import rushpin.traffic.Recorder;

/**
 * Collects a pool's requests for the traffic records, on the pool's loop. Its memory is bounded by the open requests;
 * those beyond the allowed number per second are counted as dropped and not recorded.
 */
final class RequestRecorder {
    private final Recorder recorder;
    private final String node;
    private final String pool;
    private final PerSecondLimit allowance;
    /** Unix time in microseconds at nanosecond 0 of the loop's clock, taken at the start. */
    private final long unixMicrosAtZero;

    private final Map<OpenRequest, Draft> drafts = new HashMap<>();

    /** A record whose request is not complete; times are nanoseconds of the loop's clock unless noted. */
    private static final class Draft {
        final long arrivedAt;
        final List<Entry.Try> tries = new ArrayList<>(2);
        Entry.End end;
        long sentAt;
        /** Microseconds from arrival to answer. */
        long took;

        String server;
        double trueUnits;

        Draft(long arrivedAt) {
            this.arrivedAt = arrivedAt;
        }
    }

    /** {@code wallMs} is the Unix time of {@code now}. */
    RequestRecorder(Recorder recorder, String node, String pool, int maxPerSecond, long wallMs, long now) {
        this.recorder = recorder;
        this.node = node;
        this.pool = pool;
        allowance = new PerSecondLimit(maxPerSecond);
        unixMicrosAtZero = wallMs * 1_000 - now / 1_000;
    }

    /** Starts to record a request that was received. */
    void started(OpenRequest request, long now) {
        if (allowance.take(now)) {
            drafts.put(request, new Draft(now));
        } else {
            recorder.drop();
        }
    }

    /** Records that an attempt was sent. */
    void sent(OpenRequest request, String server, long now) {
        Draft draft = drafts.get(request);
        if (draft != null) {
            draft.sentAt = now;
            draft.server = server;
        }
    }

    /** Records the end of the attempt that was sent last. */
    void attemptEnded(OpenRequest request, Outcome outcome, double trueUnits, long now) {
        Draft draft = drafts.get(request);
        if (draft != null && draft.server != null) {
            if (draft.tries.size() < Entry.MAX_TRIES) {
                draft.tries.add(new Entry.Try(
                        draft.server,
                        (draft.sentAt - draft.arrivedAt) / 1_000,
                        (now - draft.sentAt) / 1_000,
                        outcome.name()));
            }
            draft.server = null;
            draft.trueUnits = Math.max(draft.trueUnits, trueUnits);
        }
    }

    /** Records how the request ended for its client. */
    void answered(OpenRequest request, Entry.End end, long now) {
        Draft draft = drafts.get(request);
        if (draft != null && draft.end == null) {
            draft.end = end;
            draft.took = (now - draft.arrivedAt) / 1_000;
        }
    }

    /** Writes the record of a request that is answered and has no attempt in flight. */
    void completed(OpenRequest request, List<String> plans) {
        Draft draft = drafts.remove(request);
        if (draft != null && draft.end != null) {
            Request details = request.request();
            recorder.offer(new Entry(
                    node,
                    pool,
                    unixMicrosAtZero + draft.arrivedAt / 1_000,
                    request.className(),
                    plans.get(details.plan()),
                    details.customer(),
                    details.units(),
                    draft.trueUnits,
                    Math.max(0, details.deadline() - draft.arrivedAt) / 1_000,
                    details.repeat(),
                    details.setSize(),
                    details.setFirst(),
                    draft.end,
                    draft.took,
                    draft.tries,
                    0));
        }
    }

    /** Records a request that was refused on arrival. */
    void refused(OpenRequest request, List<String> plans, long now) {
        started(request, now);
        answered(request, Entry.End.REFUSED, now);
        completed(request, plans);
    }
}
