package rushpin.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rushpin.gateway.Ports.Settings;
import rushpin.gateway.SettingsReader;
import rushpin.membership.Json;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.discovery.ServerListReader;
import rushpin.net.Upstream;

/**
 * The platform's configuration of an edge node, read from its JSON file.
 *
 * @param name the node's name, the same after a restart
 * @param counter the counter's address; null if there is none
 * @param sockets the number of file descriptors that the process may hold
 * @param memory the number of bytes that the process may use
 * @param known the server list as last known before this start
 * @param connectTimeout nanoseconds after which an attempt to connect has failed
 * @param keepAlive nanoseconds after which an app server closes an idle connection
 * @param names the names for the settings' indices
 * @param console the address of the operators' console; null for none
 * @param keys the file's keys, at its top level and in the tables of the settings
 */
public record Config(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        SocketAddress counter,
        long seed,
        int sockets,
        long memory,
        ServerListUpdate known,
        long connectTimeout,
        long keepAlive,
        Names names,
        Settings settings,
        SocketAddress console,
        Set<String> keys) {

    /** Creates a configuration without a console. */
    public Config(
            String name,
            SocketAddress listen,
            SocketAddress discovery,
            SocketAddress counter,
            long seed,
            int sockets,
            long memory,
            ServerListUpdate known,
            long connectTimeout,
            long keepAlive,
            Names names,
            Settings settings) {
        this(
                name,
                listen,
                discovery,
                counter,
                seed,
                sockets,
                memory,
                known,
                connectTimeout,
                keepAlive,
                names,
                settings,
                null,
                Set.of());
    }

    /** Thrown for a configuration that cannot be used; the message is one line that names the key. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception with a message of one line. */
        public Invalid(String message) {
            super(message);
        }
    }

    /** Reads the platform's file. */
    public static Config read(Path file) throws Invalid {
        return parse(text(file), false);
    }

    /**
     * Reads the file again. A file without a key that the running configuration has is rejected as well: it may be only
     * partly written, and the default for that key would replace a deliberate value.
     */
    public static Config readAgain(Path file, Config running) throws Invalid {
        Config read = read(file);
        Set<String> missing = new TreeSet<>(running.keys());
        missing.removeAll(read.keys());
        if (!missing.isEmpty()) {
            throw new Invalid(String.join(", ", missing) + (missing.size() == 1 ? " is" : " are")
                    + " missing: the configuration that runs has it");
        }
        return read;
    }

    /** Top-level keys and those of tables. Keys inside lists are left out, as entries may differ in theirs. */
    private static Set<String> keysOf(JsonNode root) {
        Set<String> keys = new HashSet<>();
        root.fieldNames().forEachRemaining(keys::add);
        for (Map.Entry<String, JsonNode> table : root.path("settings").properties()) {
            keys.add("settings." + table.getKey());
            if (table.getValue().isObject()) {
                table.getValue()
                        .fieldNames()
                        .forEachRemaining(key -> keys.add("settings." + table.getKey() + "." + key));
            }
        }
        return Set.copyOf(keys);
    }

    /** Reads a file of the same form for one pool, where {@code listen}, {@code discovery} and others are optional. */
    public static Config readPool(Path file) throws Invalid {
        return parse(text(file), true);
    }

    /**
     * Reads the settings of a file of this form as path=value pairs, as the gateway reads them; checked like a pool's.
     */
    public static Map<String, String> settingsPairs(Path file) throws Invalid {
        String text = text(file);
        parse(text, true);
        Map<String, String> pairs = new HashMap<>();
        try {
            flatten("settings", Json.read(text).path("settings"), pairs);
        } catch (IOException e) {
            throw new Invalid("the configuration cannot be read: " + e.getMessage());
        }
        return pairs;
    }

    private static String text(Path file) throws Invalid {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new Invalid("the configuration " + file + " cannot be read: " + e.getMessage());
        }
    }

    /** Parses a configuration's text. */
    public static Config parse(String text) throws Invalid {
        return parse(text, false);
    }

    /** Parses a configuration's text, for a pool or for the whole process. */
    private static Config parse(String text, boolean pool) throws Invalid {
        try {
            return parse(Json.read(text), pool);
        } catch (JsonProcessingException e) {
            throw new Invalid(
                    "the configuration is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            throw new Invalid("the configuration cannot be read: " + e.getMessage());
        } catch (ServerListReader.Malformed e) {
            throw new Invalid(e.getMessage());
        }
    }

    private static Config parse(JsonNode root, boolean pool) throws Invalid, ServerListReader.Malformed {
        Map<String, String> pairs = new HashMap<>();
        List<String> faults = new ArrayList<>();
        flatten("settings", ServerListReader.present(root, "settings"), pairs);
        List<String> required = new ArrayList<>(List.of(
                "my-number",
                "siblings",
                "my-zone",
                "tick-ns",
                "caps.max-attempts",
                "caps.max-open",
                "caps.connect-timeout-ns",
                "caps.keepalive-ns",
                "domain.count-wait-ns",
                "domain.units-top",
                "rules.answer-slack-ns",
                "rules.cold-from",
                "rules.ramp-time-ns",
                "rules.overload-factor",
                "rules.tip-after-ns"));
        JsonNode settings = root.path("settings");
        Names names = new Names(
                namesOf(settings, "classes"),
                namesOf(settings, "tariffs"),
                textsOf(settings, "failure-domains"),
                textsOf(settings, "skus"));
        for (int i = 0; i < names.classes().size(); i++) {
            for (String key : List.of("aim-ns", "deadline-ns", "worth")) {
                required.add("classes." + i + "." + key);
            }
            String idempotency = "classes." + i + ".idempotency";
            if (!List.of("retryable", "dedup", "fragile").contains(pairs.getOrDefault(idempotency, ""))) {
                faults.add("settings." + idempotency + " is not retryable, dedup or fragile");
            }
        }
        for (int i = 0; i < names.plans().size(); i++) {
            for (String key : List.of("units-per-s", "peak-units", "price", "beyond-earns", "beyond-costs")) {
                required.add("tariffs." + i + "." + key);
            }
        }
        for (String key : optional(names)) {
            if (pairs.containsKey(key)) {
                required.add(key);
            }
        }
        for (String key : required) {
            if (!pairs.containsKey(key)) {
                faults.add("settings." + key + " is missing");
                continue;
            }
            try {
                number(pairs, key);
            } catch (Invalid e) {
                faults.add(e.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw new Invalid(String.join("; ", faults));
        }
        for (String key : positive(names)) {
            // A number in quotes is refused: it is likely a mistake, and its meaning must not be guessed.
            if (number(pairs, key) < (key.endsWith("attempts") ? 1 : Double.MIN_VALUE) || textual(settings, key)) {
                throw new Invalid("settings." + key + " is " + pairs.get(key) + ": allowed is a number "
                        + (key.endsWith("attempts") ? "from 1" : "above 0"));
            }
        }
        for (int i = 0; i < names.classes().size(); i++) {
            if (pairs.get("classes." + i + ".idempotency").equals("dedup")
                    && !pairs.containsKey("classes." + i + ".key-ttl-ns")) {
                throw new Invalid("settings.classes." + i + ".key-ttl-ns is missing: the class is dedup");
            }
        }
        if (new HashSet<>(names.classes()).size() < names.classes().size()) {
            throw new Invalid("settings.classes has a name twice");
        }
        if (number(pairs, "domain.units-top") == 0) {
            throw new Invalid(
                    "settings.domain.units-top is 0, and so no request could be taken: allowed is a number above 0");
        }
        Settings read;
        try {
            read = SettingsReader.read(pairs);
        } catch (IllegalArgumentException e) {
            throw new Invalid("settings." + e.getMessage());
        }
        boolean hasCounter = read.counter().present();
        return new Config(
                root.path("name").asText(""),
                addressOf(root, "listen", pool),
                addressOf(root, "discovery", pool),
                hasCounter ? addressOf(root, "counter", pool) : null,
                pool && !root.hasNonNull("seed") ? 0 : seed(ServerListReader.present(root, "seed")),
                root.path("limits").path("sockets").asInt(256),
                root.path("limits").path("memory_mb").asLong(64) << 20,
                root.hasNonNull("known")
                        ? ServerListReader.read(root.get("known"), names)
                        : new ServerListUpdate(0, true, List.of()),
                (long) number(pairs, "caps.connect-timeout-ns"),
                (long) number(pairs, "caps.keepalive-ns"),
                names,
                read,
                pool ? null : addressOf(root, "console", true),
                keysOf(root));
    }

    /** Keys whose number must be above 0. */
    private static List<String> positive(Names names) {
        List<String> keys = new ArrayList<>(List.of("caps.max-attempts"));
        for (int i = 0; i < names.classes().size(); i++) {
            keys.add("classes." + i + ".deadline-ns");
        }
        return keys;
    }

    private static boolean textual(JsonNode settings, String key) {
        return settings.at("/" + key.replace('.', '/')).isTextual();
    }

    /** Keys that are optional, and whose value must be a number if they are present. */
    private static List<String> optional(Names names) {
        List<String> keys = new ArrayList<>(List.of("caps.max-retry-after-ns"));
        for (int i = 0; i < names.classes().size(); i++) {
            keys.addAll(List.of("classes." + i + ".key-ttl-ns", "classes." + i + ".late-value"));
        }
        for (int i = 0; i < names.plans().size(); i++) {
            for (String key : List.of("at-once", "hard-rate", "hard-burst", "hard-slack")) {
                keys.add("tariffs." + i + "." + key);
            }
        }
        return keys;
    }

    /** The address of the console: the environment's takes precedence over the file's; null if neither gives one. */
    public static SocketAddress console(Config file, String environment) throws Invalid {
        if (environment == null || environment.isBlank()) {
            return file.console();
        }
        try {
            return ServerListReader.address(
                    JsonNodeFactory.instance.objectNode().put("GW_CONSOLE", environment), "GW_CONSOLE");
        } catch (ServerListReader.Malformed e) {
            throw new Invalid(e.getMessage());
        }
    }

    private static SocketAddress addressOf(JsonNode root, String key, boolean isOptional)
            throws ServerListReader.Malformed {
        return isOptional && !root.hasNonNull(key) ? null : ServerListReader.address(root, key);
    }

    /** The part that the connections to app servers, counter and discovery need. */
    public Upstream upstream() {
        return new Upstream(
                discovery,
                counter,
                settings.counter().timeout(),
                connectTimeout,
                keepAlive,
                settings.counter().largest(),
                names,
                "",
                "app.svc");
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
            // Reported below, as an unusable number is.
        }
        throw new Invalid("settings." + key + " is not a number from 0: " + pairs.get(key));
    }

    private static List<String> namesOf(JsonNode settings, String list) throws Invalid, ServerListReader.Malformed {
        List<String> names = new ArrayList<>();
        for (JsonNode item : ServerListReader.present(settings, list)) {
            names.add(ServerListReader.present(item, "name").asText());
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

    private static long seed(JsonNode seed) throws Invalid {
        try {
            return seed.isTextual() ? Long.parseUnsignedLong(seed.asText(), 16) : seed.asLong();
        } catch (NumberFormatException e) {
            throw new Invalid("seed is not a hexadecimal number of 64 bits");
        }
    }
}
