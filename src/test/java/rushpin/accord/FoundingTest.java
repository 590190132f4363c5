package rushpin.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.UUID;
import org.junit.jupiter.api.Test;
import rushpin.accord.Founding.Answer;
import rushpin.accord.Founding.Introduction;
import rushpin.accord.Founding.Step;

class FoundingTest {
    private static final List<String> LISTED = List.of("c", "a", "b");
    private static final String[] FOUNDERS = {"a.1", "b.1", "c.1"};
    private static final UUID GROUP = Founding.group(1, List.of(FOUNDERS));

    private static Introduction blank(String id) {
        return new Introduction(Founding.name(id), id, true, 1, null, List.of());
    }

    private static Introduction offers(String id, String... members) {
        return new Introduction(Founding.name(id), id, true, 1, Founding.group(1, List.of(members)), List.of(members));
    }

    private static Introduction member(String id, long era, UUID group, String... members) {
        return new Introduction(Founding.name(id), id, false, era, group, List.of(members));
    }

    private static Introduction ofEra(long era, String id) {
        return new Introduction(Founding.name(id), id, true, era, null, List.of());
    }

    private static Step decide(Introduction self, Introduction... heard) {
        return Founding.decide(self, LISTED, self.blank() ? 0 : self.era(), List.of(heard));
    }

    @Test
    void allListedVotersOfferTheSameGroupBeforeAnyBegins() {
        assertInstanceOf(Step.Wait.class, decide(blank("a.1"), blank("b.1")));
        assertInstanceOf(Step.Wait.class, decide(blank("a.1"), blank("b.1"), ofEra(2, "c.1")));
        assertEquals(new Step.Offer(GROUP, List.of(FOUNDERS)), decide(blank("a.1"), blank("c.1"), blank("b.1")));
        Introduction a = offers("a.1", FOUNDERS);
        assertInstanceOf(Step.Wait.class, decide(a, offers("b.1", FOUNDERS), blank("c.1")));
        assertInstanceOf(
                Step.Wait.class,
                decide(a, offers("b.1", FOUNDERS), offers("c.1", "a.1", "b.1", "c.1", "d.1")),
                "its operator lists others");
        Step found = new Step.Found(GROUP, List.of(FOUNDERS));
        assertEquals(found, decide(a, offers("c.1", FOUNDERS), offers("b.1", FOUNDERS)));
        assertEquals(found, decide(blank("b.1"), member("a.1", 1, GROUP, FOUNDERS)), "late, as one of its founders");
        assertEquals(
                new Step.Offer(Founding.group(1, List.of("a.1", "b.2", "c.1")), List.of("a.1", "b.2", "c.1")),
                decide(a, offers("c.1", FOUNDERS), blank("b.2")),
                "one has lost its folder meanwhile");
        assertInstanceOf(Step.Refuse.class, decide(blank("d.1"), blank("b.1"), blank("c.1")));
    }

    @Test
    void aBlankFolderComesBackAsAnotherVoter() {
        Introduction b = member("b.1", 1, GROUP, "a.1", "b.1", "c.1");
        assertEquals(new Step.AskToReplace(GROUP, "a.1", "a.2"), decide(blank("a.2"), b));
        assertEquals(
                new Step.GoOn(GROUP), decide(member("a.1", 1, GROUP, FOUNDERS)), "with its folder it needs nobody");
        Introduction later = member("b.1", 1, GROUP, "a.2", "b.1", "c.1");
        assertEquals(new Step.Found(GROUP, List.of("a.2", "b.1", "c.1")), decide(blank("a.2"), later), "taken in");
        assertEquals(new Step.AskToReplace(GROUP, "a.2", "a.1"), decide(member("a.1", 1, GROUP, FOUNDERS), later));
        assertEquals(
                new Step.AskToReplace(GROUP, null, "a.2"), decide(blank("a.2"), member("b.1", 1, GROUP, "b.1", "c.1")));
    }

    @Test
    void anEarlierEraAndASecondFoundingAreRefused() {
        UUID other = Founding.group(1, List.of("a.7", "b.1", "c.1"));
        assertInstanceOf(Step.Refuse.class, decide(blank("a.1"), member("b.1", 2, GROUP, "b.1", "c.1", "a.1")));
        assertInstanceOf(Step.Refuse.class, Founding.decide(blank("a.1"), LISTED, 2, List.of()));
        assertInstanceOf(Step.Refuse.class, decide(member("a.1", 1, GROUP, "a.1"), member("b.1", 1, other, "b.1")));
        assertInstanceOf(
                Step.Refuse.class,
                decide(blank("a.1"), member("c.1", 1, GROUP, "c.1"), member("b.1", 1, other, "b.1")));
        assertEquals(
                new Step.GoOn(GROUP),
                decide(member("a.1", 1, GROUP, "a.1"), ofEra(9, "b.1")),
                "a blank voter's wrong era stops nobody");
        assertTrue(Founding.accepts(1, GROUP, 1, GROUP) && Founding.accepts(1, GROUP, 2, other));
        assertTrue(Founding.accepts(0, null, 1, other));
        assertFalse(Founding.accepts(1, GROUP, 1, other) || Founding.accepts(2, GROUP, 1, GROUP));
    }

    @Test
    void theGroupTakesInOneAtATimeWithAMajorityOfTheOthers() {
        List<String> members = List.of("a.1", "b.1", "c.1");
        Set<String> listed = Set.of("a", "b", "c", "d");
        assertEquals(Answer.YES, Founding.mayChange(members, Set.of("b.1", "c.1"), false, listed, "a.1", "a.2"));
        assertEquals(Answer.YES, Founding.mayChange(members, Set.of("b.1", "c.1"), false, listed, null, "d.1"));
        assertEquals(Answer.NO_MAJORITY, Founding.mayChange(members, Set.of("b.1"), false, listed, "a.1", "a.2"));
        assertEquals(Answer.CHANGING, Founding.mayChange(members, Set.of("b.1", "c.1"), true, listed, "a.1", "a.2"));
        assertEquals(
                Answer.OLD_IS_THERE,
                Founding.mayChange(members, Set.of("a.1", "b.1", "c.1"), false, listed, "a.1", "a.2"));
        assertEquals(Answer.ALREADY, Founding.mayChange(members, Set.of("b.1", "c.1"), true, listed, "a.1", "b.1"));
        for (String old : new String[] {null, "b.1", "a.9"}) {
            assertEquals(
                    Answer.NOT_ITS_PLACE, Founding.mayChange(members, Set.of("b.1", "c.1"), false, listed, old, "a.2"));
        }
        assertEquals(
                Answer.NOT_ITS_PLACE, Founding.mayChange(members, Set.of("b.1", "c.1"), false, listed, null, "e.1"));
    }
}
