package rushpin.peer;

/** Why a request has no outcome. */
public enum Failure {
    /** Nothing was done: no voter that leads was found. */
    NOT_LEADING,
    /** Nothing was done: a bound was reached. */
    BUSY,
    /** Nothing was done: the voter could not read it. */
    UNREADABLE,
    /** Nothing was sent: there is no stream to any voter just now. */
    NO_STREAM,
    /** It may have been done, or may be done yet. */
    UNCERTAIN
}
