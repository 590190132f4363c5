package rushpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads one table of the operator's file, and records a fault for each unknown key and each unusable value. */
final class TableReader {
    private final TomlTable table;
    private final String path;
    private final int line;
    private final List<OperatorConfig.Fault> faults;
    /** The keys that the program has asked for. */
    private final Collection<String> known = new TreeSet<>();

    /** Reads a table at a path; {@code line} is the line where it begins. */
    TableReader(TomlTable table, String path, int line, List<OperatorConfig.Fault> faults) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.faults = faults;
    }

    /** The full path of a key, as faults name it. */
    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** The line of a key; the line of the table if the key is empty or absent. */
    int line(String key) {
        TomlPosition position = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Records a fault of a key, or of the table if the key is empty. */
    void fault(String key, String found, String allowed) {
        faults.add(new OperatorConfig.Fault(key.isEmpty() ? path : path(key), line(key), found, allowed));
    }

    /** Whether a key is present. */
    boolean has(String key) {
        known.add(key);
        return table.contains(List.of(key));
    }

    private Object value(String key) {
        known.add(key);
        return table.get(List.of(key));
    }

    private static String describe(Object value) {
        return value instanceof TomlTable
                ? "a table"
                : value instanceof TomlArray
                        ? "a list"
                        : value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }

    /** Whether the value of a key is a text. */
    boolean isText(String key) {
        return value(key) instanceof String;
    }

    /** A text; null if there is none, which is a fault if the key is required. */
    String text(String key, boolean isRequired) {
        Object value = value(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        if (value != null) {
            fault(key, "found " + describe(value), "a text that is not blank");
        } else if (isRequired) {
            fault(key, "is missing", "a text");
        }
        return null;
    }

    /** One of a few words; the default if the key is absent. */
    String word(String key, String defaultValue, List<String> allowed) {
        String text = text(key, false);
        if (text != null && !allowed.contains(text)) {
            fault(key, "found \"" + text + "\"" + nearest(text, allowed), String.join(", ", allowed));
            return defaultValue;
        }
        return text == null ? defaultValue : text;
    }

    /** A whole number within bounds; the default if the key is absent. */
    long whole(String key, long defaultValue, long min, long max) {
        Object value = value(key);
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        if (value != null) {
            fault(key, "found " + describe(value), "a whole number from " + min + " to " + max);
        }
        return defaultValue;
    }

    /** A list of texts; empty if the key is absent. */
    List<String> texts(String key, int max) {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)
                || array.size() > max
                || array.isEmpty()
                || !array.toList().stream().allMatch(String.class::isInstance)) {
            fault(key, "found " + describe(value), "a list of 1 to " + max + " texts");
            return List.of();
        }
        return array.toList().stream().map(String.class::cast).toList();
    }

    /** True or false; false if the key is absent. */
    boolean flag(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            fault(key, "found " + describe(value), "true or false");
        }
        return value instanceof Boolean flag && flag;
    }

    /** A table below this one; an empty table if there is none. */
    TableReader table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            fault(key, "found " + describe(value), "a table, [" + path(key) + "]");
        }
        TomlTable child = value instanceof TomlTable found ? found : Toml.parse("");
        return new TableReader(child, path(key), line(key), faults);
    }

    /** The tables of an array of tables; empty if the key is absent. */
    List<TableReader> tables(String key, int max) {
        Object value = value(key);
        List<TableReader> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            fault(key, "found " + describe(value), "tables, [[" + path(key) + "]]");
            return all;
        }
        if (array.size() > max) {
            fault(key, "has " + array.size() + " entries", max + " at most");
        }
        for (int i = 0; i < Math.min(max, array.size()); i++) {
            all.add(new TableReader(
                    array.getTable(i),
                    path(key) + "[" + (i + 1) + "]",
                    array.inputPositionOf(i).line(),
                    faults));
        }
        return all;
    }

    /** The keys of a table that may have any keys. */
    Collection<String> allKeys() {
        known.addAll(table.keySet());
        return table.keySet();
    }

    /** Records a fault for each key that the program has not asked for; to be called last. */
    void done() {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                fault(key, "is no key here" + nearest(key, known), String.join(", ", known));
            }
        }
    }

    /** A suggestion of the known word that is nearest to an unknown one; empty if none is near. */
    static String nearest(String word, Collection<String> known) {
        String best = null;
        int limit = 1 + Math.max(2, word.length() / 3);
        for (String one : known) {
            int distance = distance(word, one);
            if (distance < limit) {
                limit = distance;
                best = one;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }

    /** The Levenshtein distance. */
    private static int distance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(replaced, Math.min(previous[j], row[j - 1]) + 1);
            }
            previous = row;
        }
        return previous[b.length()];
    }
}
