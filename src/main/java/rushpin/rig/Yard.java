package rushpin.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import rushpin.judge.Records;

/** The outside world of a run: pools of app servers with their discovery, one counter, a folder for files. */
final class Yard implements AutoCloseable {
    private static final int LOOPS = 3;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    private final Map<String, Discovery> discoveries = new LinkedHashMap<>();
    private final Map<String, List<AppServer>> servers = new LinkedHashMap<>();
    private final List<StandIn> all = new ArrayList<>();
    final Records records = new Records();
    final Path folder = Files.createTempDirectory("rushpin-rig");
    final Counter counter;

    Yard() throws Exception {
        counter = new Counter(loop(), records);
        all.add(counter.open());
    }

    EventLoop loop() {
        return group.next();
    }

    /** Adds a pool of warm servers, and the discovery that lists them. */
    Discovery pool(String name, int count, AppServer.Work work, long seed) throws Exception {
        return pool(name, List.of(AppServer.ZONE), count, work, seed);
    }

    /** The same with so many servers in each of some zones. */
    Discovery pool(String name, List<String> zones, int each, AppServer.Work work, long seed) throws Exception {
        Discovery discovery = new Discovery(loop(), name, records);
        all.add(discovery.open());
        discoveries.put(name, discovery);
        List<AppServer> made = new ArrayList<>();
        AppServer.Keys keys = new AppServer.Keys();
        for (int i = 0; i < each * zones.size(); i++) {
            AppServer server =
                    new AppServer(loop(), name, "s-" + i, zones.get(i / each), work, keys, records, seed + i);
            all.add(server.open());
            made.add(server);
            discovery.set(server, "Ready", 0);
        }
        servers.put(name, made);
        return discovery;
    }

    /**
     * A pool's discovery for one process, which goes to the servers of each zone by a link of its own, from the process to
     * {@link #zone}: the list that the process reads names the link's relays in place of the servers.
     */
    Discovery through(Links links, String process, String pool) throws Exception {
        Map<String, String> relays = new HashMap<>();
        for (AppServer server : servers.get(pool)) {
            InetSocketAddress relay = links.join(process, zone(server.zone), server.socket());
            relays.put(server.address(), relay.getHostString() + ":" + relay.getPort());
        }
        Discovery view = discoveries.get(pool).view(relays);
        all.add(view.open());
        return view;
    }

    /** The end of the links to a zone's servers, those of all pools. */
    static String zone(String name) {
        return "zone-" + name;
    }

    Discovery discovery(String pool) {
        return discoveries.get(pool);
    }

    List<AppServer> servers(String pool) {
        return servers.get(pool);
    }

    Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    /** Writes down what lasts until the end; call it before the judge. */
    void end() throws Exception {
        for (Discovery discovery : discoveries.values()) {
            discovery.end();
        }
    }

    @Override
    public void close() throws Exception {
        all.forEach(StandIn::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
