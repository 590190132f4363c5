package rushpin.config;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rushpin.membership.discovery.ServerListReader;
import rushpin.membership.xds.ClusterView;
import rushpin.membership.xds.XdsVariant;
import rushpin.net.xds.XdsPlan;

/** The table {@code [pool.xds]} of the operator's file. */
final class XdsTableReader {
    private static final int MOST_SERVERS = 8;
    private static final long MS = 1_000_000L, MIB = 1L << 20;
    /** Servers that went with a large update keep their start for so long. */
    private static final long REMEMBER = 60_000 * MS;

    private XdsTableReader() {}

    static XdsPlan read(TableReader xds, String pool, Path folder, Config platform) {
        String path = xds.text("path", false);
        List<InetSocketAddress> servers = new ArrayList<>();
        for (String each : xds.texts("servers", MOST_SERVERS)) {
            try {
                servers.add(ServerListReader.address(each, "servers"));
            } catch (ServerListReader.Malformed e) {
                xds.fault("servers", "found \"" + each + "\"", "host:port with a port from 1 to 65535");
            }
        }
        if ((path == null) == !xds.has("servers")) {
            xds.fault(
                    "servers",
                    path == null ? "neither servers nor path is there" : "servers and path are both there",
                    "one of them");
        }
        String form = xds.word("form", "delta", List.of("delta", "sotw"));
        String cluster = xds.text("cluster", false);
        String all = xds.word("subscribe", "cluster", List.of("cluster", "all"));
        String node = xds.text("node", false);
        long message = xds.whole("most-message", 4 * MIB, 1_024, 64 * MIB);
        long removed = xds.whole("most-removed-percent", 100, 1, 100);
        long guard = xds.whole("guard-ms", 10_000, 1, 600_000);
        long warming = xds.whole("warming-ms", 15_000, 100, 600_000);
        Path ca = file(xds, "ca", folder),
                certificate = file(xds, "certificate", folder),
                key = file(xds, "key", folder);
        if (ca == null && (certificate != null || key != null)) {
            xds.fault("ca", "is missing", "a PEM file, where certificate and key are there");
        }
        if ((certificate == null) != (key == null)) {
            xds.fault(certificate == null ? "certificate" : "key", "is missing", "certificate and key, or neither");
        }
        xds.done();
        return new XdsPlan(
                XdsVariant.valueOf(form.toUpperCase(Locale.ROOT)),
                List.copyOf(servers),
                path == null ? null : folder.resolve(path),
                cluster == null ? pool : cluster,
                all.equals("all"),
                node == null ? platform == null ? pool : platform.name() : node,
                ca == null ? null : new XdsPlan.Tls(ca, certificate, key),
                (int) message,
                new ClusterView.Rules(removed / 100.0, removed == 100 ? 0 : guard * MS, warming * MS, REMEMBER));
    }

    private static Path file(TableReader xds, String key, Path folder) {
        String text = xds.text(key, false);
        if (text == null) {
            return null;
        }
        Path file = folder.resolve(text);
        if (!Files.isReadable(file)) {
            xds.fault(key, "found \"" + text + "\", which cannot be read", "a PEM file");
        }
        return file;
    }
}
