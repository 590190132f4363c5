package rushpin.study;

/** Words or files that a study can't be made of; the message names them and says what is allowed. */
public final class Unusable extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public Unusable(String message) {
        super(message);
    }
}
