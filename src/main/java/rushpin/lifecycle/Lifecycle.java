package rushpin.lifecycle;

/**
 * The state machine of a process from its start to its end. Time, in nanoseconds, and events are arguments; actions go
 * out through {@link Port}. One thread at a time; no I/O.
 *
 * <p>The process is live until it is {@link State#STOPPED}, and ready while it is {@link State#READY}. The two differ:
 * a node that drains is live but accepts nothing new.
 */
public final class Lifecycle {
    /** The states, in the order in which they can come. */
    public enum State {
        /** Reading the configuration. */
        STARTING,
        /** Running warm-up requests; not listening yet. */
        WARMING_UP,
        /** Serving. */
        READY,
        /** Another process accepts on the same socket; this one answers the requests it has. */
        HANDING_OVER,
        /** Terminating without a successor: connections are still accepted for the grace period. */
        DRAINING,
        /** Ended. */
        STOPPED
    }

    /**
     * Bounds on how long states last, nanoseconds.
     *
     * @param grace how long connections are accepted after the drain began
     * @param maxDrain how long a drain or a hand-over lasts at most
     */
    public record Bounds(long grace, long maxDrain) {}

    /** The actions of the process. */
    public interface Port {
        /** Closes each connection after its next answer, and fails health checks. */
        void closeAfterAnswers();

        /** Stops accepting connections; closes those without a request if {@code idleToo}. */
        void stopAccepting(boolean idleToo);

        /** Calls {@link Lifecycle#onTimer} after a delay in nanoseconds. */
        void wakeAfter(long delay);

        /** Ends the process; {@code cutConnections} is 0 after a complete drain. */
        void stopped(int cutConnections);
    }

    private final Bounds bounds;
    private final Port port;
    private boolean shared;
    private State state = State.STARTING;
    private long enteredAt;
    private boolean stoppedAccepting;

    /** Creates the state machine; {@code shared} if another process may accept on the same socket. */
    public Lifecycle(Bounds bounds, boolean shared, Port port, long now) {
        this.bounds = bounds;
        this.shared = shared;
        this.port = port;
        enteredAt = now;
    }

    /** Sets whether another process accepts on the same socket. */
    public void setShared(boolean socketShared) {
        shared = socketShared;
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Returns whether new clients are accepted. */
    public boolean isReady() {
        return state == State.READY;
    }

    /** Notes that the warm-up starts. */
    public void warmingUp(long now) {
        if (state == State.STARTING) {
            enter(State.WARMING_UP, now);
        }
    }

    /** Notes that the process listens and serves. */
    public void serving(long now) {
        if (state == State.STARTING || state == State.WARMING_UP) {
            enter(State.READY, now);
        }
    }

    /**
     * Starts the drain or hand-over. A second call changes nothing, because open requests still have to be answered.
     */
    public void terminate(long now, int connections) {
        switch (state) {
            case STARTING, WARMING_UP -> stop(now, 0);
            case READY -> {
                enter(shared ? State.HANDING_OVER : State.DRAINING, now);
                port.closeAfterAnswers();
                if (shared) {
                    port.stopAccepting(false);
                    // A connection from the backlog may have been accepted just now; it is not in the count yet.
                    port.wakeAfter(0);
                } else {
                    port.wakeAfter(bounds.grace);
                    onConnections(now, connections);
                }
            }
            default -> {}
        }
    }

    /** Handles the timer set by {@link Port#wakeAfter}. */
    public void onTimer(long now, int connections) {
        boolean draining = state == State.DRAINING || state == State.HANDING_OVER;
        if (!draining) {
            return;
        }
        long age = now - enteredAt;
        if (!stoppedAccepting && age >= bounds.grace) {
            stoppedAccepting = true;
            port.stopAccepting(true);
            // A connection from the backlog may have been accepted just now; it is not in the count yet.
            port.wakeAfter(0);
            return;
        }
        if (age >= bounds.maxDrain) {
            stop(now, connections);
            return;
        }
        onConnections(now, connections);
        if (state != State.STOPPED) {
            port.wakeAfter(stoppedAccepting ? bounds.maxDrain - age : bounds.grace - age);
        }
    }

    /** Handles a change of the number of open connections. */
    public void onConnections(long now, int open) {
        boolean draining = state == State.DRAINING && stoppedAccepting || state == State.HANDING_OVER;
        if (open == 0 && draining) {
            stop(now, 0);
        }
    }

    private void enter(State next, long now) {
        state = next;
        enteredAt = now;
    }

    private void stop(long now, int cut) {
        if (state != State.STOPPED) {
            enter(State.STOPPED, now);
            port.stopped(cut);
        }
    }
}
