package rushpin.peer;

/** No answer: it may have been done, or may be done yet. */
public final class Uncertain extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what was waited for. */
    public Uncertain(String message) {
        super(message, null, false, false);
    }
}
