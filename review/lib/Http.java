import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A message of HTTP/1.1, read from a blocking stream. */
final class Http {
    final String first;
    final Map<String, String> headers;
    byte[] body = new byte[0];

    private Http(String first, Map<String, String> headers) {
        this.first = first;
        this.headers = headers;
    }

    String header(String name) {
        return headers.get(name);
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    boolean closes() {
        String value = header("Connection");
        return value != null && value.equalsIgnoreCase("close");
    }

    /** Reads a message; null at the end of the stream before its first byte. */
    static Http read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        Http message = new Http(first, headers);
        String length = message.header("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("cut within a body");
            }
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("cut within a chunk");
                }
                all.write(chunk);
                line(in, false);
            }
            line(in, false);
            message.body = all.toByteArray();
        }
        return message;
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("cut within a head");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
