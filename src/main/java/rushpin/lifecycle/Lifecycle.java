package rushpin.lifecycle;

/**
 * What a process is doing between its start and its end, and what comes next. Time and events are arguments; what is to
 * be done goes out through {@link Port}. One thread at a time; no I/O.
 *
 * <p>Liveness is that the process is not {@link State#STOPPED}; readiness, that it is {@link State#READY}. Both are told
 * apart: a node that drains is alive and takes nothing new.
 */
public final class Lifecycle {
    /** The states, in the order in which they can come. */
    public enum State {
        /** Reads its configuration. */
        STARTING,
        /** Plays made-up requests; listens nowhere. */
        REHEARSING,
        /** Serves. */
        READY,
        /** Another process accepts at the same socket; what this one has is answered. */
        HANDING_OVER,
        /** Told to end, with nobody in its place: connections still come for a moment. */
        DRAINING,
        /** Over. */
        STOPPED
    }

    /**
     * How long states last at most, nanoseconds.
     *
     * @param grace for how long connections go on coming after the word to drain
     * @param drain how long a drain or a hand-over lasts in all
     */
    public record Bounds(long grace, long drain) {}

    /** What the process is to do. */
    public interface Port {
        /** No connection is kept after its next answer, and health says no. */
        void closeAfterAnswers();

        /** No connection is accepted any more; those without a request are closed if {@code idleToo}. */
        void stopAccepting(boolean idleToo);

        /** Call {@link Lifecycle#time} again after a span. */
        void wake(long span);

        /** The end: how many connections were cut, 0 after a whole drain. */
        void end(int cut);
    }

    private final Bounds bounds;
    private final Port port;
    private boolean shared;
    private State state = State.STARTING;
    private long since;
    private boolean closed;

    /** A process that starts at a moment; {@code shared} if its listening socket is another's too. */
    public Lifecycle(Bounds bounds, boolean shared, Port port, long now) {
        this.bounds = bounds;
        this.shared = shared;
        this.port = port;
        since = now;
    }

    /** From now on its listening socket is another's too, or is so no more. */
    public void shared(boolean now) {
        shared = now;
    }

    /** What it is doing. */
    public State state() {
        return state;
    }

    /** Whether new clients should come. */
    public boolean isReady() {
        return state == State.READY;
    }

    /** The rehearsal begins. */
    public void rehearses(long now) {
        if (state == State.STARTING) {
            enter(State.REHEARSING, now);
        }
    }

    /** It listens and serves. */
    public void serves(long now) {
        if (state == State.STARTING || state == State.REHEARSING) {
            enter(State.READY, now);
        }
    }

    /** The word to end. A second one changes nothing: what was taken is still to be answered. */
    public void terminate(long now, int connections) {
        switch (state) {
            case STARTING, REHEARSING -> stop(now, 0);
            case READY -> {
                enter(shared ? State.HANDING_OVER : State.DRAINING, now);
                port.closeAfterAnswers();
                if (shared) {
                    port.stopAccepting(false);
                    // What was waiting may have been taken just now, and is not in the count.
                    port.wake(0);
                } else {
                    port.wake(bounds.grace);
                    connections(now, connections);
                }
            }
            default -> {}
        }
    }

    /** Time has passed. */
    public void time(long now, int connections) {
        boolean draining = state == State.DRAINING || state == State.HANDING_OVER;
        if (!draining) {
            return;
        }
        long age = now - since;
        if (!closed && age >= bounds.grace) {
            closed = true;
            port.stopAccepting(true);
            // What was waiting may have been taken just now, and is not in the count.
            port.wake(0);
            return;
        }
        if (age >= bounds.drain) {
            stop(now, connections);
            return;
        }
        connections(now, connections);
        if (state != State.STOPPED) {
            port.wake(closed ? bounds.drain - age : bounds.grace - age);
        }
    }

    /** So many connections are open now. */
    public void connections(long now, int open) {
        boolean draining = state == State.DRAINING && closed || state == State.HANDING_OVER;
        if (open == 0 && draining) {
            stop(now, 0);
        }
    }

    private void enter(State next, long now) {
        state = next;
        since = now;
    }

    private void stop(long now, int cut) {
        if (state != State.STOPPED) {
            enter(State.STOPPED, now);
            port.end(cut);
        }
    }
}
