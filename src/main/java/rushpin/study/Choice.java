package rushpin.study;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rushpin.config.Config;

/**
 * One of the two things that are compared: settings, and the build whose module decides.
 *
 * @param name as the operator wrote it
 * @param settings path=value pairs in the platform's names
 * @param build a jar; null for this program's own module
 * @param day what is different about the day for it, as another kind of server
 */
public record Choice(String name, Map<String, String> settings, Path build, Map<String, String> day) {
    private static final String DAY = "day.";

    /**
     * Reads a choice: parts joined by commas, each a settings file ({@code *.json}, the platform's form), a build ({@code *.jar}), one
     * setting ({@code caps.max-attempts=2}, the key as in the file under {@code settings}, points between) or one key of the day
     * ({@code day.servers.cores=3}).
     *
     * @param otherwise the settings file where the choice names none; may be null
     */
    public static Choice of(String word, Path otherwise) throws UnusableInputException {
        Path file = otherwise, build = null;
        Map<String, String> changed = new HashMap<>(), day = new HashMap<>();
        for (String part : word.split(",")) {
            if (part.endsWith(".json")) {
                file = Path.of(part);
            } else if (part.endsWith(".jar")) {
                build = Path.of(part);
            } else if (part.startsWith(DAY) && part.indexOf('=') > 0) {
                day.put(part.substring(DAY.length(), part.indexOf('=')), part.substring(part.indexOf('=') + 1));
            } else if (part.indexOf('=') > 0) {
                changed.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
            } else if (!part.equals("as-is")) {
                throw new UnusableInputException(
                        "choice \"" + word + "\": \"" + part + "\" is none of FILE.json, FILE.jar, KEY=VALUE, as-is");
            }
        }
        if (file == null) {
            throw new UnusableInputException("choice \"" + word + "\" names no settings; give FILE.json in it or by --settings");
        }
        Map<String, String> settings;
        try {
            settings = Config.settingsPairs(file);
        } catch (Config.Invalid e) {
            throw new UnusableInputException(file + ": " + e.getMessage());
        }
        for (Map.Entry<String, String> each : changed.entrySet()) {
            if (!settings.containsKey(each.getKey())) {
                throw new UnusableInputException(
                        "choice \"" + word + "\": " + file + " has no key " + each.getKey() + " under settings");
            }
            settings.put(each.getKey(), each.getValue());
        }
        return new Choice(word, settings, build, Map.copyOf(day));
    }

    /** A day as it is for this choice. */
    Map<String, String> on(Map<String, String> day) {
        Map<String, String> changed = new TreeMap<>(day);
        changed.putAll(this.day);
        return changed;
    }

    /** The same with one setting, or one key of the day, changed. */
    public Choice with(String key, String value) throws UnusableInputException {
        if (key.startsWith(DAY)) {
            Map<String, String> other = new HashMap<>(day);
            other.put(key.substring(DAY.length()), value);
            return new Choice(key + "=" + value, settings, build, Map.copyOf(other));
        }
        if (!settings.containsKey(key)) {
            throw new UnusableInputException(name + " has no key " + key + " under settings");
        }
        Map<String, String> changed = new HashMap<>(settings);
        changed.put(key, value);
        return new Choice(key + "=" + value, changed, build, day);
    }
}
