package rushpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** One table of the operator's file: reads known keys, and tells a fault of what is none. */
final class TableReader {
    private final TomlTable table;
    private final String path;
    private final int line;
    private final List<OperatorConfig.Fault> faults;
    private final Collection<String> known = new TreeSet<>();

    /** A table at a path; {@code line} is where it begins. */
    TableReader(TomlTable table, String path, int line, List<OperatorConfig.Fault> faults) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.faults = faults;
    }

    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    int line(String key) {
        TomlPosition at = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
        return at == null ? line : at.line();
    }

    void fault(String key, String found, String allowed) {
        faults.add(new OperatorConfig.Fault(key.isEmpty() ? path : path(key), line(key), found, allowed));
    }

    boolean has(String key) {
        known.add(key);
        return table.contains(List.of(key));
    }

    private Object value(String key) {
        known.add(key);
        return table.get(List.of(key));
    }

    private static String kind(Object value) {
        return value instanceof TomlTable
                ? "a table"
                : value instanceof TomlArray
                        ? "a list"
                        : value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }

    /** Whether a text stands there. */
    boolean isText(String key) {
        return value(key) instanceof String;
    }

    /** A text; null, with a fault if it must be there, where there is none. */
    String text(String key, boolean must) {
        Object value = value(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        if (value != null) {
            fault(key, "found " + kind(value), "a text that is not blank");
        } else if (must) {
            fault(key, "is missing", "a text");
        }
        return null;
    }

    /** One of a few words; the default where none stands there. */
    String word(String key, String otherwise, List<String> allowed) {
        String text = text(key, false);
        if (text != null && !allowed.contains(text)) {
            fault(key, "found \"" + text + "\"" + nearest(text, allowed), String.join(", ", allowed));
            return otherwise;
        }
        return text == null ? otherwise : text;
    }

    /** A whole number within bounds; the default where none stands there. */
    long whole(String key, long otherwise, long least, long most) {
        Object value = value(key);
        if (value instanceof Long number && number >= least && number <= most) {
            return number;
        }
        if (value != null) {
            fault(key, "found " + kind(value), "a whole number from " + least + " to " + most);
        }
        return otherwise;
    }

    /** A list of texts; empty where none stands there. */
    List<String> texts(String key, int most) {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)
                || array.size() > most
                || array.isEmpty()
                || !array.toList().stream().allMatch(String.class::isInstance)) {
            fault(key, "found " + kind(value), "a list of 1 to " + most + " texts");
            return List.of();
        }
        return array.toList().stream().map(String.class::cast).toList();
    }

    /** True or false; false where none stands there. */
    boolean flag(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            fault(key, "found " + kind(value), "true or false");
        }
        return value instanceof Boolean flag && flag;
    }

    /** A table below; one without keys where there is none. */
    TableReader table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            fault(key, "found " + kind(value), "a table, [" + path(key) + "]");
        }
        TomlTable below = value instanceof TomlTable found ? found : Toml.parse("");
        return new TableReader(below, path(key), line(key), faults);
    }

    /** The tables of a list of tables. */
    List<TableReader> tables(String key, int most) {
        Object value = value(key);
        List<TableReader> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        if (!(value instanceof TomlArray array) || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            fault(key, "found " + kind(value), "tables, [[" + path(key) + "]]");
            return all;
        }
        if (array.size() > most) {
            fault(key, "has " + array.size() + " entries", most + " at most");
        }
        for (int i = 0; i < Math.min(most, array.size()); i++) {
            all.add(new TableReader(
                    array.getTable(i),
                    path(key) + "[" + (i + 1) + "]",
                    array.inputPositionOf(i).line(),
                    faults));
        }
        return all;
    }

    /** The keys of a table that may have any. */
    Collection<String> free() {
        known.addAll(table.keySet());
        return table.keySet();
    }

    /** Tells a fault of each key that nobody has asked for. */
    void done() {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                fault(key, "is no key here" + nearest(key, known), String.join(", ", known));
            }
        }
    }

    /** The known word that is nearest to one that is not known, if it is near. */
    static String nearest(String word, Collection<String> known) {
        String best = null;
        int least = 1 + Math.max(2, word.length() / 3);
        for (String one : known) {
            int distance = distance(word, one);
            if (distance < least) {
                least = distance;
                best = one;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }

    /** Levenshtein's distance. */
    private static int distance(String a, String b) {
        int[] last = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            last[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] row = new int[b.length() + 1];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = last[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, Math.min(last[j], row[j - 1]) + 1);
            }
            last = row;
        }
        return last[b.length()];
    }
}
