package rushpin.node;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats log records of libraries without a timestamp, which log collectors add.
 *
 * <p>The JDK's own formatter opens a file for the timestamp at its first record. With no file descriptor left, logging
 * that failure threw an Error, which ended the event loop.
 */
public final class PlainLogFormatter extends Formatter {
    private PlainLogFormatter() {}

    /** Installs this format on all handlers of the root logger. */
    public static void install() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new PlainLogFormatter());
        }
    }

    @Override
    public String format(LogRecord entry) {
        StringWriter text = new StringWriter();
        text.append(entry.getLoggerName() + ": " + formatMessage(entry) + System.lineSeparator());
        if (entry.getThrown() != null) {
            entry.getThrown().printStackTrace(new PrintWriter(text));
        }
        return text.toString();
    }
}
