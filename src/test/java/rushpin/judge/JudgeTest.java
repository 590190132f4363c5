package rushpin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.judge.Judge.Rule;
import rushpin.judge.Records.Attempt;
import rushpin.judge.Records.Exchange;

/** A judge that finds nothing proves nothing: each rule is broken here by a record made up for it. */
class JudgeTest {
    private static final long MS = 1_000_000L;
    private static final Judge.Rules RULES = new Judge.Rules(
            Map.of(
                    "lookup",
                    new Judge.Kind(true, false, 0),
                    "order",
                    new Judge.Kind(false, true, 4_000 * MS),
                    "strict",
                    new Judge.Kind(false, false, 0)),
            Map.of("basic", new Judge.Ceiling(10, 20, 2)),
            1_000 * MS);
    private final Records records = new Records();

    private void exchange(String id, String kind, int status, long at, long answeredAt) {
        exchange(id, kind, status, at, answeredAt, true, "basic");
    }

    private void exchange(String id, String kind, int status, long at, long answeredAt, boolean whole, String plan) {
        records.add(new Exchange(
                "p", id, "k", kind, "c", plan, 1, at * MS, 2_000 * MS, status, answeredAt * MS, whole, false));
    }

    private void attempt(String id, long first, long until, boolean effect) {
        records.add(new Attempt("p", "s", id, "k", first * MS, first * MS, until * MS, effect));
    }

    private void broken(Rule rule) {
        List<Judge.Breach> found = Judge.judge(records, RULES);
        assertEquals(
                List.of(rule), found.stream().map(Judge.Breach::rule).distinct().toList(), found.toString());
    }

    private void kept() {
        assertEquals(List.of(), Judge.judge(records, RULES));
    }

    @Test
    void nothingWrongIsFoundWhereNothingIs() {
        exchange("a", "order", 200, 0, 300);
        attempt("a", 10, 100, false);
        attempt("a", 110, 290, true);
        exchange("b", "strict", 502, 0, 300);
        attempt("b", 10, 290, true);
        exchange("c", "lookup", 429, 0, 5);
        kept();
    }

    @Test
    void aRequestWithoutAnAnswerIsLost() {
        exchange("a", "lookup", Records.NONE, 0, 100);
        broken(Rule.NO_REQUEST_LOST);
    }

    @Test
    void anExcusedOneIsNot() {
        records.add(
                new Exchange("p", "a", "k", "lookup", "c", "basic", 1, 0, 2_000 * MS, Records.NONE, 5, false, true));
        kept();
    }

    @Test
    void aLateAnswerIsLost() {
        exchange("a", "lookup", 200, 0, 2_051);
        broken(Rule.NO_REQUEST_LOST);
    }

    @Test
    void anAnswerThatNoServerMadeIsLost() {
        exchange("a", "lookup", 200, 0, 100, false, "basic");
        broken(Rule.NO_REQUEST_LOST);
    }

    @Test
    void twoAnswersAreOneTooMany() {
        exchange("a", "lookup", 200, 0, 100);
        exchange("a", "lookup", 200, 0, 110);
        broken(Rule.NO_REQUEST_LOST);
    }

    @Test
    void nothingMayBeSentAfterTheAnswer() {
        exchange("a", "lookup", 502, 0, 100);
        attempt("a", 151, 160, true);
        broken(Rule.NO_REQUEST_LOST);
    }

    @Test
    void aKeyThatTakesEffectTwiceIsFoundOverTwoTries() {
        exchange("a", "order", 502, 0, 100);
        attempt("a", 10, 90, true);
        exchange("b", "order", 200, 300, 400);
        attempt("b", 310, 390, true);
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void oneRequestThatTakesEffectTwiceIsFoundHoweverLate() {
        exchange("a", "order", 200, 0, 300);
        attempt("a", 10, 20, true);
        attempt("a", 100, 200, true);
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aKeyThatItsClientUsesAgainAfterItsWindowIsNot() {
        exchange("a", "order", 200, 0, 100);
        attempt("a", 10, 90, true);
        exchange("b", "order", 200, 5_000, 5_100);
        attempt("b", 5_010, 5_090, true);
        kept();
    }

    @Test
    void twoAttemptsAtOnceAreFound() {
        exchange("a", "lookup", 200, 0, 100);
        attempt("a", 10, 50, true);
        attempt("a", 40, 90, true);
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aShortAttemptInsideALongOneIsFoundAndWhatFollowsToo() {
        exchange("a", "lookup", 200, 0, 100);
        attempt("a", 10, 95, true);
        attempt("a", 20, 30, true);
        attempt("a", 60, 90, true);
        assertEquals(2, Judge.judge(records, RULES).size());
    }

    @Test
    void aRefusalOfWhatRanIsFound() {
        exchange("a", "strict", 503, 0, 100);
        attempt("a", 10, 90, true);
        broken(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aSendAfterADrainsGraceIsFound() {
        records.add(new Records.Told("p", "s", 0, Long.MAX_VALUE));
        exchange("a", "lookup", 200, 900, 1_200);
        attempt("a", 1_051, 1_100, true);
        broken(Rule.DRAINS_KEPT);
    }

    @Test
    void aSendWithinTheGraceOrAfterTheDrainIsNot() {
        records.add(new Records.Told("p", "s", 0, 2_000 * MS));
        exchange("a", "lookup", 200, 900, 1_060);
        attempt("a", 1_049, 1_055, true);
        exchange("b", "lookup", 200, 2_000, 2_060);
        attempt("b", 2_010, 2_050, true);
        kept();
    }

    @Test
    void aServerPushedOverIsFound() {
        records.add(new Records.Fall("p", "s", 5));
        broken(Rule.COLD_NOT_PUSHED_OVER);
    }

    @Test
    void aCeilingOverrunIsFound() {
        for (int i = 0; i < 24; i++) {
            exchange("a" + i, "lookup", 200, i, 200 + i);
            attempt("a" + i, 10 + i, 100 + i, true);
        }
        broken(Rule.CEILINGS_KEPT);
    }

    @Test
    void aCeilingThatFillsMeanwhileIsNot() {
        for (int i = 0; i < 60; i++) {
            exchange("a" + i, "lookup", 200, 100 * i, 100 * i + 50);
            attempt("a" + i, 100 * i + 1, 100 * i + 40, true);
        }
        kept();
    }
}
