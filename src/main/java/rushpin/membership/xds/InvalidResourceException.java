package rushpin.membership.xds;

/** A resource that cannot be taken; the message says which field, why, and what is allowed. */
public final class InvalidResourceException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public InvalidResourceException(String message) {
        super(message);
    }
}
