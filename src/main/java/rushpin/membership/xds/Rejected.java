package rushpin.membership.xds;

/** A resource that cannot be taken; the message says which field, why, and what is allowed. */
public final class Rejected extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public Rejected(String message) {
        super(message);
    }
}
