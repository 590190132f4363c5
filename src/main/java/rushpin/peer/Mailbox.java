package rushpin.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Function;
import rushpin.net.ErrorLog;

/**
 * Messages to one task, which reads them one at a time on its executor, in order. Bounded; an offer never blocks.
 *
 * <p>A message either stands for itself, and is refused when the mailbox is full; or it is of a kind of which only the
 * newest counts, and takes the place of an older one of its kind that still waits, at that one's turn. So the bound is
 * {@code most} messages for themselves and one of each kind. Each message comes to exactly one end: refused, read, or told
 * to {@code unread} (replaced, or the mailbox closed first).
 */
public final class Mailbox<M> {
    /** What became of an offer. */
    public enum Offer {
        TAKEN,
        REPLACED_OLDER,
        FULL,
        CLOSED
    }

    /** Messages read at one turn of the executor, so that other tasks of its thread have theirs. */
    private static final int TURN = 64;

    private static final class Slot<M> {
        M message;
        final Object kind;

        Slot(M message, Object kind) {
            this.message = message;
            this.kind = kind;
        }
    }

    private final int most;
    private final Function<? super M, ?> kinds;
    private final Executor executor;
    private final Consumer<? super M> reader, unread;
    private final ArrayDeque<Slot<M>> waiting = new ArrayDeque<>();
    private final Map<Object, Slot<M>> newest = new HashMap<>();
    private boolean scheduled, closed;

    /**
     * Empty.
     *
     * @param most how many messages that stand for themselves may wait
     * @param kinds the kind of which only the newest counts, or null for a message that stands for itself; there must be few
     * @param reader reads; what it throws ends that message alone
     * @param unread is told, on the thread of the offer or of {@link #close}, of what was taken and will not be read
     */
    public Mailbox(
            int most,
            Function<? super M, ?> kinds,
            Executor executor,
            Consumer<? super M> reader,
            Consumer<? super M> unread) {
        if (most < 1) {
            throw new IllegalArgumentException("a mailbox of " + most);
        }
        this.most = most;
        this.kinds = kinds;
        this.executor = executor;
        this.reader = reader;
        this.unread = unread;
    }

    /** Takes a message, or says why not. Any thread. */
    public Offer offer(M message) {
        Object kind = kinds.apply(message);
        M older = null;
        synchronized (this) {
            if (closed) {
                return Offer.CLOSED;
            }
            Slot<M> same = kind == null ? null : newest.get(kind);
            if (same != null) {
                older = same.message;
                same.message = message;
            } else {
                if (kind == null && waiting.size() - newest.size() >= most) {
                    return Offer.FULL;
                }
                Slot<M> slot = new Slot<>(message, kind);
                waiting.add(slot);
                if (kind != null) {
                    newest.put(kind, slot);
                }
                if (!scheduled) {
                    scheduled = true;
                } else {
                    return Offer.TAKEN;
                }
            }
        }
        if (older != null) {
            unread.accept(older);
            return Offer.REPLACED_OLDER;
        }
        schedule();
        return Offer.TAKEN;
    }

    /** Takes no more; what waits is told to {@code unread}. A message that is being read is read to its end. */
    public void close() {
        for (M each : ended()) {
            unread.accept(each);
        }
    }

    private synchronized List<M> ended() {
        closed = true;
        List<M> left = new ArrayList<>(waiting.size());
        waiting.forEach(slot -> left.add(slot.message));
        waiting.clear();
        newest.clear();
        return left;
    }

    /** Where the executor has ended, so has the mailbox. */
    private void schedule() {
        try {
            executor.execute(this::turn);
        } catch (RejectedExecutionException e) {
            close();
        }
    }

    private void turn() {
        for (int i = 0; i < TURN; i++) {
            M message;
            synchronized (this) {
                Slot<M> next = waiting.poll();
                if (next == null) {
                    scheduled = false;
                    return;
                }
                if (next.kind != null) {
                    newest.remove(next.kind);
                }
                message = next.message;
            }
            try {
                reader.accept(message);
            } catch (RuntimeException e) {
                ErrorLog.report("mailbox", e);
            }
        }
        schedule();
    }
}
