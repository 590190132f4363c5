import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The counter of the protocol page. */
final class Counter extends Server {
    private record Total(double sum, long until) {}

    private final Map<String, Total> totals = new HashMap<>();
    private final Record record;

    Counter(Record record) throws IOException {
        this.record = record;
    }

    /** Adds to a name, which begins at 0 and is forgotten when the time of its first call is up. */
    private synchronized double add(String name, double amount, long keepMs) {
        long now = System.currentTimeMillis();
        Total known = totals.get(name);
        if (known == null || known.until <= now) {
            known = new Total(0, now + Math.min(60_000, keepMs));
        }
        totals.put(name, new Total(known.sum + amount, known.until));
        return known.sum + amount;
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Http call = Http.read(in); call != null; call = Http.read(in)) {
            String path = call.first.split(" ")[1];
            String name = path.replaceAll("/tally/([^?]*).*", "$1");
            double amount = Double.parseDouble(path.replaceAll(".*[?&]n=([^&]*).*", "$1"));
            long keep = Long.parseLong(path.replaceAll(".*[?&]keep_ms=(\\d+).*", "$1"));
            double total = add(name, amount, keep);
            if (record != null) {
                record.line("counter " + name + " " + amount + " -> " + total);
            }
            byte[] body = String.format("%.6f", total).getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"
                            + new String(body, StandardCharsets.UTF_8))
                    .getBytes(StandardCharsets.UTF_8));
        }
    }
}
