package rushpin.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.gateway.SettingsReader;

/**
 * What an edge node is told at its start.
 *
 * @param counter where the counter listens; null where there is none
 * @param sockets how many descriptors the process may hold
 * @param memory how many bytes it may take
 * @param known the list of app servers as last had before this start
 * @param connectTimeout span after which a connection counts as not made
 * @param keepAlive span after which an app server closes an idle connection
 * @param names the names that stand for the settings' indices
 */
public record Config(SocketAddress listen, SocketAddress discovery, SocketAddress counter, long seed, int sockets,
              long memory, Roll known, long connectTimeout, long keepAlive, Names names,
              Settings settings) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A configuration that cannot be used; the message is one plain line that names the key. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String message) {
            super(message);
        }
    }

    /** Names of classes, plans, zones and machine kinds, each at its index. */
    public record Names(List<String> classes, List<String> plans, List<String> zones, List<String> kinds) {
    }

    /** An app server and where this edge node reaches it. */
    public record Member(Server server, SocketAddress address) {
    }

    /** A message of discovery: the whole list if {@code complete}, else changed entries. */
    public record Roll(long revision, boolean complete, List<Member> members) {
    }

    public static Config read(Path file) throws Invalid {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Invalid("the configuration " + file + " cannot be read: " + e.getMessage());
        }
        return parse(text);
    }

    public static Config parse(String text) throws Invalid {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new Invalid("the configuration is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("settings", present(root, "settings"), pairs);
        List<String> required = new ArrayList<>(List.of("my-number", "siblings", "my-zone", "tick-ns",
            "caps.max-attempts", "caps.max-open", "caps.connect-timeout-ns", "caps.keepalive-ns",
            "domain.count-wait-ns", "rules.answer-slack-ns", "rules.cold-from", "rules.ramp-time-ns",
            "rules.overload-factor", "rules.tip-after-ns"));
        JsonNode settings = root.path("settings");
        Names names = new Names(namesOf(settings, "classes"), namesOf(settings, "tariffs"),
            textsOf(settings, "failure-domains"), textsOf(settings, "skus"));
        for (int i = 0; i < names.classes.size(); i++) {
            for (String key : List.of("aim-ns", "deadline-ns", "worth")) {
                required.add("classes." + i + "." + key);
            }
            String idempotency = "classes." + i + ".idempotency";
            if (!List.of("retryable", "dedup", "fragile").contains(pairs.getOrDefault(idempotency, ""))) {
                throw new Invalid("settings." + idempotency + " is not retryable, dedup or fragile");
            }
        }
        for (int i = 0; i < names.plans.size(); i++) {
            for (String key : List.of("units-per-s", "peak-units", "price", "beyond-earns", "beyond-costs")) {
                required.add("tariffs." + i + "." + key);
            }
        }
        for (String key : required) {
            if (!pairs.containsKey(key)) {
                throw new Invalid("settings." + key + " is missing");
            }
            number(pairs, key);
        }
        Settings read;
        try {
            read = SettingsReader.read(pairs);
        } catch (IllegalArgumentException e) {
            throw new Invalid("settings." + e.getMessage());
        }
        boolean counted = read.counter().present();
        return new Config(address(root, "listen"), address(root, "discovery"),
            counted ? address(root, "counter") : null, seed(present(root, "seed")),
            root.path("limits").path("sockets").asInt(256), root.path("limits").path("memory_mb").asLong(64) << 20,
            root.hasNonNull("known") ? roll(root.get("known"), names) : new Roll(0, true, List.of()),
            (long) number(pairs, "caps.connect-timeout-ns"), (long) number(pairs, "caps.keepalive-ns"),
            names, read);
    }

    /** Reads one message of discovery. */
    public static Roll roll(String line, Names names) throws Invalid {
        try {
            return roll(JSON.readTree(line), names);
        } catch (JsonProcessingException e) {
            throw new Invalid("discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        }
    }

    private static Roll roll(JsonNode node, Names names) throws Invalid {
        if (!present(node, "members").isArray() || !present(node, "revision").isIntegralNumber()) {
            throw new Invalid("a list of app servers without revision or members");
        }
        List<Member> members = new ArrayList<>();
        for (JsonNode entry : node.get("members")) {
            String id = present(entry, "id").asText();
            Readiness readiness = switch (present(entry, "phase").asText()) {
                case "Ready" -> Readiness.READY;
                case "Gone" -> Readiness.GONE;
                default -> Readiness.DRAINING;
            };
            // The module's clock starts at the wall clock's time, so a start needs no more than a new unit;
            // it compares starts to tell a restart, so the same start must give the same number every time.
            long started = Math.max(0, entry.path("up_since_ms").asLong(0)) * 1_000_000L;
            members.add(new Member(new Server(id, entry.path("size").asDouble(1),
                names.zones.indexOf(entry.path("locality").asText()), entry.path("cell").asInt(0),
                names.kinds.indexOf(entry.path("flavor").asText()), readiness, started),
                address(entry, "host_port")));
        }
        return new Roll(node.get("revision").asLong(), node.path("complete").asBoolean(false), members);
    }

    private static void flatten(String path, JsonNode node, Map<String, String> into) {
        String key = path.startsWith("settings.") ? path.substring("settings.".length()) : path;
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                flatten(path + "." + field.getKey(), field.getValue(), into);
            }
        } else if (node.isArray()) {
            into.put(key + ".count", Integer.toString(node.size()));
            List<String> plain = new ArrayList<>();
            for (int i = 0; i < node.size(); i++) {
                if (node.get(i).isValueNode()) {
                    plain.add(node.get(i).asText());
                } else {
                    flatten(path + "." + i, node.get(i), into);
                }
            }
            into.put(key, String.join(",", plain));
        } else if (!node.isNull()) {
            into.put(key, node.asText());
        }
    }

    private static double number(Map<String, String> pairs, String key) throws Invalid {
        try {
            double value = Double.parseDouble(pairs.get(key));
            if (Double.isFinite(value) && value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Said below, as for a number that is none of use.
        }
        throw new Invalid("settings." + key + " is not a number from 0: " + pairs.get(key));
    }

    private static List<String> namesOf(JsonNode settings, String list) throws Invalid {
        List<String> names = new ArrayList<>();
        for (JsonNode item : present(settings, list)) {
            names.add(present(item, "name").asText());
        }
        if (names.isEmpty()) {
            throw new Invalid("settings." + list + " is empty");
        }
        return List.copyOf(names);
    }

    private static List<String> textsOf(JsonNode settings, String list) {
        List<String> texts = new ArrayList<>();
        settings.path(list).forEach(item -> texts.add(item.asText()));
        return List.copyOf(texts);
    }

    private static JsonNode present(JsonNode node, String key) throws Invalid {
        if (!node.hasNonNull(key)) {
            throw new Invalid(key + " is missing");
        }
        return node.get(key);
    }

    private static long seed(JsonNode seed) throws Invalid {
        try {
            return seed.isTextual() ? Long.parseUnsignedLong(seed.asText(), 16) : seed.asLong();
        } catch (NumberFormatException e) {
            throw new Invalid("seed is not a hexadecimal number of 64 bits");
        }
    }

    private static InetSocketAddress address(JsonNode node, String key) throws Invalid {
        String text = present(node, key).asText();
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // Said below.
        }
        throw new Invalid(key + " is not host:port: " + text);
    }
}
