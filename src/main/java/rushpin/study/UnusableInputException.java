package rushpin.study;

/** Thrown for arguments or files that a study can't use; the message names them and what is allowed. */
public final class UnusableInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the message is shown to the operator. */
    public UnusableInputException(String message) {
        super(message);
    }
}
