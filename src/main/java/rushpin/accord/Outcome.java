package rushpin.accord;

/** What became of a command. Every proposal ends in exactly one of these, or in not knowing. */
public sealed interface Outcome {
    /** Nothing to say beyond that it was done. */
    record Done() implements Outcome {}

    /** The session; its number is a fencing number too and grows for ever. */
    record Joined(long session, Terms terms) implements Outcome {}

    /** The resource is the session's, under this fence. */
    record Granted(String resource, long fence) implements Outcome {}

    /** Another one has it. */
    record Held(String resource, String by) implements Outcome {}

    /** The plan is in force under this number. */
    record Published(long number) implements Outcome {}

    /** The division is in force under this number. */
    record Divided(long number) implements Outcome {}

    /** What the session may have open to the group now. */
    record Allotted(Allotment word) implements Outcome {}

    /** Nothing was changed. */
    record Refused(Reason reason) implements Outcome {}

    /** Why nothing was changed. */
    enum Reason {
        /** Before the founding, or a second one. */
        NOT_FOUNDED,
        FOUNDED_BEFORE,
        /** The session is over: whoever held it holds nothing and joins anew. */
        NO_SESSION,
        /** Not the holder, or under an older fence. */
        NOT_HOLDER,
        /** A bound of the terms. */
        TOO_MANY_SESSIONS,
        TOO_MANY_HELD,
        /** A plan that is made from another one than that in force, or is none: a zone twice, parts that are not a whole. */
        STALE_PLAN,
        BAD_PLAN,
        /**
         * A division that is made from another one than that in force, or is none: a session or a tenant twice, more than there
         * is, figures that can't be or that were lowered and may not be; one group too many.
         */
        STALE_DIVISION,
        BAD_DIVISION,
        TOO_MANY_GROUPS,
        /** The session has nothing of the group. */
        NOT_ALLOTTED,
        /** A name that is empty, too long, or of other letters than a-z, A-Z, 0-9, '.', '-', '_', ':'. */
        BAD_NAME,
        /** A command of a newer version. */
        UNKNOWN
    }
}
