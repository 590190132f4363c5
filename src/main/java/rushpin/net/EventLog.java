package rushpin.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs why requests and connections were ended early, with the request's ID: at most one line a second for each kind of
 * event, and how many were left out since the line before. Owned by one event loop; the time comes as an argument.
 */
final class EventLog {
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    private static final int MAX_ID_LENGTH = 128;

    /** What happened. */
    enum Event {
        REQUEST_REJECTED("client request rejected"),
        RESPONSE_CUT("response cut off"),
        ANSWER_GIVEN_UP("partial answer given up"),
        ANSWER_BEGUN_EARLY("answer passed on before it is complete"),
        ATTEMPT_ABORTED("attempt aborted, its client is gone or was answered"),
        ATTEMPT_KEY_EXPIRES("attempt ended before the app servers forget its key"),
        ATTEMPT_TIMED_OUT("attempt timed out");

        private final String text;

        Event(String text) {
            this.text = text;
        }
    }

    /** The state of one kind of event. */
    private static final class Kind {
        private long loggedAt;
        private boolean everLogged;
        private long leftOut;
    }

    private final Map<Event, Kind> kinds = new EnumMap<>(Event.class);
    private final Consumer<String> out;

    /** Creates a log that writes lines to {@code out}. */
    EventLog(Consumer<String> out) {
        this.out = out;
    }

    private static boolean isPrintable(String id) {
        return id != null && id.length() <= MAX_ID_LENGTH && id.chars().allMatch(c -> c > ' ' && c < 127);
    }

    /**
     * Logs an event.
     *
     * @param id the request's ID as its client wrote it; null if it is not known
     */
    void log(Event event, String id, String detail, long now) {
        Kind kind = kinds.computeIfAbsent(event, unused -> new Kind());
        if (kind.everLogged && now - kind.loggedAt < MIN_INTERVAL_NANOS) {
            kind.leftOut++;
            return;
        }
        String more = kind.leftOut > 0 ? " (" + kind.leftOut + " more since the last line)" : "";
        out.accept(event.text + ": id=" + (isPrintable(id) ? id : "-") + " " + detail + more);
        kind.loggedAt = now;
        kind.everLogged = true;
        kind.leftOut = 0;
    }
}
