package rushpin.study;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Converts a simulated day between a TOML 1.0 file and path=value pairs. */
public final class DayFile {
    private DayFile() {}

    /** Reads a file; the model checks keys and values. */
    public static Map<String, String> read(Path file) throws UnusableInputException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new UnusableInputException("the day " + file + " cannot be read: " + e.getMessage());
        }
    }

    /** Parses the text of a file; {@code name} names it in error messages. */
    public static Map<String, String> parse(String text, String name) throws UnusableInputException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new UnusableInputException(
                    name + ", line " + toml.errors().get(0).position().line() + ": this is not TOML: "
                            + toml.errors().get(0).getMessage().replace('\n', ' '));
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", toml, pairs);
        return pairs;
    }

    private static void flatten(String prefix, TomlTable table, Map<String, String> into) {
        for (String key : table.keySet()) {
            Object value = table.get(List.of(key));
            if (value instanceof TomlTable nested) {
                flatten(prefix + key + ".", nested, into);
            } else if (value instanceof TomlArray array
                    && array.toList().stream().anyMatch(TomlTable.class::isInstance)) {
                into.put(prefix + key + ".count", String.valueOf(array.size()));
                for (int i = 0; i < array.size(); i++) {
                    flatten(prefix + key + "." + i + ".", array.getTable(i), into);
                }
            } else if (value instanceof TomlArray array) {
                into.put(
                        prefix + key,
                        String.join(
                                ",",
                                array.toList().stream().map(String::valueOf).toList()));
            } else {
                into.put(prefix + key, String.valueOf(value));
            }
        }
    }

    /** Formats the pairs as a file's text: comments first, then one table per prefix. */
    public static String text(Map<String, String> pairs, List<String> comments) {
        StringBuilder text = new StringBuilder();
        comments.forEach(line -> text.append("# ").append(line).append('\n'));
        Map<String, List<String>> tables = new TreeMap<>();
        pairs.forEach((key, value) -> {
            int dot = key.lastIndexOf('.');
            String table = dot < 0 ? "" : key.substring(0, dot);
            if (!key.equals("trouble.count")) {
                tables.computeIfAbsent(table, t -> new ArrayList<>())
                        .add(key.substring(dot + 1) + " = " + value(value));
            }
        });
        tables.forEach((table, lines) -> {
            String header =
                    table.startsWith("trouble.") ? "\n[[trouble]]\n" : table.isEmpty() ? "" : "\n[" + table + "]\n";
            text.append(header);
            lines.forEach(line -> text.append(line).append('\n'));
        });
        return text.toString();
    }

    private static String value(String value) {
        if (value.matches("-?[0-9]+(\\.[0-9]+)?([eE][+-]?[0-9]+)?|true|false")) {
            return value;
        }
        if (value.matches("[0-9.eE+-]+(,[0-9.eE+-]+)+")) {
            return "[" + value.replace(",", ", ") + "]";
        }
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
