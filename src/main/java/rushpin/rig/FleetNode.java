package rushpin.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One edge node of a fleet over its restarts: an address, a configuration, and the process that serves now. */
final class FleetNode implements AutoCloseable {
    /** How a node is restarted. */
    enum Way {
        /** The old process ends, then the next starts. */
        OWN,
        /** The next binds beside the old one, then that one ends. */
        REUSEPORT,
        /** Both accept at a socket that the supervisor holds. */
        INHERITED
    }

    private static final int EXIT_S = 70;

    final int number;
    final String name;
    final InetSocketAddress address;
    final Way way;
    private final Path folder;
    private final Supervisor supervisor;
    private Path config, operator;
    private ProcessHandle serving;
    /** The last span in which no process of it was there, after a kill. */
    private volatile long deadFrom, deadUntil;
    /** The last span in which it was stopped. */
    private volatile long frozenFrom, frozenUntil;

    FleetNode(int number, Way way, Path folder) throws Exception {
        this.number = number;
        this.way = way;
        this.folder = folder;
        name = "n" + number;
        String host = "127.0.1." + (number + 1);
        supervisor = way == Way.INHERITED ? new Supervisor(host) : null;
        if (supervisor != null) {
            address = supervisor.address();
        } else {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                address = new InetSocketAddress(host, free.getLocalPort());
            }
        }
    }

    void configure(Path platform, Path file) {
        config = platform;
        operator = file;
    }

    Path config() {
        return config;
    }

    /** Starts a process and returns when it serves. */
    void start() throws Exception {
        serving = supervisor != null
                ? supervisor.serve(folder, config, operator)
                : ProcessHandle.of(NodeProcess.serve(folder, config, operator).pid())
                        .orElseThrow();
    }

    private static void end(ProcessHandle process) throws Exception {
        process.destroy();
        process.onExit().get(EXIT_S, TimeUnit.SECONDS);
    }

    /** The word to end; returns when the process has ended. */
    void stop() throws Exception {
        end(serving);
    }

    /** The next process takes over, then the old one is told to end; returns when it has. */
    void handOver() throws Exception {
        ProcessHandle old = serving;
        start();
        end(old);
    }

    /** Kills it outright, and starts it again after a while. */
    void kill(long awayMs) throws Exception {
        deadUntil = Long.MAX_VALUE;
        deadFrom = System.nanoTime();
        serving.destroyForcibly();
        serving.onExit().get(EXIT_S, TimeUnit.SECONDS);
        Thread.sleep(awayMs);
        start();
        deadUntil = System.nanoTime();
    }

    /** Stops it as it stands, and lets it go on after a while. */
    void freeze(long forMs) throws Exception {
        frozenUntil = Long.MAX_VALUE;
        frozenFrom = System.nanoTime();
        signal("STOP");
        Thread.sleep(forMs);
        signal("CONT");
        frozenUntil = System.nanoTime();
    }

    /** Whether it was stopped at some time between two moments: who waits for it has to give up. */
    boolean frozen(long from, long until) {
        return frozenFrom != 0 && frozenFrom <= until && from <= frozenUntil;
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(serving.pid()))
                .start()
                .waitFor();
    }

    boolean isAlive() {
        return serving != null && serving.isAlive();
    }

    /** Whether it was dead at some time between two moments: a socket that a supervisor holds still takes connections. */
    boolean killed(long from, long until) {
        return deadFrom != 0 && deadFrom <= until && from <= deadUntil;
    }

    /** Whether it answers that it wants clients. */
    boolean isHealthy() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 200);
            socket.setSoTimeout(500);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        if (serving != null) {
            serving.destroyForcibly();
        }
        if (supervisor != null) {
            supervisor.close();
        }
    }
}
