package rushpin.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a process of a fleet says of itself in one line, {@code fleet WHAT KEY=VALUE...}; {@code at} is its own clock. */
public sealed interface AccordEvent {
    /** The moment, {@link System#nanoTime}. */
    long at();

    /** It has a session. */
    record Session(long number, long at) implements AccordEvent {}

    /** Its session is over. */
    record Lost(long number, long at) implements AccordEvent {}

    /** What concerns a resource under a fence. */
    sealed interface Held extends AccordEvent {
        /** Its name. */
        String resource();

        /** The fencing number. */
        long fence();
    }

    /** It holds a resource until some moment, unless it says so anew. */
    record Holds(String resource, long fence, long until, long at) implements Held {}

    /** It holds it no more. */
    record Yields(String resource, long fence, long at) implements Held {}

    /** A pool goes by a plan. */
    record Planned(String pool, long number, long fence, long at) implements AccordEvent {}

    /** A pool goes by the local rule, which its last plan and its own sight make, or by the plan again. */
    record Ruled(String pool, boolean local, long at) implements AccordEvent {}

    /**
     * What enters in a zone, of one class or of all that have no way of their own (empty): its parts in thousandths, and what
     * may go there as well while the zone is held out.
     */
    record Way(String from, String of, Map<String, Integer> parts, Map<String, Integer> spare) {}

    /** It was told a plan that the fleet has agreed on. */
    record Agreed(long number, long fence, List<Way> ways, long at) implements AccordEvent {}

    /** A pool keeps to a permit at a group of servers: so many connections, and so many when its lease is over. */
    record Permitted(String group, int most, int own, int open, long at) implements AccordEvent {}

    /** It leads the voters. */
    record Leads(long at) implements AccordEvent {}

    /** It leads no more. */
    record Follows(long at) implements AccordEvent {}

    /** It is a voter; {@code blank} if it found no folder of its own. */
    record Voter(String id, boolean blank, String group, long at) implements AccordEvent {}

    /** Its vote counts from now on. */
    record Counts(String id, long at) implements AccordEvent {}

    /** It votes no more. */
    record StepsBack(String why, long at) implements AccordEvent {}

    /** The event that a line tells; null for a line that tells none of these. */
    static AccordEvent of(String line) {
        String[] words = line.split(" ");
        if (words.length < 2 || !words[0].equals("fleet")) {
            return null;
        }
        Map<String, String> values = new HashMap<>();
        for (int i = 2; i < words.length; i++) {
            int is = words[i].indexOf('=');
            if (is > 0) {
                values.put(words[i].substring(0, is), words[i].substring(is + 1));
            }
        }
        return switch (words[1]) {
            case "session" -> new Session(number(values, "number"), number(values, "at"));
            case "lost" -> new Lost(number(values, "number"), number(values, "at"));
            case "holds" ->
                new Holds(
                        text(values, "resource"),
                        number(values, "fence"),
                        number(values, "until"),
                        number(values, "at"));
            case "yields" -> new Yields(text(values, "resource"), number(values, "fence"), number(values, "at"));
            case "plan" ->
                new Planned(
                        text(values, "pool"), number(values, "number"), number(values, "fence"), number(values, "at"));
            case "rule" -> new Ruled(text(values, "pool"), text(values, "rule").equals("local"), number(values, "at"));
            case "agreed" ->
                new Agreed(
                        number(values, "number"),
                        number(values, "fence"),
                        ways(text(values, "ways")),
                        number(values, "at"));
            case "permit" ->
                new Permitted(
                        text(values, "group"),
                        (int) number(values, "most"),
                        (int) number(values, "own"),
                        (int) number(values, "open"),
                        number(values, "at"));
            case "leads" -> new Leads(number(values, "at"));
            case "follows" -> new Follows(number(values, "at"));
            case "voter" ->
                new Voter(
                        text(values, "id"),
                        Boolean.parseBoolean(text(values, "blank")),
                        text(values, "group"),
                        number(values, "at"));
            case "counts" -> new Counts(text(values, "id"), number(values, "at"));
            case "steps-back" -> new StepsBack(text(values, "why"), number(values, "at"));
            default -> null;
        };
    }

    /** {@code FROM[/CLASS]>TO=THOUSANDTHS[+SPARE],...;...}, or a dash for none. */
    private static List<Way> ways(String text) {
        List<Way> ways = new ArrayList<>();
        for (String way : text.equals("-") ? new String[0] : text.split(";")) {
            int to = way.indexOf('>'), of = way.indexOf('/');
            if (to < 0) {
                throw new IllegalArgumentException("no way: " + way);
            }
            Map<String, Integer> parts = new TreeMap<>(), spares = new TreeMap<>();
            for (String part : way.substring(to + 1).split(",")) {
                int is = part.indexOf('=');
                if (is < 0) {
                    throw new IllegalArgumentException("no part: " + part);
                }
                int more = part.indexOf('+', is), end = more < 0 ? part.length() : more;
                parts.put(part.substring(0, is), Integer.parseInt(part.substring(is + 1, end)));
                if (more > 0) {
                    spares.put(part.substring(0, is), Integer.parseInt(part.substring(more + 1)));
                }
            }
            ways.add(new Way(
                    way.substring(0, of < 0 ? to : of), of < 0 ? "" : way.substring(of + 1, to), parts, spares));
        }
        return ways;
    }

    private static String text(Map<String, String> values, String key) {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("there is no " + key);
        }
        return value;
    }

    private static long number(Map<String, String> values, String key) {
        try {
            return Long.parseLong(text(values, key));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(key + " is no number", e);
        }
    }
}
