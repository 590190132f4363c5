package rushpin.node;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * What libraries log, without the hour, which whoever keeps lines has. The JVM's own formatter opens a file for it at its first line: where no
 * descriptor was left, to say so failed by an Error, and that ended the event loop.
 */
public final class PlainLogFormatter extends Formatter {
    private PlainLogFormatter() {}

    /** From now on all handlers write so. */
    public static void install() {
        for (Handler each : Logger.getLogger("").getHandlers()) {
            each.setFormatter(new PlainLogFormatter());
        }
    }

    @Override
    public String format(LogRecord of) {
        StringWriter text = new StringWriter();
        text.append(of.getLoggerName() + ": " + formatMessage(of) + System.lineSeparator());
        if (of.getThrown() != null) {
            of.getThrown().printStackTrace(new PrintWriter(text));
        }
        return text.toString();
    }
}
