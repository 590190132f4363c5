package rushpin.net.xds;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rushpin.membership.xds.ClusterView;
import rushpin.membership.xds.XdsVariant;

/**
 * The xDS source of a pool's servers.
 *
 * @param form the variant of the xDS protocol
 * @param servers management servers in order of preference; empty if {@code path} is set
 * @param path a file with clusters and endpoints ({@code path_config_source}); null if management servers are used
 * @param cluster name of the cluster that is the pool
 * @param all whether all clusters are subscribed to, and the named one used
 * @param node the node's id for the management server
 * @param tls the TLS files; null for plain text
 * @param maxMessageBytes maximum size of one message, in bytes
 * @param rules limits that an update must keep to
 */
public record XdsConfig(
        XdsVariant form,
        List<InetSocketAddress> servers,
        Path path,
        String cluster,
        boolean all,
        String node,
        Tls tls,
        int maxMessageBytes,
        ClusterView.Rules rules) {
    /**
     * PEM files.
     *
     * @param ca the certificates that the management server is verified with
     * @param certificate the client certificate; null if only the server is authenticated
     * @param key the private key of the client certificate; null if only the server is authenticated
     */
    public record Tls(Path ca, Path certificate, Path key) {}
}
