package rushpin.net;

import java.util.function.BooleanSupplier;

/**
 * Holds back what is to be written until what had arrived before has been read: a client's end and a server's drain decide
 * whether it may be written at all. Behind a stop of the process that is when the sockets have been read once more, however
 * many passes of the loop it takes until it is this one's turn.
 *
 * <p>Where each pass of the loop is slow something always lies unread. So what has waited for {@value #MOST_LOOKS} looks is
 * written if nothing lies unread for longer than {@code most}; what lies unread for longer is always read first, and the
 * request's own end is the bound of that wait.
 */
public final class ReadBarrier {
    private static final int MOST_LOOKS = 2;

    private final LoopWatch own;
    private final LoopWatch clients;
    private final long usual;
    private final long most;

    /**
     * A barrier of one pool.
     *
     * @param own the watch of the pool's loop
     * @param clients the watch of the loop that reads its clients, which may be the same
     * @param usual what has lain unread for less, nanoseconds, need not be read first
     * @param most what has lain unread for longer, nanoseconds, always has to
     */
    public ReadBarrier(LoopWatch own, LoopWatch clients, long usual, long most) {
        this.own = own;
        this.clients = clients;
        this.usual = usual;
        this.most = most;
    }

    /** Whether something has to be read before anything is written. */
    public boolean isClosed() {
        return unread() > usual;
    }

    private long unread() {
        long here = own.unread();
        return clients == own ? here : Math.max(here, clients.unread());
    }

    /**
     * Runs a task when the barrier lets it pass, from within this call if it does so now; called on the pool's loop.
     *
     * @param isOver whether the task has become needless, so that it runs without waiting any longer
     */
    public void runAfterRead(BooleanSupplier isOver, Runnable task) {
        runAfterRead(isOver, task, MOST_LOOKS);
    }

    private void runAfterRead(BooleanSupplier isOver, Runnable task, int looks) {
        long unread = unread();
        if (unread <= usual || looks <= 0 && unread <= most || isOver.getAsBoolean()) {
            task.run();
        } else {
            own.afterNextLook(() -> runAfterRead(isOver, task, looks - 1));
        }
    }
}
