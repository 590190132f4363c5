package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rushpin.accord.Command;
import rushpin.node.Fellows.Fellow;
import rushpin.node.Fellows.Said;

/** Five real processes, three of them voters, with faults between them. */
@Tag("long")
@Timeout(300)
class TogetherProcessTest extends NodeTestBase {
    private static final int LEASE = 3_000, EFFECT = 500;
    /** Entries, of which some eight come a second. */
    private static final int MORE = 20;

    @TempDir
    Path folder;

    /** Three voters and some others; starts none. */
    private Fellows fleet(int others) throws Exception {
        Fellows made = new Fellows(folder, config(), 3, others, LEASE, EFFECT);
        toClose.add(made);
        return made;
    }

    private Fellows started() throws Exception {
        Fellows made = fleet(2);
        start(made.all);
        return made;
    }

    private static void start(List<Fellow> some) throws Exception {
        for (Fellow each : some) {
            each.start();
        }
    }

    private static void judged(Fellows fleet) {
        assertEquals(List.of(), fleet.breaches(), fleet.all());
    }

    /** It counts: without one of the other two nothing is decided but by its vote. Then what was said is judged. */
    private static void itsVoteDecides(Fellows fleet, Fellow voter, long above) throws Exception {
        Fellow other = fleet.voterBeside(voter);
        other.kill();
        fleet.leader(fleet.but(other));
        fleet.awaitPlan(above, fleet.but(other));
        judged(fleet);
    }

    /** The leader is killed, another one leads, plans go on. It comes back without its folder, and is a new voter that counts. */
    @Test
    void aLeaderIsKilledAndComesBackWithoutItsFolder() throws Exception {
        Fellows fleet = started();
        long first = fleet.awaitPlan(0, fleet.all);
        Fellow leader = fleet.leader(fleet.all);
        Said before = fleet.await("voter", 0, List.of(leader));
        assertEquals("true", before.values().get("blank"));
        leader.kill();
        fleet.leader(fleet.but(leader));
        long next = fleet.awaitPlan(first, fleet.but(leader));

        leader.blank();
        int restarted = fleet.now();
        leader.start();
        Said after = fleet.await("voter", restarted, List.of(leader));
        assertNotEquals(before.values().get("id"), after.values().get("id"), "a blank folder is a new voter's");
        assertEquals(before.values().get("group"), after.values().get("group"));
        assertEquals("true", after.values().get("blank"));
        long with = fleet.awaitPlan(next, fleet.all);
        fleet.await(
                "its vote counts",
                () -> fleet.since(restarted).stream()
                        .filter(line -> line.is("counts", "id", after.values().get("id")))
                        .findFirst()
                        .orElse(null));
        itsVoteDecides(fleet, leader, with);
    }

    /**
     * A voter's folder is put back to an earlier moment: it is found, and the voter comes back as a new one. Another one is killed as
     * soon as that one's vote counts: it and the third go on.
     */
    @Test
    void aVoterWhoseFolderIsPutBackIsANewOneThatCounts() throws Exception {
        Fellows fleet = started();
        long first = fleet.awaitPlan(0, fleet.all);
        Fellow leader = fleet.leader(fleet.all);
        Fellow old = fleet.all.get(leader == fleet.all.get(0) ? 1 : 0);
        String id = fleet.await("voter", 0, List.of(old)).values().get("id");
        old.kill();
        long without = fleet.awaitPlan(first, fleet.but(old));
        Path copy = old.copy();
        fleet.awaitNoted(leader, id, 0);
        // What was under way when it was killed is less than this.
        long more = leader.noted(id) + MORE;
        int again = fleet.now();
        old.start();
        long with = fleet.awaitPlan(without, fleet.all);
        assertEquals(id, fleet.await("voter", again, List.of(old)).values().get("id"));
        // Only what it has said to have stored since can be missed.
        fleet.awaitNoted(leader, id, more);
        old.kill();
        long gone = fleet.awaitPlan(with, fleet.but(old));
        old.restore(copy);
        int restored = fleet.now();
        old.start();
        assertTrue(fleet.await("steps-back", restored, List.of(old))
                .values()
                .get("why")
                .startsWith("the-folder-is-an-old-one"));
        fleet.await(
                "a new voter that counts",
                () -> fleet.since(restored).stream()
                        .filter(line -> line.kind().equals("counts")
                                && line.by().equals(old.name)
                                && !line.values().get("id").equals(id))
                        .findFirst()
                        .orElse(null));
        itsVoteDecides(fleet, old, gone);
    }

    /**
     * Stopped for longer than its lease, the planner holds nothing when it wakes, and says so before it does anything. The
     * next one is told to end, gives back what it holds, and ends with 0.
     */
    @Test
    void aPlannerThatSleepsPastItsLeaseYieldsFirstAndOneThatEndsGivesBack() throws Exception {
        Fellows fleet = started();
        long first = fleet.awaitPlan(0, fleet.all);
        Said holds = fleet.holder(Command.PLANNER);
        Fellow sleeper = fleet.named(holds.by());
        int stopped = fleet.now();
        long from = sleeper.stop();
        Said next = fleet.await("holds", stopped, fleet.but(sleeper));
        long second = fleet.awaitPlan(first, fleet.but(sleeper));
        assertTrue(next.number("fence") > holds.number("fence"), next + " after " + holds);
        int woken = fleet.now();
        sleeper.wake(from);
        List<Said> lines = fleet.await("its session", () -> {
            List<Said> own = fleet.since(woken).stream()
                    .filter(line -> line.by().equals(sleeper.name))
                    .toList();
            return own.stream().anyMatch(line -> line.kind().equals("session")) ? own : null;
        });
        Said said = lines.stream()
                .filter(line -> !line.kind().equals("follows"))
                .findFirst()
                .orElseThrow();
        assertTrue(said.is("yields", "resource", Command.PLANNER), lines.toString());
        assertEquals(holds.number("fence"), said.number("fence"));
        // Its zone is back, by whoever plans now.
        long third = fleet.awaitPlan(second, fleet.all);

        Said last = fleet.holder(Command.PLANNER);
        Fellow ends = fleet.named(last.by());
        int told = fleet.now();
        assertEquals(0, ends.end());
        assertEquals(
                last.number("fence"), fleet.await("yields", told, List.of(ends)).number("fence"));
        assertTrue(fleet.await("holds", told, fleet.but(ends)).number("fence") > last.number("fence"));
        fleet.awaitPlan(third, fleet.but(ends));
        judged(fleet);
    }

