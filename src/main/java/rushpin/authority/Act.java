package rushpin.authority;

/** What is to be done next, in order: answers to requests by their ids, attempts at the servers, words to the fleet. */
public sealed interface Act<B> {
    /** Answer from the copy. */
    record FromCopy<B>(long id, B body, Version version) implements Act<B> {}

    /** Answer with what the servers said to a look-up that began after this one arrived. */
    record FromServers<B>(long id, B body) implements Act<B> {}

    /** The order has run; the body is null where the servers gave none. */
    record Done<B>(long id, B body) implements Act<B> {}

    /** Refused; nothing of it has run. */
    record Refused<B>(long id, Why why, long returnIn) implements Act<B> {}

    /** An order that may have run; it is not sent again. */
    record MayHaveRun<B>(long id) implements Act<B> {}

    /** Ask the servers for the object. */
    record Look<B>(long number) implements Act<B> {}

    /** Send the order to the servers, once; it must have no effect later than the longest effect from now. */
    record Send<B>(long number, long id) implements Act<B> {}

    /** Ask the log to pass the object on, in one entry: nobody is told that it is free. */
    record Pass<B>(long fence, String to) implements Act<B> {}

    /** Give the object back to the log. */
    record GiveBack<B>(long fence) implements Act<B> {}

    /** Send this to the next holder. */
    record Give<B>(String to, Gift<B> gift) implements Act<B> {}

    /**
     * A copy's version: later holders' are greater, and so is each one of a holder.
     *
     * @param count of changes since the holder took over
     */
    record Version(long fence, long count) implements Comparable<Version> {
        @Override
        public int compareTo(Version other) {
            return fence != other.fence ? Long.compare(fence, other.fence) : Long.compare(count, other.count);
        }
    }

    /** Why something is refused. */
    enum Why {
        /** The object is not held here, or no more. */
        NOT_HOLDER,
        /** It is being handed over. */
        HANDED_OVER,
        /** Orders that the one before has taken may still be repeated, and their keys are not known. */
        KEYS_UNKNOWN,
        /** A bound. */
        TOO_MANY,
        /** The servers refused it or could not be asked. */
        SERVERS
    }
}
