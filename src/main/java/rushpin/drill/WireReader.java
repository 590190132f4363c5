package rushpin.drill;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.gateway.Gateway;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Request;
import rushpin.gateway.Ports.Result;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.SettingsReader;

/** Reads batches of the wire, hands each event to the gateway concerned and has the reply written. */
final class WireReader {
    private final BufferedReader in;
    private final WireWriter out;
    private final Map<Integer, Gateway> gateways = new HashMap<>();
    private long lineNumber;
    private String line = "";
    private String[] parts = {};
    private long now;

    WireReader(BufferedReader in, WireWriter out) {
        this.in = in;
        this.out = out;
    }

    /** Plays batches until the input ends. */
    void run() throws IOException, MalformedInput {
        while (next()) {
            if (!parts[0].equals("mark")) {
                throw malformed("a batch begins with 'mark'");
            }
            now = whole(1);
            while (true) {
                if (!next()) {
                    throw malformed("the input ends inside a batch, after");
                }
                if (parts[0].equals("commit")) {
                    break;
                }
                event();
            }
            out.flush();
        }
    }

    private boolean next() throws IOException {
        String read = in.readLine();
        if (read == null) {
            return false;
        }
        line = read;
        lineNumber++;
        parts = line.split(" ");
        if (parts.length == 0) {
            parts = new String[] {""};
        }
        return true;
    }

    private void event() throws IOException, MalformedInput {
        int node = integer(1);
        switch (parts[0]) {
            case "start" -> {
                long seed = whole(2);
                try {
                    gateways.put(node, new Gateway(SettingsReader.read(parts, 3), seed, now, out.actionsOf(node)));
                } catch (IllegalArgumentException e) {
                    throw malformed("bad settings (" + e.getMessage() + ")");
                }
            }
            case "retire" -> gateways.remove(node);
            case "view" -> view(node);
            case "ingress" ->
                gateway(node)
                        .request(
                                now,
                                new Request(
                                        text(2),
                                        integer(3),
                                        integer(4),
                                        whole(5),
                                        whole(6),
                                        number(7),
                                        integer(8),
                                        integer(9),
                                        (whole(10) & 2) != 0));
            case "resolved" ->
                gateway(node)
                        .attemptEnded(
                                now,
                                new Result(
                                        text(2),
                                        outcome(3),
                                        whole(4),
                                        text(5),
                                        whole(6) != 0,
                                        integer(7),
                                        number(9),
                                        numbers(10)));
            case "client_gone" -> gateway(node).clientGone(now, text(2));
            case "under_way" -> gateway(node).streamStarted(now, text(2));
            case "count_result" -> gateway(node).counted(now, whole(4), outcome(3), number(2));
            case "probed" -> gateway(node).probed(now, text(4), outcome(3), whole(2), numbers(5));
            case "reminder" -> gateway(node).timer(now, whole(2));
            case "memo" -> gateway(node);
            default -> throw malformed("unknown event");
        }
    }

    private void view(int node) throws IOException, MalformedInput {
        Gateway gateway = gateway(node);
        ListKind kind = switch (integer(3)) {
            case 0 -> ListKind.FULL;
            case 1 -> ListKind.CACHED;
            case 2 -> ListKind.DELTA;
            case 3 -> ListKind.FAILED;
            default -> throw malformed("unknown kind of list");
        };
        int count = integer(4);
        List<Server> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!next() || !parts[0].equals("entry")) {
                throw malformed("'entry' expected");
            }
            Readiness readiness = switch (integer(3)) {
                case 0 -> Readiness.GONE;
                case 1 -> Readiness.READY;
                case 2 -> Readiness.DRAINING;
                default -> throw malformed("unknown readiness");
            };
            entries.add(new Server(text(6), number(1), integer(2), integer(5), integer(7), readiness, whole(4)));
        }
        gateway.list(now, kind, entries);
    }

    private Gateway gateway(int node) throws MalformedInput {
        Gateway gateway = gateways.get(node);
        if (gateway == null) {
            throw malformed("instance " + node + " was not started");
        }
        return gateway;
    }

    private Outcome outcome(int at) throws MalformedInput {
        return switch (text(at)) {
            case "S" -> Outcome.OK;
            case "E" -> Outcome.ERROR;
            case "F" -> Outcome.FULL;
            case "T" -> Outcome.TIMEOUT;
            case "C" -> Outcome.CONNECT_FAILED;
            case "R" -> Outcome.RESET;
            case "X" -> Outcome.CANCELLED;
            case "N" -> Outcome.NOT_SENT;
            default -> throw malformed("unknown outcome");
        };
    }

    private String text(int at) throws MalformedInput {
        if (at >= parts.length || parts[at].isEmpty()) {
            throw malformed("value " + at + " is missing");
        }
        return parts[at];
    }

    private boolean absent(int at) throws MalformedInput {
        return text(at).equals("-");
    }

    private int integer(int at) throws MalformedInput {
        long value = whole(at);
        if (value != (int) value) {
            throw malformed("value " + at + " is out of range");
        }
        return (int) value;
    }

    private long whole(int at) throws MalformedInput {
        try {
            return absent(at) ? 0 : Long.parseLong(parts[at]);
        } catch (NumberFormatException e) {
            throw malformed("value " + at + " is not a whole number");
        }
    }

    private double number(int at) throws MalformedInput {
        try {
            double value = absent(at) ? 0 : Double.parseDouble(parts[at]);
            if (!Double.isFinite(value)) {
                throw malformed("value " + at + " is not finite");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed("value " + at + " is not a number");
        }
    }

    private List<Double> numbers(int at) throws MalformedInput {
        List<Double> values = new ArrayList<>();
        if (at < parts.length && !absent(at)) {
            for (String value : parts[at].split(",")) {
                try {
                    values.add(Double.parseDouble(value));
                } catch (NumberFormatException e) {
                    throw malformed("value " + at + " is not a row of numbers");
                }
            }
        }
        return values;
    }

    private MalformedInput malformed(String why) {
        return new MalformedInput(lineNumber, line, why);
    }
}
