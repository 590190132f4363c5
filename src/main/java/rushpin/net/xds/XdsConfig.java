package rushpin.net.xds;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rushpin.membership.xds.ClusterView;
import rushpin.membership.xds.XdsVariant;

/**
 * Where a pool's servers come from in xDS form.
 *
 * @param servers management servers in order of preference; empty where {@code path} is there
 * @param path a file with clusters and endpoints ({@code path_config_source}); null for management servers
 * @param cluster the cluster that is the pool
 * @param all whether all clusters are subscribed to, and that one taken
 * @param node the node's id for the management server
 * @param tls files to trust and to be trusted by; null for plain text
 * @param mostMessage bytes of one message
 */
public record XdsConfig(
        XdsVariant form,
        List<InetSocketAddress> servers,
        Path path,
        String cluster,
        boolean all,
        String node,
        Tls tls,
        int mostMessage,
        ClusterView.Rules rules) {
    /** PEM files; {@code certificate} and {@code key} are null where only the server proves itself. */
    public record Tls(Path ca, Path certificate, Path key) {}
}
