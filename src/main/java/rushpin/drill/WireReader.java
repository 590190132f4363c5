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

/** Reads batches of events from the simulator, passes each event to its gateway and has the reply written. */
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

    /** Processes batches until the input ends. */
    void run() throws IOException, MalformedInput {
        while (next()) {
            if (!parts[0].equals("mark")) {
                throw malformed("a batch must begin with 'mark'");
            }
            now = longValue(1);
            while (true) {
                if (!next()) {
                    throw malformed("the input ends inside a batch, after this line");
                }
                if (parts[0].equals("commit")) {
                    break;
                }
                event();
            }
            out.flush();
        }
    }

    /** Reads the next line into {@link #parts}; returns false at the end of the input. */
    private boolean next() throws IOException {
        String nextLine = in.readLine();
        if (nextLine == null) {
            return false;
        }
        line = nextLine;
        lineNumber++;
        parts = line.split(" ");
        if (parts.length == 0) {
            parts = new String[] {""};
        }
        return true;
    }

    private void event() throws IOException, MalformedInput {
        int node = intValue(1);
        switch (parts[0]) {
            case "start" -> {
                long seed = longValue(2);
                try {
                    gateways.put(node, new Gateway(SettingsReader.read(parts, 3), seed, now, out.actionsOf(node)));
                } catch (IllegalArgumentException e) {
                    throw malformed("invalid settings (" + e.getMessage() + ")");
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
                                        intValue(3),
                                        intValue(4),
                                        longValue(5),
                                        longValue(6),
                                        number(7),
                                        intValue(8),
                                        intValue(9),
                                        (longValue(10) & 2) != 0));
            case "resolved" ->
                gateway(node)
                        .attemptEnded(
                                now,
                                new Result(
                                        text(2),
                                        outcome(3),
                                        longValue(4),
                                        text(5),
                                        longValue(6) != 0,
                                        intValue(7),
                                        number(9),
                                        numbers(10)));
            case "client_gone" -> gateway(node).clientGone(now, text(2));
            case "under_way" -> gateway(node).streamStarted(now, text(2));
            case "count_result" -> gateway(node).counted(now, longValue(4), outcome(3), number(2));
            case "probed" -> gateway(node).probed(now, text(4), outcome(3), longValue(2), numbers(5));
            case "reminder" -> gateway(node).timer(now, longValue(2));
            case "memo" -> gateway(node);
            default -> throw malformed("unknown event");
        }
    }

    /** Reads a server list with its entries. */
    private void view(int node) throws IOException, MalformedInput {
        Gateway gateway = gateway(node);
        ListKind kind = switch (intValue(3)) {
            case 0 -> ListKind.FULL;
            case 1 -> ListKind.CACHED;
            case 2 -> ListKind.DELTA;
            case 3 -> ListKind.FAILED;
            default -> throw malformed("the kind of list is not one of 0, 1, 2, 3");
        };
        int count = intValue(4);
        List<Server> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!next() || !parts[0].equals("entry")) {
                throw malformed("an 'entry' line is expected");
            }
            Readiness readiness = switch (intValue(3)) {
                case 0 -> Readiness.GONE;
                case 1 -> Readiness.READY;
                case 2 -> Readiness.DRAINING;
                default -> throw malformed("the readiness is not one of 0, 1, 2");
            };
            entries.add(new Server(text(6), number(1), intValue(2), intValue(5), intValue(7), readiness, longValue(4)));
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

    private Outcome outcome(int index) throws MalformedInput {
        return switch (text(index)) {
            case "S" -> Outcome.OK;
            case "E" -> Outcome.ERROR;
            case "F" -> Outcome.FULL;
            case "T" -> Outcome.TIMEOUT;
            case "C" -> Outcome.CONNECT_FAILED;
            case "R" -> Outcome.RESET;
            case "X" -> Outcome.CANCELLED;
            case "N" -> Outcome.NOT_SENT;
            default -> throw malformed("the outcome is not one of S, E, F, T, C, R, X, N");
        };
    }

    private String text(int index) throws MalformedInput {
        if (index >= parts.length || parts[index].isEmpty()) {
            throw malformed("value " + index + " is missing");
        }
        return parts[index];
    }

    /** Returns whether a value is {@code -}, which stands for none. */
    private boolean isAbsent(int index) throws MalformedInput {
        return text(index).equals("-");
    }

    private int intValue(int index) throws MalformedInput {
        long value = longValue(index);
        if (value != (int) value) {
            throw malformed("value " + index + " is out of range");
        }
        return (int) value;
    }

    private long longValue(int index) throws MalformedInput {
        try {
            return isAbsent(index) ? 0 : Long.parseLong(parts[index]);
        } catch (NumberFormatException e) {
            throw malformed("value " + index + " is not a whole number");
        }
    }

    private double number(int index) throws MalformedInput {
        try {
            double value = isAbsent(index) ? 0 : Double.parseDouble(parts[index]);
            if (!Double.isFinite(value)) {
                throw malformed("value " + index + " is not finite");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed("value " + index + " is not a number");
        }
    }

    private List<Double> numbers(int index) throws MalformedInput {
        List<Double> values = new ArrayList<>();
        if (index < parts.length && !isAbsent(index)) {
            for (String value : parts[index].split(",")) {
                try {
                    values.add(Double.parseDouble(value));
                } catch (NumberFormatException e) {
                    throw malformed("value " + index + " is not a comma-separated list of numbers");
                }
            }
        }
        return values;
    }

    private MalformedInput malformed(String why) {
        return new MalformedInput(lineNumber, line, why);
    }
}
