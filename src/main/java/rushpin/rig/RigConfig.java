package rushpin.rig;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rushpin.judge.Judge;

/** Writes a node's configuration in the platform's form, for stand-ins of this process. */
final class RigConfig {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS = 1_000_000L;
    static final long KEY_WINDOW_MS = 4_000;

    /** A plan of the rig: units a second and at once, the ceiling's too (0 for none). */
    record Plan(String name, double rate, double burst, double ceilingRate, double ceilingBurst, double slack) {
        Judge.Ceiling ceiling() {
            return new Judge.Ceiling(ceilingRate, ceilingBurst, slack);
        }
    }

    private RigConfig() {}

    /** What the judge is told of the classes that every configuration here has. */
    static Judge.Rules rules(List<Plan> plans) {
        Map<String, Judge.Ceiling> ceilings = new TreeMap<>();
        plans.forEach(plan -> ceilings.put(plan.name(), plan.ceiling()));
        return new Judge.Rules(
                Map.of(
                        "lookup",
                        new Judge.Kind(true, false, 0),
                        "order",
                        new Judge.Kind(false, true, KEY_WINDOW_MS * MS)),
                ceilings,
                1_000 * MS);
    }

    /** A configuration with its own counter and discovery, for a node alone or for a pool. */
    static String json(int sockets, int siblings, Discovery discovery, Counter counter, List<Plan> plans) {
        return json("rig", "127.0.0.1:0", 0, sockets, siblings, discovery, counter, plans);
    }

    /** The same for one node of a fleet. */
    static String json(
            String name,
            String listen,
            int number,
            int sockets,
            int siblings,
            Discovery discovery,
            Counter counter,
            List<Plan> plans) {
        return json(
                name,
                listen,
                number,
                sockets,
                siblings,
                discovery,
                counter,
                plans,
                List.of(AppServer.ZONE, "b"),
                AppServer.ZONE);
    }

    /** The same for one in a zone, with the zones that there are. */
    static String json(
            String name,
            String listen,
            int number,
            int sockets,
            int siblings,
            Discovery discovery,
            Counter counter,
            List<Plan> plans,
            List<String> zones,
            String zone) {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", name)
                .put("listen", listen)
                .put("discovery", discovery.address())
                .put("counter", counter.address())
                .put("seed", Long.toHexString(0x8c1f30d27a5be964L + number));
        root.putObject("limits").put("sockets", sockets).put("memory_mb", 144).put("cores", 1.0);
        root.putObject("known").put("revision", 0).put("complete", true).putArray("members");
        ObjectNode settings = root.putObject("settings");
        settings.put("my-number", number)
                .put("siblings", siblings)
                .put("my-zone", zones.indexOf(zone))
                .put("tick-ns", 2 * MS)
                .put("weights", "rough")
                .put("discovery", "automatic");
        ArrayNode domains = settings.putArray("failure-domains");
        zones.forEach(domains::add);
        settings.putArray("skus").add("m");
        settings.putObject("caps")
                .put("max-attempts", 6)
                .put("max-open", 10_000)
                .put("connect-timeout-ns", 250 * MS)
                .put("keepalive-ns", 30_000 * MS)
                .put("retry-after", true)
                .put("max-retry-after-ns", 500 * MS);
        settings.putObject("domain")
                .put("count-wait-ns", 50 * MS)
                .put("has-counter", true)
                .put("trued-up", false)
                .put("units-top", 8);
        settings.putObject("rules")
                .put("answer-slack-ns", 8 * MS)
                .put("cold-from", 0.21)
                .put("ramp-time-ns", 18_000 * MS)
                .put("overload-factor", 2.5)
                .put("tip-after-ns", 2_000 * MS);
        settings.putObject("load-info").put("source", "off").putArray("names");
        ArrayNode classes = settings.putArray("classes");
        classes.addObject()
                .put("name", "lookup")
                .put("aim-ns", 1_500 * MS)
                .put("deadline-ns", 4_000 * MS)
                .put("idempotency", "retryable")
                .put("group", "all")
                .put("key-ttl-ns", 5_000 * MS)
                .put("late-value", 0.2)
                .put("worth", 1);
        classes.addObject()
                .put("name", "order")
                .put("aim-ns", 1_200 * MS)
                .put("deadline-ns", 4_000 * MS)
                .put("idempotency", "dedup")
                .put("group", "all")
                .put("key-ttl-ns", KEY_WINDOW_MS * MS)
                .put("late-value", 0.2)
                .put("worth", 5);
        ArrayNode tariffs = settings.putArray("tariffs");
        for (Plan plan : plans) {
            tariffs.addObject()
                    .put("name", plan.name())
                    .put("units-per-s", plan.rate())
                    .put("peak-units", plan.burst())
                    .put("price", 1.3)
                    .put("beyond-earns", 0)
                    .put("beyond-costs", 1)
                    .put("hard-rate", plan.ceilingRate())
                    .put("hard-burst", plan.ceilingBurst())
                    .put("hard-slack", plan.slack())
                    .put("at-once", 0);
        }
        return root.toPrettyString();
    }
}
