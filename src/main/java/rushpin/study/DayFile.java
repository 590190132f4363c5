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

/** A day as a file (TOML 1.0) and as path=value pairs. */
public final class DayFile {
    private DayFile() {}

    /** Reads a file; what its keys mean is the model's to check. */
    public static Map<String, String> read(Path file) throws UnusableInputException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new UnusableInputException("the day " + file + " cannot be read: " + e.getMessage());
        }
    }

    /** Reads a text; {@code called} is what faults call it. */
    public static Map<String, String> parse(String text, String called) throws UnusableInputException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new UnusableInputException(
                    called + ", line " + toml.errors().get(0).position().line() + ": this is not TOML: "
                            + toml.errors().get(0).getMessage().replace('\n', ' '));
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", toml, pairs);
        return pairs;
    }

    private static void flatten(String prefix, TomlTable table, Map<String, String> into) {
        for (String key : table.keySet()) {
            Object value = table.get(List.of(key));
            if (value instanceof TomlTable below) {
                flatten(prefix + key + ".", below, into);
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

    /** The pairs as a file's text, troubles last. */
    public static String text(Map<String, String> pairs, List<String> comments) {
        StringBuilder text = new StringBuilder();
        comments.forEach(line -> text.append("# ").append(line).append('\n'));
        Map<String, List<String>> tables = new TreeMap<>();
        pairs.forEach((key, value) -> {
            int point = key.lastIndexOf('.');
            String table = point < 0 ? "" : key.substring(0, point);
            if (!key.equals("trouble.count")) {
                tables.computeIfAbsent(table, t -> new ArrayList<>())
                        .add(key.substring(point + 1) + " = " + value(value));
            }
        });
        tables.forEach((table, lines) -> {
            String head =
                    table.startsWith("trouble.") ? "\n[[trouble]]\n" : table.isEmpty() ? "" : "\n[" + table + "]\n";
            text.append(head);
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
