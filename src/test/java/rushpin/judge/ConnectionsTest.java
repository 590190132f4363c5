package rushpin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.judge.Connections.Asked;
import rushpin.judge.Connections.Bounds;
import rushpin.judge.Connections.Carried;
import rushpin.judge.Connections.Number;
import rushpin.judge.Connections.Open;
import rushpin.judge.Connections.Rule;
import rushpin.judge.Connections.Trouble;
import rushpin.judge.Connections.Under;

/** Each rule is broken by a record made up for it, and kept by the one beside it. */
class ConnectionsTest {
    private static final Bounds BOUNDS = new Bounds(100, 50, 0.5, 5);
    private static final long ON = Long.MAX_VALUE;

    private static List<Rule> judge(
            List<Open> opens,
            List<Under> unders,
            List<Number> numbers,
            List<Asked> asked,
            List<Carried> carried,
            List<Trouble> troubles) {
        return Connections.judge(BOUNDS, opens, unders, numbers, asked, Map.of("t", carried), troubles).stream()
                .map(Breach::rule)
                .toList();
    }

    private static List<Rule> opens(List<Number> numbers, Open... opens) {
        return judge(List.of(opens), List.of(), numbers, List.of(), List.of(), List.of());
    }

    @Test
    void neverOver() {
        List<Number> two = List.of(new Number(0, 2));
        assertEquals(List.of(), opens(two, new Open("a", 1, ON), new Open("b", 2, 5), new Open("a", 5, ON)));
        // One that its other side has forgotten counts as long as the servers have it.
        assertEquals(
                List.of(Rule.NEVER_OVER), opens(two, new Open("a", 1, ON), new Open("b", 2, 6), new Open("a", 5, ON)));
        List<Number> lowered = List.of(new Number(0, 2), new Number(10, 1));
        assertEquals(List.of(), opens(lowered, new Open("a", 1, ON), new Open("b", 2, 9)));
        assertEquals(List.of(Rule.NEVER_OVER), opens(lowered, new Open("a", 1, ON), new Open("b", 2, 11)));
        assertEquals(List.of(Rule.NEVER_OVER), opens(lowered, new Open("a", 1, ON), new Open("b", 2, ON)));
        assertEquals(
                2, Connections.most(List.of(new Open("a", 1, 4), new Open("b", 2, 8), new Open("c", 6, 9)), 0, 10));
        assertEquals(1, Connections.most(List.of(new Open("a", 1, 4), new Open("b", 2, 8)), 5, 10));
    }

    @Test
    void floors() {
        List<Asked> two = List.of(new Asked("t", 2, 0, 1_000));
        assertEquals(
                List.of(),
                judge(List.of(), List.of(), List.of(), two, List.of(new Carried("t", 100, 1_000)), List.of()));
        assertEquals(
                List.of(Rule.FLOOR_KEPT),
                judge(List.of(), List.of(), List.of(), two, List.of(new Carried("t", 180, 1_000)), List.of()));
        assertEquals(
                List.of(Rule.FLOOR_KEPT),
                judge(
                        List.of(),
                        List.of(),
                        List.of(),
                        two,
                        List.of(new Carried("t", 0, 600), new Carried("t", 700, 1_000)),
                        List.of()));
        // It asks for less time than a floor may take.
        assertEquals(
                List.of(),
                judge(List.of(), List.of(), List.of(), List.of(new Asked("t", 2, 0, 120)), List.of(), List.of()));
    }

    @Test
    void underARequest() {
        List<Number> any = List.of(new Number(0, 9));
        assertEquals(
                List.of(Rule.NOT_UNDER_A_REQUEST),
                judge(List.of(), List.of(new Under("a", "r", 50, 90)), any, List.of(), List.of(), List.of()));
        assertEquals(
                List.of(),
                judge(List.of(), List.of(new Under("a", "r", 86, 90)), any, List.of(), List.of(), List.of()));
        assertEquals(
                List.of(),
                judge(
                        List.of(),
                        List.of(new Under("a", "r", 50, 90)),
                        any,
                        List.of(),
                        List.of(),
                        List.of(new Trouble(49, 51))));
    }
}
