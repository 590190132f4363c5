import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Stand-ins of the second review's cases: discovery, counter, app servers and clients on loopback addresses, and a real
 * edge node, started by the deploy file's command. They do what the protocol page says; what a case adds stands in the
 * case. Everything ends with the process: see {@link #finish}.
 */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Whether the case's disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long BEGUN = System.nanoTime();
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffL);
    private static final List<Node> NODES = new CopyOnWriteArrayList<>();
    private static PrintWriter record;

    private Kit() {}

    /** A case: returns whether the rule held. */
    interface Case {
        boolean holds() throws Exception;
    }

    /** Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(Case body) {
        int code = 2;
        // For a run that is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> NODES.forEach(Node::end)));
        Thread guard = new Thread(() -> {
            sleep(115_000);
            note("the case has not ended in 115 s");
            finish(2);
        });
        guard.setDaemon(true);
        guard.start();
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), true);
            note("trouble " + (TROUBLE ? "on" : "off"));
            code = body.holds() ? 0 : 1;
        } catch (Throwable e) {
            note("the case could not run: " + e);
            e.printStackTrace();
        }
        finish(code);
    }

    private static void finish(int code) {
        NODES.forEach(Node::end);
        note("result " + code);
        System.out.println("result " + code);
        Runtime.getRuntime().halt(code);
    }

    /** Writes one line to the record. */
    static synchronized void note(String line) {
        if (record != null) {
            record.printf(Locale.ROOT, "%10.3f ms  %s%n", ms(), line);
        }
    }

    /** Writes one line to the record and to the output. */
    static void say(String line) {
        note(line);
        System.out.println(line);
    }

    static double ms() {
        return (System.nanoTime() - BEGUN) / 1e6;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A new request id. */
    static String id() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    // ------------------------------------------------------------------ messages

    /** A message as it came: its first line, its headers in lower case, its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String id() {
            return headers.get("x-trace-id");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException(text.size() == 0 ? "end" : "end within a line");
            }
            if (c != '\r') {
                text.write(c);
            }
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null if the connection ended before it. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        try {
            message.first = line(in);
        } catch (EOFException e) {
            if (e.getMessage().equals("end")) {
                return null;
            }
            throw e;
        }
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body of a head that was read. */
    static void body(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("end within a chunk");
                }
                all.write(chunk);
                line(in);
            }
            while (!line(in).isEmpty()) {
                // Trailers.
            }
            message.body = all.toByteArray();
        } else {
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("end within a body");
            }
        }
    }

    /** Reads a whole message; null if the connection ended before it. */
    static Message message(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) {
            body(in, message);
        }
        return message;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A whole 200 answer. */
    static byte[] ok(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\nX-Units-Charged: 1\r\n\r\n" + body);
    }

    // ------------------------------------------------------------------ listeners

    /** What serves one connection. */
    interface Serving {
        void serve(Socket connection) throws IOException;
    }

    /** A listening socket at a free port of the loopback address; each connection has a thread. */
    static class Listener {
        final ServerSocket socket;

        Listener(Serving serving) throws IOException {
            this(new ServerSocket(0, 1_024, LOOPBACK), serving);
        }

        Listener(ServerSocket listening, Serving serving) {
            socket = listening;
            Kit.start("accept", () -> {
                while (true) {
                    try {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        Kit.start("connection", () -> {
                            try (connection) {
                                serving.serve(connection);
                            } catch (IOException e) {
                                // The peer has gone.
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** What an app server does with a request whose last byte has come; it answers on the connection itself. */
    interface Work {
        void handle(App app, Message request, Socket connection) throws IOException;
    }

    /** An app server: serves one request after another on each connection. */
    static final class App extends Listener {
        final String id;

        App(String id, Work work) throws IOException {
            super(connection -> {
                InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
                for (Message request = message(in); request != null; request = message(in)) {
                    App self = App.self(connection);
                    note(self.id + " has " + request.id() + " whole");
                    work.handle(self, request, connection);
                }
            });
            this.id = id;
            APPS.put(socket.getLocalPort(), this);
        }

        private static final Map<Integer, App> APPS = new java.util.concurrent.ConcurrentHashMap<>();

        private static App self(Socket connection) {
            return APPS.get(connection.getLocalPort());
        }

        /** Its entry in discovery's list. */
        String entry() {
            return member(id, address());
        }
    }

    static String member(String id, String address) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address
                + "\",\"locality\":\"yard-office\",\"flavor\":\"std-4core\",\"cell\":1,\"phase\":\"Ready\",\"size\":1.0,"
                + "\"up_since_ms\":0}";
    }

    static String list(List<String> members) {
        return "{\"revision\":7,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
    }

    /** Discovery: the whole list at once on each watch, then an empty line every 2 s. */
    static Listener discovery(List<String> members) throws IOException {
        return new Listener(connection -> {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            if (message(in) == null) {
                return;
            }
            out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (String next = list(members) + "\n"; ; next = "\n") {
                out.write(bytes(Integer.toHexString(next.length()) + "\r\n" + next + "\r\n"));
                out.flush();
                sleep(2_000);
            }
        });
    }

    /** The counter: adds and tells the total. */
    static Listener counter() throws IOException {
        return counter((name, amount) -> {});
    }

    /** The same, with a listener that hears of each amount that is added. */
    static Listener counter(java.util.function.BiConsumer<String, Double> added) throws IOException {
        Map<String, Double> totals = new HashMap<>();
        return new Listener(connection -> {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Message call = message(in); call != null; call = message(in)) {
                String[] path = call.first.split(" ")[1].split("[/?&=]");
                double total;
                synchronized (totals) {
                    added.accept(path[2], Double.parseDouble(path[4]));
                    total = totals.merge(path[2], Double.parseDouble(path[4]), Double::sum);
                }
                String text = String.valueOf(total);
                connection
                        .getOutputStream()
                        .write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text));
            }
        });
    }

    // ------------------------------------------------------------------ the edge node

    /** The operator's file of the node that starts next, and what its pools' file {@code pool.json} says; null for none. */
    static String operator;

    /** The settings of the node that starts next. */
    static String settings = usual();

    /** The settings of kality-pickup: its classes, plans and rules, with figures inside the site file's ranges. */
    private static String usual() {
        return """
            {"my-number":0,"siblings":2,"my-zone":0,"tick-ns":2000000,"weights":"rough","discovery":"automatic",
             "failure-domains":["yard-office","customs-block"],"skus":["std-4core"],
             "caps":{"max-attempts":6,"max-open":21230,"connect-timeout-ns":250000000,"keepalive-ns":30000000000,
              "retry-after":false,"max-retry-after-ns":500000000,"probes":false,"cancel":true,"may-duplicate":false},
             "domain":{"count-wait-ns":50000000,"has-counter":true,"trued-up":true,"units-top":8},
             "rules":{"answer-slack-ns":8000000,"cold-from":0.21,"ramp-time-ns":18000000000,"overload-factor":2.5,
              "tip-after-ns":2000000000,"stop-sending-within-ns":1000000000},
             "load-info":{"names":[],"source":"off"},
             "classes":[
              {"name":"window-lookup","aim-ns":1500000000,"deadline-ns":4000000000,"idempotency":"retryable","group":"all",
               "key-ttl-ns":4000000000,"late-value":0.2,"worth":1},
              {"name":"pickup-order","aim-ns":1200000000,"deadline-ns":4000000000,"idempotency":"dedup","group":"all",
               "key-ttl-ns":4000000000,"late-value":0.2,"worth":5}],
             "tariffs":[
              {"name":"basic","units-per-s":3.3,"peak-units":16,"price":1.3,"beyond-earns":0,"beyond-costs":1,"hard-rate":5.5,
               "hard-burst":53,"hard-slack":8,"at-once":0},
              {"name":"bulk","units-per-s":30,"peak-units":60,"price":1.6,"beyond-earns":0,"beyond-costs":0.8,"hard-rate":0,
               "hard-burst":0,"hard-slack":0,"at-once":0}]}""";
    }

    /** An edge node in a process of its own. */
    static final class Node {
        final String name;
        final int port;
        private final Process process;
        private final Path folder;

        /** Starts a node by the command {@code run} of the deploy file, and waits until it is ready. */
        Node(String name, Listener discovery, Listener counter, List<String> members, int memoryMb, int sockets)
                throws Exception {
            this(name, freePort(), discovery, counter, members, memoryMb, sockets);
        }

        /** As above, at a given port, which another process of the same node may share. */
        Node(
                String name,
                int port,
                Listener discovery,
                Listener counter,
                List<String> members,
                int memoryMb,
                int sockets)
                throws Exception {
            this.name = name;
            this.port = port;
            String listen = "127.0.0.1:" + port;
            folder = Files.createTempDirectory("review");
            Path config = folder.resolve("config.json");
            Files.createDirectory(folder.resolve("tmp"));
            String known = list(members);
            Files.writeString(
                    config,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address()
                            + "\",\"counter\":\"" + counter.address() + "\",\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                            + "},\"known\":" + known + ",\"settings\":" + settings + "}");
            String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", run);
            command.environment().put("GW_NAME", name);
            command.environment().put("GW_LISTEN", listen);
            command.environment().put("GW_DISCOVERY", discovery.address());
            command.environment().put("GW_CONFIG", config.toString());
            command.environment().put("TMPDIR", folder.resolve("tmp").toString());
            if (operator != null) {
                write("operator.toml", operator);
                write("pool.json", pool(discovery, counter, members));
                command.environment().put("RUSHPIN_OPERATOR", folder.resolve("operator.toml").toString());
            }
            command.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            process = command.start();
            NODES.add(this);
            for (long end = System.nanoTime() + 30_000_000_000L; !log().contains("serving on") || !isHealthy(); sleep(100)) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new IllegalStateException("the node is not ready: " + log());
                }
            }
            note("node " + name + " is ready, process " + process.pid());
        }

        /** What the file of a pool of the operator's file says, with the present {@link #settings}. */
        static String pool(Listener discovery, Listener counter, List<String> members) {
            return "{\"discovery\":\"" + discovery.address() + "\",\"counter\":\"" + counter.address()
                    + "\",\"known\":" + list(members) + ",\"settings\":" + settings + "}";
        }

        /** Writes a file beside the node's configuration, in one step. */
        void write(String file, String text) throws IOException {
            Path draft = folder.resolve(file + ".new");
            Files.writeString(draft, text);
            Files.move(draft, folder.resolve(file), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        private static int freePort() throws IOException {
            try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
                return free.getLocalPort();
            }
        }

        private boolean isHealthy() {
            try (Client client = new Client(this)) {
                client.send(bytes("GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
                Message answer = client.receive(1_000);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        /** Its exit status, once it has ended. */
        int status() {
            return process.exitValue();
        }

        boolean awaitEnd(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        /** Sends a signal to this process. */
        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("log"));
        }

        void end() {
            try {
                process.destroyForcibly().waitFor();
                note("log of " + name + ":\n" + log());
                try (Stream<Path> files = Files.walk(folder)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(file);
                    }
                }
            } catch (IOException | InterruptedException e) {
                note("the node's end: " + e);
            }
        }
    }

    /** Sends signals to a node without starting a program for each. */
    static final class Signals implements AutoCloseable {
        private final Process shell;
        private final OutputStream in;
        private final InputStream out;
        private final long pid;

        Signals(Node node) throws IOException {
            shell = new ProcessBuilder("/bin/sh").start();
            in = shell.getOutputStream();
            out = shell.getInputStream();
            pid = node.process.pid();
        }

        /** Returns once the signal was sent. */
        void send(String signal) throws IOException {
            in.write(bytes("kill -" + signal + " " + pid + "; echo\n"));
            in.flush();
            out.read();
        }

        @Override
        public void close() throws IOException {
            in.close();
            shell.destroy();
        }
    }

    // ------------------------------------------------------------------ clients

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        /** The id of the last request; empty for none. */
        private String sending = "";

        Client(Node node) throws IOException {
            this(node, 0);
        }

        /** With a receive buffer of so many bytes; 0 for the system's own. */
        Client(Node node, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, node.port), 2_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(byte[] bytes) throws IOException {
            if (bytes.length > 10 && (bytes[0] == 'G' || bytes[0] == 'P')) {
                String first = new String(bytes, 0, Math.min(bytes.length, 64), StandardCharsets.ISO_8859_1);
                int id = first.indexOf("?x=");
                sending = id < 0 ? "" : first.substring(id + 3, id + 19);
                if (id >= 0) {
                    note("client sends " + sending);
                }
            }
            socket.getOutputStream().write(bytes);
        }

        /** The next answer; null if the connection ends before its first byte. */
        Message receive(long ms) throws IOException {
            socket.setSoTimeout((int) Math.max(1, ms));
            Message answer = message(in);
            if (!sending.isEmpty()) {
                note("client of " + sending + " gets " + (answer == null ? "the end of the connection" : answer.first));
            }
            return answer;
        }

        /** What came: "200", "refused", "failed", "no answer", "ended" (with how). */
        String outcome(long ms) {
            try {
                Message answer = receive(ms);
                return answer == null
                        ? "ended without an answer"
                        : answer.status() == 200
                                ? "served"
                                : answer.status() == 429 || answer.status() == 503
                                        ? "refused"
                                        : "failed " + answer.status();
            } catch (SocketTimeoutException e) {
                return "no answer";
            } catch (IOException e) {
                return "ended without an answer: " + e.getMessage();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The head of a request of the class window-lookup (GET), or pickup-order (POST) if there is a key. */
    static String head(String id, String key, long customer, String plan, long expiresMs, String more) {
        return (key == null ? "GET" : "POST") + " /api?x=" + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                + "\r\nX-Qos: " + (key == null ? "window-lookup" : "pickup-order") + "\r\nX-Plan: " + plan
                + "\r\nCookie: customer=" + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: " + expiresMs
                + "\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "X-Quota: units=1,spread=2,first=0\r\n" + more + "\r\n";
    }

    /** A lookup of a customer of the plan bulk. */
    static byte[] lookup(String id, long customer, long expiresMs) {
        return bytes(head(id, null, customer, "bulk", expiresMs, ""));
    }

    /** An order of a customer of the plan bulk. */
    static byte[] order(String id, String key, long customer, long expiresMs, String body) {
        return bytes(
                head(id, key, customer, "bulk", expiresMs, "Content-Length: " + body.length() + "\r\n") + body);
    }

    /** Sends one lookup after another until the node answers them well, so that connections and code are warm. */
    static void warm(Node node, int requests) throws IOException {
        try (Client client = new Client(node)) {
            for (int i = 0; i < requests; i++) {
                client.send(lookup(id(), 1 + i % 50, 3_000));
                if (client.receive(4_000) == null) {
                    throw new IOException("a warm-up request has no answer");
                }
            }
        }
    }

    static <T> List<T> listOf(int count, java.util.concurrent.Callable<T> maker) throws Exception {
        List<T> made = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            made.add(maker.call());
        }
        return made;
    }
}
