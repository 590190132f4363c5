package rushpin.accord;

/** What the fleet hears of an entry. */
public sealed interface Decision {
    /** A plan is in force. */
    record InForce(Plan plan) implements Decision {}

    /** A session may have other connections open than before. */
    record Allotted(Allotment word) implements Decision {}

    /** A process is there. */
    record Came(long session, Who who) implements Decision {}

    /** A session has ended; what it held is free. */
    record Went(long session, Who who) implements Decision {}

    /** A resource has a holder. */
    record Holds(String resource, long session, long fence) implements Decision {}

    /** A resource has none. */
    record Free(String resource) implements Decision {}
}
