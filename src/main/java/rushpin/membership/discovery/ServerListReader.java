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

/** Parses the messages of the platform's discovery. No sockets: text in, values out. */
public final class ServerListReader {
    /** Thrown for a message that cannot be used; the text is one line that names the key. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception with a message of one line. */
        public Malformed(String message) {
            super(message);
        }
    }

    private ServerListReader() {}

    /** Parses one message. */
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

    /** Reads a server list that is part of another document. */
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
            // The gateway's clock begins at wall-clock time, so a start is converted by its unit alone. The gateway
            // detects a restart by comparing starts, so equal starts must always give equal numbers.
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
        return new ServerListUpdate(
                node.get("revision").asLong(), node.path("complete").asBoolean(false), members);
    }

    /** The value of a required key. */
    public static JsonNode present(JsonNode node, String key) throws Malformed {
        if (!node.hasNonNull(key)) {
            throw new Malformed(key + " is missing");
        }
        return node.get(key);
    }

    /** Reads the address, host:port, of a required key. */
    public static InetSocketAddress address(JsonNode node, String key) throws Malformed {
        return address(present(node, key).asText(), key);
    }

    /** Parses an address as host:port; {@code key} names it in the error message. */
    public static InetSocketAddress address(String text, String key) throws Malformed {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (IllegalArgumentException e) {
            // Reported below.
        }
        throw new Malformed(key + " is not host:port: " + text);
    }
}
