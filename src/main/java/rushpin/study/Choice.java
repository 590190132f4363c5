package rushpin.study;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import rushpin.config.Config;

/**
 * One of the two things that are compared: settings, and the build whose module decides.
 *
 * @param name as the operator wrote it
 * @param settings path=value pairs in the platform's names
 * @param build a jar; null for this program's own module
 */
public record Choice(String name, Map<String, String> settings, Path build) {
    /**
     * Reads a choice: parts joined by commas, each a settings file ({@code *.json}, the platform's form), a build ({@code *.jar}) or one
     * setting ({@code caps.max-attempts=2}, the key as in the file under {@code settings}, points between).
     *
     * @param otherwise the settings file where the choice names none; may be null
     */
    public static Choice of(String word, Path otherwise) throws Unusable {
        Path file = otherwise, build = null;
        Map<String, String> changed = new HashMap<>();
        for (String part : word.split(",")) {
            if (part.endsWith(".json")) {
                file = Path.of(part);
            } else if (part.endsWith(".jar")) {
                build = Path.of(part);
            } else if (part.indexOf('=') > 0) {
                changed.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
            } else if (!part.equals("as-is")) {
                throw new Unusable("choice \"" + word + "\": \"" + part + "\" is none of FILE.json, FILE.jar, KEY=VALUE, as-is");
            }
        }
        if (file == null) {
            throw new Unusable("choice \"" + word + "\" names no settings; give FILE.json in it or by --settings");
        }
        Map<String, String> settings;
        try {
            settings = Config.settingsPairs(file);
        } catch (Config.Invalid e) {
            throw new Unusable(file + ": " + e.getMessage());
        }
        for (Map.Entry<String, String> each : changed.entrySet()) {
            if (!settings.containsKey(each.getKey())) {
                throw new Unusable("choice \"" + word + "\": " + file + " has no key " + each.getKey() + " under settings");
            }
            settings.put(each.getKey(), each.getValue());
        }
        return new Choice(word, settings, build);
    }

    /** The same with one setting changed. */
    public Choice with(String key, String value) throws Unusable {
        if (!settings.containsKey(key)) {
            throw new Unusable(name + " has no key " + key + " under settings");
        }
        Map<String, String> changed = new HashMap<>(settings);
        changed.put(key, value);
        return new Choice(key + "=" + value, changed, build);
    }
}
