package rushpin.study;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rushpin.config.Config;

/**
 * One of the alternatives that a study compares: settings and the build whose gateway module makes the decisions.
 *
 * @param name the choice as the operator wrote it
 * @param settings path=value pairs under the platform's names
 * @param build the jar of another build; null for this program's own module
 * @param day keys of the day that differ for this choice, such as the number of a server's cores
 */
public record Choice(String name, Map<String, String> settings, Path build, Map<String, String> day) {
    private static final String DAY_PREFIX = "day.";

    /**
     * Parses a choice of parts separated by commas: a settings file in the platform's format ({@code *.json}), a build
     * ({@code *.jar}), a setting by its dotted key below {@code settings} ({@code caps.max-attempts=2}), a key of the
     * day ({@code day.servers.cores=3}), or {@code as-is}.
     *
     * @param text the choice
     * @param defaultSettings the settings file if the choice names none; may be null
     */
    public static Choice of(String text, Path defaultSettings) throws UnusableInputException {
        Path file = defaultSettings;
        Path build = null;
        Map<String, String> changed = new HashMap<>();
        Map<String, String> day = new HashMap<>();
        for (String part : text.split(",")) {
            if (part.endsWith(".json")) {
                file = Path.of(part);
            } else if (part.endsWith(".jar")) {
                build = Path.of(part);
            } else if (part.startsWith(DAY_PREFIX) && part.indexOf('=') > 0) {
                day.put(part.substring(DAY_PREFIX.length(), part.indexOf('=')), part.substring(part.indexOf('=') + 1));
            } else if (part.indexOf('=') > 0) {
                changed.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
            } else if (!part.equals("as-is")) {
                throw new UnusableInputException(
                        "choice \"" + text + "\": \"" + part + "\" is none of FILE.json, FILE.jar, KEY=VALUE, as-is");
            }
        }
        if (file == null) {
            throw new UnusableInputException(
                    "choice \"" + text + "\" names no settings; give FILE.json in it or by --settings");
        }
        Map<String, String> settings;
        try {
            settings = Config.settingsPairs(file);
        } catch (Config.Invalid e) {
            throw new UnusableInputException(file + ": " + e.getMessage());
        }
        for (Map.Entry<String, String> setting : changed.entrySet()) {
            if (!settings.containsKey(setting.getKey())) {
                throw new UnusableInputException(
                        "choice \"" + text + "\": " + file + " has no key " + setting.getKey() + " under settings");
            }
            settings.put(setting.getKey(), setting.getValue());
        }
        return new Choice(text, settings, build, Map.copyOf(day));
    }

    /** Returns a day with this choice's changes. */
    Map<String, String> applyTo(Map<String, String> day) {
        Map<String, String> changed = new TreeMap<>(day);
        changed.putAll(this.day);
        return changed;
    }

    /** Returns a copy with one setting, or one key of the day, changed. */
    public Choice with(String key, String value) throws UnusableInputException {
        if (key.startsWith(DAY_PREFIX)) {
            Map<String, String> changedDay = new HashMap<>(day);
            changedDay.put(key.substring(DAY_PREFIX.length()), value);
            return new Choice(key + "=" + value, settings, build, Map.copyOf(changedDay));
        }
        if (!settings.containsKey(key)) {
            throw new UnusableInputException(name + " has no key " + key + " under settings");
        }
        Map<String, String> changed = new HashMap<>(settings);
        changed.put(key, value);
        return new Choice(key + "=" + value, changed, build, day);
    }
}
