package rushpin.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Holds a listening socket and passes it as standard input to node processes that it starts, as a supervisor does. */
final class ListeningSocketHolder implements AutoCloseable {
    /** In Perl, since Java can't pass a socket to a child process. */
    private static final String SCRIPT = """
        use strict; use Socket; $| = 1; $^F = 255;
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
        bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
        listen($s, 512) or die "listen: $!";
        print "holds port :" . (sockaddr_in(getsockname($s)))[0] . "\\n";
        $SIG{CHLD} = sub { 1 while waitpid(-1, 1) > 0 };
        while (defined(my $line = <STDIN>)) {
          my $pid = fork();
          if (!$pid) { open(STDIN, "<&", $s) or die; close $s; exec(@ARGV); }
          print "started :$pid\\n";
        }
        """;

    private final ServeProcess holder;
    final int port;

    ListeningSocketHolder(Path folder, String config) throws Exception {
        holder = new ServeProcess(
                folder, config, ServeProcess.operatorFile("listener = \"inherited\"\n"), List.of("perl", "-e", SCRIPT));
        port = holder.awaitPort("holds port");
    }

    /** Starts a node process on the socket and returns once it serves. */
    ProcessHandle serve() throws Exception {
        holder.osProcess.getOutputStream().write('\n');
        holder.osProcess.getOutputStream().flush();
        int pid = holder.awaitPort("started");
        holder.awaitPort();
        return ProcessHandle.of(pid).orElseThrow(() -> new IOException("the process has ended"));
    }

    @Override
    public void close() {
        holder.osProcess.descendants().forEach(ProcessHandle::destroyForcibly);
        holder.close();
    }
}
