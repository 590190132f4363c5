import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Discovery of the protocol page: the whole list, and watches that tell its changes. */
final class Discovery extends Server {
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int revision = 1;

    Discovery() throws IOException {}

    static String entry(String id, String address, int zone, String phase, long upSince) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"" + Node.ZONES[zone]
                + "\",\"flavor\":\"std-4core\",\"cell\":" + (zone + 1) + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + upSince + "}";
    }

    synchronized void set(String id, String entry) {
        members.put(id, entry);
        changedAt.put(id, ++revision);
        notifyAll();
    }

    synchronized String list(int after, boolean whole) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, String> member : members.entrySet()) {
            if (whole ? !member.getValue().contains("\"Gone\"") : changedAt.get(member.getKey()) > after) {
                text.append(text.length() == 0 ? "" : ",").append(member.getValue());
            }
        }
        return "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + text + "]}";
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Http call = Http.read(in); call != null; call = Http.read(in)) {
            String path = call.first.split(" ")[1];
            if (!path.contains("watch=1")) {
                byte[] body = list(0, true).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
                out.write(body);
                continue;
            }
            int seen = Integer.parseInt(path.replaceAll(".*after=(\\d+).*", "$1"));
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            while (true) {
                String line;
                synchronized (this) {
                    line = revision > seen ? list(seen, false) : "";
                    seen = revision;
                }
                chunk(out, line + "\n");
                synchronized (this) {
                    long end = System.nanoTime() + 2_000_000_000L;
                    while (revision == seen && end - System.nanoTime() > 1_000_000) {
                        wait((end - System.nanoTime()) / 1_000_000);
                    }
                }
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
