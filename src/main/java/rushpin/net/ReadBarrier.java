package rushpin.net;

import java.util.function.BooleanSupplier;

/**
 * Delays a write until what had arrived before it has been read: a client's disconnect or a server's drain decides
 * whether it may be written at all. After a stall of the process, it waits until the sockets have been read once more,
 * however many passes of the loop that takes.
 *
 * <p>Where every pass of the loop is slow, something is always unread. So after {@value #MAX_POLLS} polls the write is
 * done if nothing has been unread for longer than {@code maxUnreadNanos}; what has been unread for longer is always
 * read first, and that wait ends with the request itself.
 */
public final class ReadBarrier {
    private static final int MAX_POLLS = 2;

    private final LoopWatch own;
    private final LoopWatch clients;
    private final long toleratedNanos;
    private final long maxUnreadNanos;

    /**
     * Creates the barrier of one pool.
     *
     * @param own the watch of the pool's loop
     * @param clients the watch of the loop that reads its clients, which may be the same
     * @param toleratedNanos bytes unread for no longer than this need not be read first
     * @param maxUnreadNanos bytes unread for longer than this always have to be read first
     */
    public ReadBarrier(LoopWatch own, LoopWatch clients, long toleratedNanos, long maxUnreadNanos) {
        this.own = own;
        this.clients = clients;
        this.toleratedNanos = toleratedNanos;
        this.maxUnreadNanos = maxUnreadNanos;
    }

    /** Whether a write would have to wait now. */
    public boolean isClosed() {
        return unreadNanos() > toleratedNanos;
    }

    private long unreadNanos() {
        long ownUnread = own.unreadNanos();
        return clients == own ? ownUnread : Math.max(ownUnread, clients.unreadNanos());
    }

    /**
     * Runs a task once the barrier is open, within this call if it is open now; called on the pool's loop.
     *
     * @param isOver whether the task is not needed any more, so that it runs without waiting further
     */
    public void runAfterRead(BooleanSupplier isOver, Runnable task) {
        runAfterRead(isOver, task, MAX_POLLS);
    }

    private void runAfterRead(BooleanSupplier isOver, Runnable task, int polls) {
        long unread = unreadNanos();
        if (unread <= toleratedNanos || polls <= 0 && unread <= maxUnreadNanos || isOver.getAsBoolean()) {
            task.run();
        } else {
            own.afterNextPoll(() -> runAfterRead(isOver, task, polls - 1));
        }
    }
}
