package rushpin.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import rushpin.accord.Report;
import rushpin.peer.Mailbox;

/**
 * A task of its own that reads processes' reports and looks at the fleet, so that neither a thousand reports nor a long
 * decision keep leases waiting. Its thread goes when it has nothing to do.
 *
 * <p>Of each process the newest report waits, {@code most} of them; one beyond that is not read, as if it had been lost. Of
 * looks the newest waits.
 *
 * @param <L> a look
 */
final class Hearing<L> implements AutoCloseable {
    private static final int IDLE_S = 30;

    private final int most;
    private final ScheduledThreadPoolExecutor thread;
    private final Mailbox<Object> mailbox;
    /** Reports that were offered, and are neither read nor replaced yet. */
    private final AtomicInteger waiting = new AtomicInteger();

    /**
     * Begins with the first offer.
     *
     * @param name of the thread
     * @param most reports that wait at once
     * @param reports reads them, and {@code looks} these, both on the task's thread
     * @param kind of a look
     */
    Hearing(String name, int most, Consumer<Report> reports, Class<L> kind, Consumer<L> looks) {
        this.most = most;
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, name);
            made.setDaemon(true);
            return made;
        });
        thread.setKeepAliveTime(IDLE_S, TimeUnit.SECONDS);
        thread.allowCoreThreadTimeOut(true);
        mailbox = new Mailbox<>(
                1,
                note -> note instanceof Report report ? report.process() : kind,
                thread,
                note -> {
                    ended(note);
                    if (note instanceof Report report) {
                        reports.accept(report);
                    } else {
                        looks.accept(kind.cast(note));
                    }
                },
                this::ended);
    }

    private void ended(Object note) {
        if (note instanceof Report) {
            waiting.decrementAndGet();
        }
    }

    /** A report has come, sound or not; any thread. */
    void heard(Report report) {
        if (waiting.incrementAndGet() > most || mailbox.offer(report) == Mailbox.Offer.CLOSED) {
            ended(report);
        }
    }

    /** Asks for a look; any thread. */
    void look(L at) {
        mailbox.offer(at);
    }

    @Override
    public void close() {
        mailbox.close();
        thread.shutdownNow();
    }
}