    /** Voters change by SIGHUP, the new one before the old one goes; two at once change nothing. What is left decides. */
    @Test
    void votersChangeOneAtATime() throws Exception {
        Fellows fleet = fleet(2);
        Fellow comes = fleet.all.get(3);
        Fellow goes = fleet.all.get(2);
        Fellow other = fleet.all.get(4);
        start(fleet.but(comes));
        long first = fleet.awaitPlan(0, fleet.but(comes));

        comes.votes = true;
        other.votes = true;
        goes.votes = false;
        fleet.all.get(0).configure();
        fleet.all
                .get(0)
                .hangUp("the configuration stays as it was: fleet.voter: changes from n0, n1, n2 to n0, n1, n3, n4");
        other.votes = false;
        goes.votes = true;
        for (Fellow each : fleet.but(comes)) {
            each.configure();
            each.hangUp("configuration read again");
        }
        comes.start();
        Said joined = fleet.await("voter", 0, List.of(comes));
        fleet.awaitLine("voter " + joined.values().get("id") + " is taken in");
        goes.votes = false;
        for (Fellow each : fleet.all) {
            each.configure();
            each.hangUp("configuration read again");
        }
        fleet.awaitLine(
                "voter " + fleet.await("voter", 0, List.of(goes)).values().get("id") + " is taken out");
        long second = fleet.awaitPlan(first, fleet.all);

        goes.kill();
        Fellow leader = fleet.leader(fleet.but(goes));
        leader.kill();
        fleet.leader(fleet.but(leader, goes));
        fleet.awaitPlan(second, fleet.but(leader, goes));
        judged(fleet);
    }

    /** A voter whose disk is full steps back and says so; its node serves on, and it votes again when there is room. */
    @Test
    void aVoterWithAFullDiskStepsBackAndComesBack() throws Exception {
        Fellows fleet = started();
        long first = fleet.awaitPlan(0, fleet.all);
        Fellow full = fleet.leader(fleet.all);
        Said before = fleet.await("voter", 0, List.of(full));
        int limited = fleet.now();
        full.room("1");
        fleet.await("steps-back", limited, List.of(full));
        fleet.leader(fleet.but(full));
        full.room("unlimited");
        // By its last word: it may have opened its log once or twice before there was room, and found that out with the
        // next write.
        Said after = fleet.awaitLast("voter", limited, full, List.of("voter", "steps-back"));
        assertEquals(before.values().get("id"), after.values().get("id"));
        assertEquals("false", after.values().get("blank"));
        itsVoteDecides(fleet, full, first);
    }

    /** Most folders are lost: by a higher era the fleet is founded anew, and fences go on growing. A lower one ends the start. */
    @Test
    void aFleetThatIsFoundedAnewGivesHigherFences() throws Exception {
        Fellows fleet = fleet(1);
        start(fleet.all);
        fleet.awaitPlan(0, fleet.all);
        Fellow stays = fleet.all.get(3);
        long fence = fleet.holder(Command.PLANNER).number("fence");
        for (Fellow voter : fleet.but(stays)) {
            voter.kill();
        }
        fleet.all.get(0).blank();
        fleet.all.get(1).blank();
        fleet.era = 2;
        int lost = fleet.now();
        start(fleet.but(stays));
        for (Fellow each : fleet.all) {
            fleet.await(
                    "a plan of the new founding at " + each.name,
                    () -> fleet.since(lost).stream()
                            .filter(line -> line.kind().equals("plan")
                                    && line.by().equals(each.name)
                                    && line.number("fence") > fence)
                            .findFirst()
                            .orElse(null));
        }
        fleet.era = 1;
        Fellow old = fleet.all.get(0);
        old.kill();
        old.start();
        fleet.awaitLine(
                "n0: cannot start: fleet.state " + old.folder.resolve("fleet") + " has seen era 2, and fleet.era is 1");
        assertEquals(1, old.process.waitFor());
    }

    /** What a voter can't do without ends its start by one line. */
    @Test
    void aVoterWithoutItsFolderOrItsPortDoesNotStart() throws Exception {
        Fellows fleet = fleet(0);
        Fellow first = fleet.all.get(0);
        Files.writeString(first.folder.resolve("fleet"), "no folder");
        first.start();
        fleet.awaitLine("n0: cannot start: fleet.state can't be used");
        assertEquals(1, first.process.waitFor());
        Fellow second = fleet.all.get(1);
        try (ServerSocket taken = new ServerSocket(second.listen.getPort(), 1, second.listen.getAddress())) {
            second.start();
            fleet.awaitLine("n1: cannot start: fleet.listen " + taken.getLocalSocketAddress());
            assertEquals(1, second.process.waitFor());
        }
    }
}
