package rushpin.net;

/** One line for what should not have happened; it ends one request or connection, never the process. */
public final class ErrorLog {
    private ErrorLog() {}

    /** Says what was hit, by what, and where. */
    public static void report(String what, Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        System.err.println(what + ": " + e + (at.length > 0 ? " at " + at[0] : ""));
    }
}
