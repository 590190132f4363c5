package rushpin.net;

/** Logs unexpected exceptions, which end one request or connection but never the process, to standard error. */
public final class ErrorLog {
    private ErrorLog() {}

    /** Writes one line: what failed, the exception, and the first line of its stack trace. */
    public static void report(String what, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        System.err.println(what + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
