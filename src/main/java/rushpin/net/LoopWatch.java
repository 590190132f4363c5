package rushpin.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * What an event loop has read of its sockets. Each pass of a loop polls the sockets, reads those that are ready and then runs
 * tasks. What had arrived at a socket before a poll has been read once that pass has read its sockets; what has arrived since
 * may still lie in the kernel, for as long as the loop was slow, the process was stopped or the machine gave it no core.
 *
 * <p>Times are {@link System#nanoTime}. Bounds: tasks that wait are bounded by the requests that are open. Called on the
 * loop, but for {@link #unread}.
 */
public final class LoopWatch {
    private long polledAt;
    private long passes;
    private volatile long readUntil;
    private final Executor tasks;
    private List<Runnable> waiting = new ArrayList<>();
    private List<Runnable> due = List.of();

    /** A loop that begins at a moment; {@code tasks} runs what is given to it behind all that it has. */
    LoopWatch(long now, Executor tasks) {
        this.tasks = tasks;
        polledAt = now;
        readUntil = now;
    }

    /** The watch of a loop that belongs to a {@link WatchedLoopGroup}. */
    public static LoopWatch of(EventLoop loop) {
        if (loop.parent() instanceof WatchedLoopGroup group) {
            return group.watch();
        }
        throw new IllegalArgumentException("a loop of " + loop.parent() + " reports to no watch");
    }

    /** A pass begins: the sockets are polled from now on. */
    void pollBegins(long now) {
        polledAt = now;
        passes++;
        if (!waiting.isEmpty()) {
            due = waiting;
            waiting = new ArrayList<>();
        }
    }

    /** All sockets that were ready in this pass have been read. */
    void socketsRead() {
        readUntil = polledAt;
        if (!due.isEmpty()) {
            // The end of a connection that was read is told by a task: those that wait are to come behind it.
            List<Runnable> now = due;
            due = List.of();
            tasks.execute(() -> run(now));
        }
    }

    private static void run(List<Runnable> due) {
        for (Runnable task : due) {
            try {
                task.run();
            } catch (RuntimeException e) {
                // One task's trouble must not end the loop, nor keep the others from running.
                ErrorLog.report("what waited for the sockets to be read", e);
            }
        }
    }

    /** Whether a task waits for the next pass, so that the loop may not block. */
    boolean isAwaited() {
        return !waiting.isEmpty();
    }

    /** When this pass began. */
    long polledAt() {
        return polledAt;
    }

    /** How many passes have begun. */
    long passes() {
        return passes;
    }

    /** What had arrived before this moment has been read; the sockets must have been polled since. */
    long readUntil() {
        return readUntil;
    }

    /** For how long, at most, something that has arrived may lie unread, nanoseconds; from any thread. */
    public long unread() {
        return System.nanoTime() - readUntil;
    }

    /** Runs a task on the loop once the sockets have been polled anew, those that were ready read and their ends told. */
    public void afterNextLook(Runnable task) {
        waiting.add(task);
    }
}
