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
 * Reads {@link Settings} from path=value pairs; unknown paths are ignored. The simulator's adapter and the edge
 * node's configuration share it, so that both give the module the same settings for the same names.
 */
public final class SettingsReader {
    private final Map<String, String> pairs;

    private SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Reads the pairs of a line of the simulator, from part {@code from} on.
     *
     * @throws IllegalArgumentException if a part is not path=value or a value is not a number
     */
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

    /**
     * Reads pairs. A list of objects has its length under {@code .count}; a list of plain values is joined by commas.
     *
     * @throws IllegalArgumentException if a value is not a number
     */
    public static Settings read(Map<String, String> pairs) {
        return new SettingsReader(pairs).settings();
    }

    private Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < roundedNumber("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(
                    roundedNumber(prefix + "aim-ns"),
                    roundedNumber(prefix + "deadline-ns"),
                    switch (text(prefix + "idempotency")) {
                        case "retryable" -> Repeat.SAFE;
                        case "dedup" -> Repeat.KEYED;
                        default -> Repeat.UNSAFE;
                    },
                    switch (text(prefix + "group")) {
                        case "all" -> Group.ALL;
                        case "zone" -> Group.ZONE;
                        default -> Group.CELL;
                    },
                    roundedNumber(prefix + "key-ttl-ns"),
                    number(prefix + "late-value"),
                    number(prefix + "worth")));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < roundedNumber("tariffs.count"); i++) {
            String prefix = "tariffs." + i + ".";
            plans.add(new Plan(
                    number(prefix + "units-per-s"),
                    number(prefix + "peak-units"),
                    (int) roundedNumber(prefix + "at-once"),
                    number(prefix + "price"),
                    number(prefix + "beyond-earns"),
                    number(prefix + "beyond-costs"),
                    number(prefix + "hard-rate"),
                    number(prefix + "hard-burst"),
                    number(prefix + "hard-slack")));
        }
        String names = text("load-info.names");
        return new Settings(
                (int) roundedNumber("my-number"),
                (int) Math.max(1, roundedNumber("siblings")),
                (int) roundedNumber("my-zone"),
                roundedNumber("tick-ns"),
                !text("weights").equals("off"),
                text("load-info.source").equals("off") || names.isEmpty() || names.equals("-")
                        ? List.of()
                        : List.of(names.split(",")),
                List.copyOf(classes),
                List.copyOf(plans),
                new Limits(
                        (int) roundedNumber("caps.max-attempts"),
                        (int) roundedNumber("caps.max-open"),
                        flag("caps.probes"),
                        flag("caps.retry-after"),
                        roundedNumber("caps.max-retry-after-ns"),
                        text("discovery").equals("subscribe")),
                new Counter(
                        flag("domain.has-counter"),
                        roundedNumber("domain.count-wait-ns"),
                        flag("domain.trued-up"),
                        number("domain.units-top")),
                new Rules(
                        roundedNumber("rules.answer-slack-ns"),
                        number("rules.cold-from"),
                        roundedNumber("rules.ramp-time-ns"),
                        number("rules.overload-factor"),
                        roundedNumber("rules.tip-after-ns"),
                        drainGrace()));
    }

    private long drainGrace() {
        long grace = roundedNumber("rules.stop-sending-within-ns");
        return grace > 0 ? grace : Rules.DEFAULT_DRAIN_GRACE;
    }

    private String text(String path) {
        return pairs.getOrDefault(path, "");
    }

    private boolean flag(String path) {
        return text(path).equals("true") || text(path).equals("1");
    }

    private long roundedNumber(String path) {
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
