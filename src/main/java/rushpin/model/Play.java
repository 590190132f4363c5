package rushpin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports.Settings;
import rushpin.gateway.SettingsReader;

/** One run from one call. Only types of the platform pass, so that the module of another build can be played the same way. */
public final class Play {
    private Play() {}

    /**
     * Plays a day.
     *
     * @param settings the platform's settings as path=value pairs, with the names of classes and plans
     * @param day what surrounds them, see {@link Day}
     * @param columns recorded first tries, see {@link Replay}; null where they are drawn
     * @param customers whose they are
     * @param seed where all chance comes from
     * @return figures by name: numbers, series of numbers, and texts
     * @throws IllegalArgumentException if settings or day can't be used
     */
    public static Map<String, Object> play(
            Map<String, String> settings, Map<String, String> day, double[][] columns, long[] customers, long seed) {
        Settings read = SettingsReader.read(settings);
        Replay replay = columns == null ? null : Replay.of(columns, customers);
        return new World(
                        read,
                        names(settings, "classes"),
                        names(settings, "tariffs"),
                        Day.of(day),
                        replay,
                        seed,
                        Gateway::new)
                .play();
    }

    /** The names of a list in the settings, in their order. */
    public static List<String> names(Map<String, String> settings, String list) {
        List<String> names = new ArrayList<>();
        int count = Integer.parseInt(settings.getOrDefault(list + ".count", "0"));
        for (int i = 0; i < count; i++) {
            names.add(settings.getOrDefault(list + "." + i + ".name", list + "." + i));
        }
        return names;
    }
}
