package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.failover.Geography;
import rushpin.failover.Limits;

/** The task of who makes the plans: what reports and the log's word become. */
class PlanningTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Plan.Mark LEFT = new Plan.Mark("", "b", "", 0, 90 * SECOND, 1);

    private final LinkedBlockingQueue<Optional<Planning.Draft>> drafts = new LinkedBlockingQueue<>();

    private static Plan.Way way(String from, String to) {
        return new Plan.Way(from, List.of(new Plan.Part(to, Plan.WHOLE)));
    }

    private static Map<String, String> regions(String... zones) {
        Map<String, String> all = new TreeMap<>();
        for (String zone : zones) {
            all.put(zone, "r");
        }
        return all;
    }

    private Optional<Planning.Draft> look(Planning planning, Plan inForce, long fence, String... zones)
            throws InterruptedException {
        planning.look(new Planning.Look(
                inForce, fence, regions(zones), 100 * SECOND, new Geography(List.of()), Limits.USUAL));
        Optional<Planning.Draft> draft = drafts.poll(60, TimeUnit.SECONDS);
        assertNotNull(draft, "nothing came of a look");
        return draft;
    }

    /** One that begins knows nothing, and goes on with what stands: under its own fence, with all its marks. */
    @Test
    void aNewPlannerSaysAnewWhatStands() throws InterruptedException {
        try (Planning planning = new Planning(10, drafts::add)) {
            Planning.Draft first = look(planning, Plan.NONE, 7, "a", "b").orElseThrow();
            assertEquals(0, first.after());
            Plan inForce = new Plan(1, 7, first.ways(), first.marks());
            assertEquals(Optional.empty(), look(planning, inForce, 7, "a", "b"));
            assertEquals(
                    new Planning.Draft(1, 9, first.ways(), first.marks()),
                    look(planning, inForce, 9, "a", "b").orElseThrow());
        }
    }

    /** All processes of a zone that was left are without sessions for a moment: it stays left. */
    @Test
    void aMarkOutlivesTheProcessesOfItsZone() throws InterruptedException {
        try (Planning planning = new Planning(10, drafts::add)) {
            Plan left = new Plan(4, 7, List.of(way("a", "a"), way("b", "a")), List.of(LEFT));
            Planning.Draft anew = look(planning, left, 9, "a").orElseThrow();
            assertEquals(List.of(LEFT), anew.marks());
            assertEquals(
                    List.of(LEFT),
                    look(planning, left, 11, "a", "b").orElseThrow().marks());
        }
    }

    /** Reports of one process, however many, move nothing; the same of all who are there do. */
    @Test
    void oneReporterMovesNothing() throws InterruptedException {
        try (Planning planning = new Planning(10, drafts::add)) {
            Planning.Draft calm = look(planning, Plan.NONE, 7, "a", "b").orElseThrow();
            Plan inForce = new Plan(1, 7, calm.ways(), calm.marks());
            for (int i = 1; i <= 20; i++) {
                planning.heard(failing("liar", "b", i));
            }
            assertEquals(Optional.empty(), look(planning, inForce, 7, "a", "b"));
            planning.heard(failing("n1", "b", 1));
            planning.heard(failing("n2", "a", 1));
            planning.heard(failing("n3", "a", 1));
            assertEquals(
                    0,
                    look(planning, inForce, 7, "a", "b").orElseThrow().marks().stream()
                            .filter(mark -> mark.zone().equals("b"))
                            .findFirst()
                            .orElseThrow()
                            .open());
        }
    }

    private static Report failing(String process, String zone, long sequence) {
        return new Report(
                5,
                sequence,
                process,
                zone,
                SECOND,
                0,
                List.of(new Report.Seen("b", "p.x", 100, 0, 100, 0, 0), new Report.Seen("a", "p.x", 100, 100, 0, 0, 0)),
                List.of(new Report.Stock("a", 2, 2_000), new Report.Stock("b", 2, 2_000)),
                List.of(new Report.Entered("p.x", 100)));
    }
}
