package rushpin.membership.xds;

/** Thrown for an xDS resource that cannot be used; the message names the field, the reason and what is allowed. */
public final class InvalidResourceException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message of one line. */
    public InvalidResourceException(String message) {
        super(message);
    }
}
