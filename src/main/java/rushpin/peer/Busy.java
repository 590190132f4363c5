package rushpin.peer;

/** A bound is reached; nothing was done. */
public final class Busy extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says which bound. */
    public Busy(String message) {
        super(message, null, false, false);
    }
}
