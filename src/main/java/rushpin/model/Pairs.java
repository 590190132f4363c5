package rushpin.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Path=value pairs of a file, read with bounds; each fault names the key, what was found and what is allowed. */
final class Pairs {
    private final Map<String, String> pairs;
    private final Set<String> known = new TreeSet<>();
    private final List<String> faults = new ArrayList<>();

    Pairs(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    void fault(String key, String allowed) {
        faults.add(key + " is " + (pairs.containsKey(key) ? "\"" + pairs.get(key) + "\"" : "missing") + "; allowed: "
                + allowed);
    }

    String text(String key, String otherwise) {
        known.add(key);
        return pairs.getOrDefault(key, otherwise);
    }

    String word(String key, Collection<String> allowed) {
        String word = text(key, "");
        if (!allowed.contains(word)) {
            fault(key, String.join(", ", new TreeSet<>(allowed)));
        }
        return word;
    }

    double number(String key, double otherwise, double least, double most) {
        String text = text(key, null);
        if (text == null) {
            if (Double.isNaN(otherwise)) {
                fault(key, "a number from " + least + " to " + most);
                return least;
            }
            return otherwise;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        fault(key, "a number from " + least + " to " + most);
        return least;
    }

    int whole(String key, double otherwise, int least, int most) {
        double value = number(key, otherwise, least, most);
        if (value != Math.rint(value)) {
            fault(key, "a whole number");
        }
        return (int) value;
    }

    /** Nanoseconds of a key in milliseconds. */
    long span(String key, double otherwiseMs, double mostMs) {
        return (long) (number(key, otherwiseMs, 0, mostMs) * 1e6);
    }

    boolean flag(String key, boolean otherwise) {
        String text = text(key, String.valueOf(otherwise));
        if (!text.equals("true") && !text.equals("false")) {
            fault(key, "true or false");
        }
        return text.equals("true");
    }

    /** Two figures, the lesser first; one stands for both. */
    double[] range(String key, double low, double high, double most) {
        String text = text(key, low + "," + high);
        String[] parts = text.split(",");
        try {
            double from = Double.parseDouble(parts[0].trim()), to = Double.parseDouble(parts[parts.length - 1].trim());
            if (parts.length <= 2 && from >= 0 && from <= to && to <= most) {
                return new double[] {from, to};
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        fault(key, "two numbers from 0 to " + most + ", the lesser first");
        return new double[] {low, high};
    }

    /** The words between a prefix and the next point, in order. */
    Collection<String> below(String prefix) {
        Set<String> words = new TreeSet<>();
        for (String key : pairs.keySet()) {
            if (key.startsWith(prefix) && key.indexOf('.', prefix.length()) > 0) {
                words.add(key.substring(prefix.length(), key.indexOf('.', prefix.length())));
            }
        }
        return words;
    }

    /** Tells faults of keys that nobody has asked for, and throws if there is any fault. */
    void done() {
        for (String key : new TreeSet<>(pairs.keySet())) {
            if (!known.contains(key)) {
                faults.add(key + " is no key here");
            }
        }
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", faults));
        }
    }
}
