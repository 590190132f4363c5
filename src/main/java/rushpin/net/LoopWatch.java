package rushpin.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Tracks up to which time an event loop has read its sockets. Each pass of a loop polls the sockets, reads the ready
 * ones and then runs tasks. What had arrived at a socket before a poll is read once that pass has read its sockets;
 * what arrived later may still be in the kernel, for as long as the loop was slow, the process was stopped or it had no
 * CPU core.
 *
 * <p>Times are {@link System#nanoTime}. Bounds: deferred tasks are bounded by the open requests. Called on the loop,
 * except for {@link #unreadNanos}.
 */
public final class LoopWatch {
    private long polledAt;
    private long passes;
    private volatile long readUntil;
    private final Executor executor;
    private List<Runnable> deferred = new ArrayList<>();
    private List<Runnable> due = List.of();

    /** For a loop that starts now; {@code executor} runs a task after those it already has. */
    LoopWatch(long now, Executor executor) {
        this.executor = executor;
        polledAt = now;
        readUntil = now;
    }

    /** The watch of a loop, which must belong to a {@link WatchedLoopGroup}. */
    public static LoopWatch of(EventLoop loop) {
        if (loop.parent() instanceof WatchedLoopGroup group) {
            return group.watch();
        }
        throw new IllegalArgumentException("the event loop's group " + loop.parent() + " is not a WatchedLoopGroup");
    }

    /** Called when a pass begins to poll the sockets. */
    void pollBegins(long now) {
        polledAt = now;
        passes++;
        if (!deferred.isEmpty()) {
            due = deferred;
            deferred = new ArrayList<>();
        }
    }

    /** Called when all sockets that were ready in this pass have been read. */
    void socketsRead() {
        readUntil = polledAt;
        if (!due.isEmpty()) {
            // A task announces the close of a connection that was read: deferred tasks have to run after it.
            List<Runnable> ready = due;
            due = List.of();
            executor.execute(() -> run(ready));
        }
    }

    private static void run(List<Runnable> ready) {
        for (Runnable task : ready) {
            try {
                task.run();
            } catch (RuntimeException e) {
                // A failing task must not end the loop, nor keep the others from running.
                ErrorLog.report("a task deferred until the sockets were read failed", e);
            }
        }
    }

    /** Whether a task is deferred to the next pass, so that the loop must not block. */
    boolean isAwaited() {
        return !deferred.isEmpty();
    }

    /** When this pass began to poll. */
    long polledAt() {
        return polledAt;
    }

    /** The number of passes begun. */
    long passes() {
        return passes;
    }

    /** All bytes that arrived before this time, at sockets that are polled, have been read. */
    long readUntil() {
        return readUntil;
    }

    /** The maximum time, in nanoseconds, for which arrived bytes may be unread; may be called from any thread. */
    public long unreadNanos() {
        return System.nanoTime() - readUntil;
    }

    /** Runs a task on the loop once the sockets were polled again, the ready ones read and closes announced. */
    public void afterNextPoll(Runnable task) {
        deferred.add(task);
    }
}
