package rushpin.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for a supervisor that holds a listening socket and passes it to each process as standard input, as systemd
 * does with {@code StandardInput=socket}. Java cannot give a child a socket of its own, so a few lines of Perl do.
 */
final class Supervisor implements AutoCloseable {
    private static final String SCRIPT = """
        use strict; use Socket; $| = 1; $^F = 255;
        my ($host, $port) = @ARGV;
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
        setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
        bind($s, sockaddr_in($port, inet_aton($host))) or die "bind: $!";
        listen($s, 512) or die "listen: $!";
        print "holds " . (sockaddr_in(getsockname($s)))[0] . "\\n";
        $SIG{CHLD} = sub { 1 while waitpid(-1, 1) > 0 };
        while (defined(my $line = <STDIN>)) {
          chomp $line;
          my $pid = fork();
          if (!$pid) { open(STDIN, "<&", $s) or die; open(STDERR, ">&", \\*STDOUT); close $s; exec("/bin/sh", "-c", $line); }
          print "started $pid\\n";
        }
        """;
    private static final int READY_S = 60;

    private final Process process;
    private final Writer orders;
    private final BlockingQueue<String> said = new LinkedBlockingQueue<>();
    private final InetSocketAddress address;

    /** Holds a socket at a host of the loopback net, at a port that the system gives. */
    Supervisor(String host) throws Exception {
        process = new ProcessBuilder("perl", "-e", SCRIPT, host, "0")
                .redirectErrorStream(true)
                .start();
        orders = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
        Thread reader = new Thread(this::read, "supervisor");
        reader.setDaemon(true);
        reader.start();
        address = new InetSocketAddress(host, Integer.parseInt(await("holds ").substring("holds ".length())));
    }

    private void read() {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("holds ")
                        || line.startsWith("started ")
                        || line.startsWith("serving on ")
                        || line.startsWith("cannot start")) {
                    said.add(line);
                }
            }
        } catch (IOException e) {
            // It is over.
        }
    }

    private String await(String start) throws Exception {
        while (true) {
            String line = said.poll(READY_S, TimeUnit.SECONDS);
            if (line == null || line.startsWith("cannot start")) {
                throw new IOException("the supervisor's process did not say '" + start + "' but " + line);
            }
            if (line.startsWith(start)) {
                return line;
            }
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Starts an edge node at the socket and returns its process when it serves. */
    ProcessHandle serve(Path folder, Path config, Path operator) throws Exception {
        StringBuilder line = new StringBuilder("TMPDIR='" + folder + "' GW_CONFIG='" + config + "' exec");
        NodeProcess.words(operator)
                .forEach(word -> line.append(" '").append(word).append('\''));
        orders.write(line.append('\n').toString());
        orders.flush();
        long pid = Long.parseLong(await("started ").substring("started ".length()));
        await("serving on ");
        return ProcessHandle.of(pid).orElseThrow(() -> new IOException("the process has ended"));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
