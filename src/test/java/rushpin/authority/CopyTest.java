package rushpin.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.accord.Terms;
import rushpin.authority.Act.Version;
import rushpin.authority.Act.Why;

/** What a holder does where nothing goes wrong, at its bounds, and where requests go; the rest is explored. */
class CopyTest {
    private static final Terms TERMS = new Terms(1_000, 10_000, 100, 9, 9);
    private static final Rules STRICT = Rules.strict(TERMS, 500, 3, 1, 2);
    private static final long F = 7;

    /** It holds from 0 on, has waited, and knows the object. */
    private static Copy<String> holder(Rules rules) {
        Copy<String> copy = new Copy<>(rules);
        copy.gained(F, -10_000, F);
        assertEquals(List.of(new Act.Look<String>(1)), copy.lookUp(1, 0, F));
        assertEquals(List.of(new Act.FromServers<>(1, "a")), copy.looked(1, true, "a", 5, F));
        return copy;
    }

    @Test
    void lookUpsAreAnsweredFromTheCopyAndByNobodyElse() {
        Copy<String> copy = holder(STRICT);
        assertEquals(List.of(new Act.FromCopy<>(2, "a", new Version(F, 1))), copy.lookUp(2, 6, F));
        assertEquals(List.of(new Act.Refused<String>(3, Why.NOT_HOLDER, 1_000)), copy.lookUp(3, 7, 0));
        // Its lease is back under the same fence: the copy is asked for anew, the wait is not.
        copy.gained(F, 8, F);
        assertEquals(List.of(new Act.Look<String>(2)), copy.lookUp(4, 8, F));
    }

    @Test
    void whileItTakesOverAllGoesThroughAndNothingIsKept() {
        Copy<String> copy = new Copy<>(STRICT);
        copy.gained(F, 0, F);
        copy.lookUp(1, 0, F);
        assertEquals(List.of(), copy.lookUp(2, 1, F));
        assertEquals(List.of(), copy.lookUp(3, 1, F));
        assertEquals(List.of(new Act.Refused<String>(4, Why.TOO_MANY, 100)), copy.lookUp(4, 1, F));
        assertEquals(List.of(new Act.FromServers<>(1, "a"), new Act.Look<String>(2)), copy.looked(1, true, "a", 2, F));
        assertEquals(
                List.of(new Act.FromServers<>(2, "a"), new Act.FromServers<>(3, "a")), copy.looked(2, true, "a", 3, F));
        // Keys of the one before are not known.
        assertEquals(
                List.of(new Act.Refused<String>(5, Why.KEYS_UNKNOWN, STRICT.remember() - 4)), copy.order(5, "k", 4, F));
        long clear = TERMS.expiry();
        assertEquals(List.of(new Act.Look<String>(3)), copy.lookUp(6, clear, F));
        copy.looked(3, true, "b", clear + 1, F);
        assertEquals(List.of(new Act.FromCopy<>(7, "b", new Version(F, 1))), copy.lookUp(7, clear + 2, F));
    }

    @Test
    void ordersGoOutOneAtATimeAndAKeyOnce() {
        Copy<String> copy = holder(STRICT);
        assertEquals(List.of(new Act.Send<String>(2, 10)), copy.order(10, "k", 10, F));
        assertEquals(List.of(), copy.order(11, "l", 11, F));
        assertEquals(List.of(new Act.MayHaveRun<String>(12)), copy.order(12, "k", 11, F));
        assertEquals(List.of(new Act.Refused<String>(13, Why.TOO_MANY, 100)), copy.order(13, "m", 11, F));
        assertEquals(
                List.of(new Act.Done<>(10, "b"), new Act.Send<String>(3, 11)),
                copy.ordered(2, Copy.Outcome.DONE, "b", 20, F));
        assertEquals(List.of(new Act.FromCopy<>(14, "b", new Version(F, 2))), copy.lookUp(14, 21, F));
        assertEquals(List.of(new Act.Done<>(15, "b")), copy.order(15, "k", 22, F));
        // No answer within the longest effect: it may have run, and until that is over nothing is kept.
        assertEquals(List.of(new Act.MayHaveRun<String>(11), new Act.Look<String>(4)), copy.lookUp(16, 121, F));
        assertEquals(List.of(), copy.ordered(3, Copy.Outcome.DONE, "c", 122, F));
        assertEquals(List.of(new Act.Refused<String>(17, Why.TOO_MANY, 100)), copy.order(17, "m", 122, F));
    }

    @Test
    void itIsPassedOnWithCopyAndKeysWhenNothingIsOut() {
        Copy<String> copy = holder(STRICT);
        copy.order(10, "k", 10, F);
        assertEquals(List.of(), copy.handOver("B", 11, F));
        assertEquals(List.of(new Act.Refused<String>(11, Why.HANDED_OVER, 100)), copy.order(11, "l", 12, F));
        assertEquals(
                List.of(new Act.Done<>(10, "b"), new Act.Pass<String>(F, "B")),
                copy.ordered(2, Copy.Outcome.DONE, "b", 13, F));
        assertEquals(List.of(new Act.Refused<String>(12, Why.HANDED_OVER, 100)), copy.lookUp(12, 14, F));
        Gift<String> gift = new Gift<>(9, "b", 2, List.of(new Gift.Key<>("k", "b", true, 13 + STRICT.remember() - 15)));
        assertEquals(List.of(new Act.Give<>("B", gift)), copy.passed(F, 9, 15));
        Copy<String> next = new Copy<>(STRICT);
        next.given(gift, 3, 0);
        next.gained(9, 4, 9);
        assertEquals(List.of(new Act.FromCopy<>(1, "b", new Version(9, 1))), next.lookUp(1, 5, 9));
        assertEquals(List.of(new Act.Done<>(2, "b")), next.order(2, "k", 5, 9));
    }

    @Test
    void oneHopAndNothingWithoutAWord() {
        Word free = new Word(0, "", 3), held = new Word(0, "B", 4);
        assertEquals(new Way.Here(), Way.ofClient(STRICT, null, F, 0));
        assertEquals(new Way.ToServers(), Way.ofClient(STRICT, free, 0, 999));
        assertEquals(new Way.ToHolder("B", 4), Way.ofClient(STRICT, held, 0, 999));
        assertEquals(new Way.Refused(1_000), Way.ofClient(STRICT, free, 0, 1_000));
        assertEquals(new Way.Refused(1_000), Way.ofClient(STRICT, null, 0, 0));
        assertEquals(new Way.ToServers(), Way.ofClient(Rules.bounded(TERMS, 500, 0, 3, 1, 2), held, 0, 1_000));
        assertEquals(new Way.Here(), Way.ofPeer(STRICT, 4, 4));
        for (long fence : new long[] {0, 3, 5}) {
            assertEquals(new Way.Refused(1_000), Way.ofPeer(STRICT, 4, fence));
        }
    }
}
