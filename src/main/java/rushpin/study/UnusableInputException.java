package rushpin.study;

/** Words or files that a study can't be made of; the message names them and says what is allowed. */
public final class UnusableInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public UnusableInputException(String message) {
        super(message);
    }
}
