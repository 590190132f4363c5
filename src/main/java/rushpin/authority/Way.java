package rushpin.authority;

/** Where a request for an object goes from here. */
public sealed interface Way {
    /** To this process's own copy. */
    record Here() implements Way {}

    /** To the holder, as an ordinary attempt marked as passed on to this fence. */
    record ToHolder(String holder, long fence) implements Way {}

    /** To the servers, past any copy. */
    record ToServers() implements Way {}

    /** Refused at once; it has not run. */
    record Refused(long returnIn) implements Way {}

    /**
     * A client's request. In mode strict nothing is sent without a word that counts: an order past the holder would be missing
     * from its copy, and a look-up past it may show an order that is not acknowledged yet, which the copy takes back.
     *
     * @param held the fence under which this process holds the object now, 0 for not
     * @param word the newest one, or null
     */
    static Way ofClient(Rules rules, Word word, long held, long now) {
        if (held != 0) {
            return new Here();
        }
        if (word != null && word.isAlive(rules, now)) {
            return word.isFree() ? new ToServers() : new ToHolder(word.holder(), word.fence());
        }
        return rules.strict() ? new Refused(rules.lease()) : new ToServers();
    }

    /** Another process's request is for the copy here or refused: never passed on again, nor sent past the copy. */
    static Way ofPeer(Rules rules, long addressed, long held) {
        return held != 0 && held == addressed ? new Here() : new Refused(rules.lease());
    }
}
