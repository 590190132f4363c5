package rushpin.lifecycle;

/**
 * Detects that the process was stopped for a while: by SIGSTOP, a suspended machine or a host that gave it no CPU. No
 * I/O; confined to one thread.
 */
public final class StallDetector {
    private final long minStall;
    private long lastHeartbeat;

    /** Expects heartbeats from now on; {@code minStall} nanoseconds or more without one are a stall. */
    public StallDetector(long minStall, long now) {
        this.minStall = minStall;
        lastHeartbeat = now;
    }

    /** Notes that the process runs now. Returns the length of the stall that has ended, nanoseconds; 0 for none. */
    public long heartbeat(long now) {
        long gap = now - lastHeartbeat;
        lastHeartbeat = Math.max(lastHeartbeat, now);
        return gap >= minStall ? gap : 0;
    }
}
