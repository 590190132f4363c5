package rushpin.membership.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Json;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/** Reads the messages of the platform's discovery. No sockets: text in, values out. */
public final class ServerListReader {
    /** A message that cannot be used; the text is one plain line that names the key. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        /** Says what is wrong. */
        public Malformed(String message) {
            super(message);
        }
    }

    private ServerListReader() {}

    /** Reads one line of discovery. */
    public static ServerListUpdate read(String line, Names names) throws Malformed {
        try {
            return read(Json.read(line), names);
        } catch (JsonProcessingException e) {
            throw new Malformed(
                    "discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException e) {
            throw new Malformed("discovery's message cannot be read: " + e.getMessage());
        }
    }

    /** Reads a list that stands inside another document. */
    public static ServerListUpdate read(JsonNode node, Names names) throws Malformed {
        if (!present(node, "members").isArray() || !present(node, "revision").isIntegralNumber()) {
            throw new Malformed("a list of app servers without revision or members");
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
            members.add(new Member(
                    new Server(
                            id,
                            entry.path("size").asDouble(1),
                            names.zones().indexOf(entry.path("locality").asText()),
                            entry.path("cell").asInt(0),
                            names.kinds().indexOf(entry.path("flavor").asText()),
                            readiness,
                            started),
                    address(entry, "host_port")));
        }
        return new ServerListUpdate(node.get("revision").asLong(), node.path("complete").asBoolean(false), members);
    }

    /** The value of a key that must be there. */
    public static JsonNode present(JsonNode node, String key) throws Malformed {
        if (!node.hasNonNull(key)) {
            throw new Malformed(key + " is missing");
        }
        return node.get(key);
    }

    /** The address that stands under a key, as host:port. */
    public static InetSocketAddress address(JsonNode node, String key) throws Malformed {
        return address(present(node, key).asText(), key);
    }

    /** An address as host:port; {@code key} names it in what is said of one that is none. */
    public static InetSocketAddress address(String text, String key) throws Malformed {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // Said below.
        }
        throw new Malformed(key + " is not host:port: " + text);
    }
}
