package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Report;
import rushpin.config.GroupConfig;

/** The task of who divides connections: whose reports it keeps, and what they become. */
class DivisionsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final GroupConfig YARD = new GroupConfig("yard", 20, 0, 1, 9 * SECOND, SECOND, SECOND, List.of());

    private final LinkedBlockingQueue<List<Command.Divide>> drafts = new LinkedBlockingQueue<>();

    private static Report report(long session, long sequence, int wanted) {
        return new Report(
                session,
                sequence,
                "n" + session,
                "a",
                SECOND,
                0,
                List.of(),
                List.of(),
                List.of(),
                List.of(
                        new Report.Need("yard", "", 0, 0),
                        new Report.Need("yard", GroupConfig.OTHERS, wanted, wanted)));
    }

    /** The parts of processes 1 to 4, which are all there, in a first division. */
    private Map<Long, Integer> look(Divisions divisions) throws InterruptedException {
        divisions.look(new Divisions.Look(
                1, 7, Map.of(1L, "n1", 2L, "n2", 3L, "n3", 4L, "n4"), Map.of(), List.of(YARD), 100 * SECOND));
        List<Command.Divide> draft = drafts.poll(60, TimeUnit.SECONDS);
        assertNotNull(draft, "nothing came of a look");
        Map<Long, Integer> parts = new TreeMap<>();
        for (Budget.Share share : draft.get(0).shares()) {
            parts.put(share.session(), share.connections());
        }
        return parts;
    }

    /** However many report while nobody looks, only so many are kept: those that are known are heard on, others are not. */
    @Test
    void beyondTheBoundOnlyThoseThatAreKnownAreHeard() throws InterruptedException {
        try (Divisions divisions = new Divisions(2, drafts::add)) {
            for (long session = 1; session <= 2; session++) {
                divisions.heard(report(session, 1, 0));
                look(divisions);
            }
            divisions.heard(report(3, 1, 1));
            assertEquals(List.of(1L, 2L), List.copyOf(look(divisions).keySet()));
            divisions.heard(report(2, 2, 3));
            Map<Long, Integer> parts = look(divisions);
            assertEquals(List.of(1L, 2L), List.copyOf(parts.keySet()));
            assertEquals(1, Integer.compare(parts.get(2L), parts.get(1L)), parts::toString);
        }
    }

    /** Who ends says that it takes part no more. */
    @Test
    void aReportWithoutNeedsTakesPartNoMore() throws InterruptedException {
        try (Divisions divisions = new Divisions(2, drafts::add)) {
            divisions.heard(report(1, 1, 0));
            divisions.heard(report(2, 1, 0));
            assertEquals(List.of(1L, 2L), List.copyOf(look(divisions).keySet()));
            divisions.heard(new Report(2, 2, "n2", "a", SECOND, 0, List.of(), List.of(), List.of(), List.of()));
            assertEquals(List.of(1L), List.copyOf(look(divisions).keySet()));
        }
    }

    /** A report that comes late takes nothing back. */
    @Test
    void theNewestReportIsKept() throws InterruptedException {
        try (Divisions divisions = new Divisions(2, drafts::add)) {
            divisions.heard(report(1, 1, 0));
            divisions.heard(report(2, 2, 3));
            Map<Long, Integer> parts = look(divisions);
            divisions.heard(report(2, 1, 0));
            assertEquals(parts, look(divisions));
        }
    }

    /** While the task is busy, as many reports wait as there may be processes. */
    @Test
    void asManyReportsWaitAsThereMayBeProcesses() throws InterruptedException {
        LinkedBlockingQueue<Long> read = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Integer> go = new LinkedBlockingQueue<>();
        try (Hearing<Integer> hearing =
                new Hearing<>("hearing", 2, report -> read.add(report.session()), Integer.class, look -> {
                    read.add(0L);
                    try {
                        go.poll(60, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })) {
            hearing.look(1);
            assertEquals(0L, read.poll(60, TimeUnit.SECONDS));
            for (long session = 1; session <= 4; session++) {
                hearing.heard(report(session, 1, 0));
            }
            hearing.look(2);
            go.add(1);
            go.add(2);
            for (long expected : List.of(1L, 2L, 0L)) {
                assertEquals(expected, read.poll(60, TimeUnit.SECONDS));
            }
            // There is room again.
            hearing.heard(report(3, 1, 0));
            assertEquals(3L, read.poll(60, TimeUnit.SECONDS));
        }
    }
}
