package rushpin.authority;

import rushpin.accord.Terms;

/**
 * What all processes go by for the objects of one operator's rule. Spans in nanoseconds of a process's own clock.
 *
 * @param strict whether answers for an object are linearizable; otherwise they are no older than {@code age}
 * @param age how old an answer from a copy may be by the holder's own clock; only where not strict
 * @param lease how long a word of who holds an object counts, from its asking
 * @param effect the longest that an attempt at the servers can have an effect, from its beginning
 * @param clearing from word of a grant until nobody sends by an earlier word any more
 * @param remember for so long a client may repeat an order under its key; 0 where the servers discard repeats by themselves
 * @param mostTogether look-ups that wait for the servers, of one object
 * @param mostOrders orders that wait for the one that is out, of one object
 * @param mostKeys order keys remembered, of one object
 */
public record Rules(
        boolean strict,
        long age,
        long lease,
        long effect,
        long clearing,
        long remember,
        int mostTogether,
        int mostOrders,
        int mostKeys) {
    /** Checks the bounds. */
    public Rules {
        if (age < 0
                || lease <= 0
                || effect < 0
                || clearing < 0
                || remember < 0
                || mostTogether < 1
                || mostOrders < 0
                || mostKeys < 1) {
            throw new IllegalArgumentException("rules out of bounds: age " + age + ", lease " + lease + ", effect "
                    + effect + ", clearing " + clearing + ", remember " + remember);
        }
    }

    /** Linearizable for each object. */
    public static Rules strict(Terms terms, long remember, int mostTogether, int mostOrders, int mostKeys) {
        return new Rules(
                true,
                0,
                terms.lease(),
                terms.effect(),
                terms.expiry(),
                stretched(terms, remember),
                mostTogether,
                mostOrders,
                mostKeys);
    }

    /** Answers no older than an age in real time, which a slow clock counts less of. */
    public static Rules bounded(Terms terms, long age, long remember, int mostTogether, int mostOrders, int mostKeys) {
        return new Rules(
                false,
                age - Math.floorDiv(age * terms.drift() + 999_999, 1_000_000),
                terms.lease(),
                terms.effect(),
                terms.expiry(),
                stretched(terms, remember),
                mostTogether,
                mostOrders,
                mostKeys);
    }

    private static long stretched(Terms terms, long span) {
        return terms.waiting(span);
    }
}
