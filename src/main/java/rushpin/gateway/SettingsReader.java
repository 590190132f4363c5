package rushpin.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Counter;
import rushpin.gateway.Ports.Group;
import rushpin.gateway.Ports.Limits;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Rules;
import rushpin.gateway.Ports.Settings;

/**
 * Turns path=value pairs into {@link Settings}; unknown paths are ignored. The simulator's wire and the real
 * edge node's configuration share it, so that both run the module on the same reading of the same names.
 */
public final class SettingsReader {
    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Reads the pairs that stand on a line of the wire, from part {@code from} on. */
    public static Settings read(String[] parts, int from) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = from; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("'" + parts[i] + "' is not path=value");
            }
            pairs.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
        }
        return read(pairs);
    }

    /** Reads pairs; a list of objects has its length under {@code .count}, plain values are joined by commas. */
    public static Settings read(Map<String, String> pairs) {
        return new SettingsReader(pairs).settings();
    }

    private Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < whole("classes.count"); i++) {
            String at = "classes." + i + ".";
            classes.add(new RequestClass(
                    whole(at + "aim-ns"),
                    whole(at + "deadline-ns"),
                    switch (text(at + "idempotency")) {
                        case "retryable" -> Repeat.SAFE;
                        case "dedup" -> Repeat.KEYED;
                        default -> Repeat.UNSAFE;
                    },
                    switch (text(at + "group")) {
                        case "all" -> Group.ALL;
                        case "zone" -> Group.ZONE;
                        default -> Group.CELL;
                    },
                    whole(at + "key-ttl-ns"),
                    number(at + "late-value"),
                    number(at + "worth")));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < whole("tariffs.count"); i++) {
            String at = "tariffs." + i + ".";
            plans.add(new Plan(
                    number(at + "units-per-s"),
                    number(at + "peak-units"),
                    (int) whole(at + "at-once"),
                    number(at + "price"),
                    number(at + "beyond-earns"),
                    number(at + "beyond-costs"),
                    number(at + "hard-rate"),
                    number(at + "hard-burst"),
                    number(at + "hard-slack")));
        }
        String names = text("load-info.names");
        return new Settings(
                (int) whole("my-number"),
                (int) Math.max(1, whole("siblings")),
                (int) whole("my-zone"),
                whole("tick-ns"),
                !text("weights").equals("off"),
                text("load-info.source").equals("off") || names.isEmpty() || names.equals("-")
                        ? List.of()
                        : List.of(names.split(",")),
                List.copyOf(classes),
                List.copyOf(plans),
                new Limits(
                        (int) whole("caps.max-attempts"),
                        (int) whole("caps.max-open"),
                        flag("caps.probes"),
                        flag("caps.retry-after"),
                        whole("caps.max-retry-after-ns"),
                        text("discovery").equals("subscribe")),
                new Counter(
                        flag("domain.has-counter"),
                        whole("domain.count-wait-ns"),
                        flag("domain.trued-up"),
                        number("domain.units-top")),
                new Rules(
                        whole("rules.answer-slack-ns"),
                        number("rules.cold-from"),
                        whole("rules.ramp-time-ns"),
                        number("rules.overload-factor"),
                        whole("rules.tip-after-ns"),
                        drainGrace()));
    }

    private long drainGrace() {
        long told = whole("rules.stop-sending-within-ns");
        return told > 0 ? told : Rules.DEFAULT_DRAIN_GRACE;
    }

    private String text(String path) {
        return pairs.getOrDefault(path, "");
    }

    private boolean flag(String path) {
        return text(path).equals("true") || text(path).equals("1");
    }

    private long whole(String path) {
        return Math.round(number(path));
    }

    private double number(String path) {
        String value = text(path);
        if (value.isEmpty() || value.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number");
        }
    }
}
