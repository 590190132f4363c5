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
import rushpin.net.xds.XdsConfig;

/** Reads the table {@code [pool.xds]} of the operator's file. */
final class XdsTableReader {
    private static final int MAX_SERVERS = 8;
    private static final long MS = 1_000_000L;
    private static final long MIB = 1L << 20;
    /** Nanoseconds for which servers that a large update removed keep their start time. */
    private static final long REMEMBER_NANOS = 60_000 * MS;

    private XdsTableReader() {}

    static XdsConfig read(TableReader xds, String pool, Path folder, Config platform) {
        String path = xds.text("path", false);
        List<InetSocketAddress> servers = new ArrayList<>();
        for (String each : xds.texts("servers", MAX_SERVERS)) {
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
        String variant = xds.word("form", "delta", List.of("delta", "sotw"));
        String cluster = xds.text("cluster", false);
        String subscribed = xds.word("subscribe", "cluster", List.of("cluster", "all"));
        String node = xds.text("node", false);
        long maxMessage = xds.whole("most-message", 4 * MIB, 1_024, 64 * MIB);
        long maxRemoved = xds.whole("most-removed-percent", 100, 1, 100);
        long guard = xds.whole("guard-ms", 10_000, 1, 600_000);
        long warming = xds.whole("warming-ms", 15_000, 100, 600_000);
        Path ca = file(xds, "ca", folder);
        Path certificate = file(xds, "certificate", folder);
        Path key = file(xds, "key", folder);
        if (ca == null && (certificate != null || key != null)) {
            xds.fault("ca", "is missing", "a PEM file, where certificate and key are there");
        }
        if ((certificate == null) != (key == null)) {
            xds.fault(certificate == null ? "certificate" : "key", "is missing", "certificate and key, or neither");
        }
        xds.done();
        return new XdsConfig(
                XdsVariant.valueOf(variant.toUpperCase(Locale.ROOT)),
                List.copyOf(servers),
                path == null ? null : folder.resolve(path),
                cluster == null ? pool : cluster,
                subscribed.equals("all"),
                node == null ? platform == null ? pool : platform.name() : node,
                ca == null ? null : new XdsConfig.Tls(ca, certificate, key),
                (int) maxMessage,
                new ClusterView.Rules(
                        maxRemoved / 100.0, maxRemoved == 100 ? 0 : guard * MS, warming * MS, REMEMBER_NANOS));
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
