import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An app server: it answers each request with the request's id, after its work. */
class AppServer extends Server {
    final String id;
    final Record record;
    final AtomicInteger runs = new AtomicInteger();
    /** The requests that came whole. */
    final Set<String> came = ConcurrentHashMap.newKeySet();
    /** While set, no work is done and nothing is answered. */
    volatile boolean hangs;

    private final Random random;

    AppServer(String id, Record record) throws IOException {
        this.id = id;
        this.record = record;
        random = new Random(id.hashCode());
    }

    /** Milliseconds of work of one request. */
    synchronized long work() {
        return 60 + random.nextInt(140);
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Http call = Http.read(in); call != null; call = Http.read(in)) {
            String trace = call.header("X-Trace-Id");
            String key = call.header("Idempotency-Key");
            record.line("run " + id + " " + trace + (key == null ? "" : " key=" + key));
            runs.incrementAndGet();
            came.add(trace);
            long end = System.nanoTime() + work() * 1_000_000;
            while (hangs || System.nanoTime() - end < 0) {
                Thread.sleep(hangs ? 10 : Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            answer(socket, out, call);
        }
    }

    void answer(Socket socket, OutputStream out, Http call) throws Exception {
        out.write(response(call));
    }

    final byte[] response(Http call) {
        String body = "done by " + id + " for " + call.header("X-Trace-Id");
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\nX-Units-Charged: 2\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }
}
