package rushpin.config;

import java.util.Objects;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.ServerListUpdate;
import rushpin.net.Upstream;
import rushpin.net.xds.XdsConfig;

/**
 * The configuration of one pool.
 *
 * @param name the operator's name for it; empty for the platform's single pool
 * @param known the server list at start; the whole list if there is no discovery
 * @param ownLoop whether the pool has an event loop of its own
 * @param guaranteed what it may use whatever other pools use; null for the platform's single pool, which may use all
 * @param xds the xDS source of its servers, in place of discovery; null for none
 * @param group the fleet's name for the group of app servers that the pool uses; null for none
 */
public record PoolConfig(
        String name,
        Upstream upstream,
        Settings settings,
        long seed,
        ServerListUpdate known,
        boolean ownLoop,
        ResourceLimits guaranteed,
        XdsConfig xds,
        String group) {
    /** Creates the configuration of a pool whose servers come from discovery. */
    public PoolConfig(
            String name,
            Upstream upstream,
            Settings settings,
            long seed,
            ServerListUpdate known,
            boolean ownLoop,
            ResourceLimits guaranteed) {
        this(name, upstream, settings, seed, known, ownLoop, guaranteed, null, null);
    }

    /** The configuration of the platform's single pool. */
    public static PoolConfig platform(Config config) {
        return new PoolConfig("", config.upstream(), config.settings(), config.seed(), config.known(), false, null);
    }

    /** Whether a running pool can change to another configuration by changing its addresses alone. */
    public boolean differsOnlyInAddresses(PoolConfig other) {
        return name.equals(other.name)
                && ownLoop == other.ownLoop
                && settings.equals(other.settings)
                && (upstream.discovery() == null) == (other.upstream.discovery() == null)
                && (upstream.discovery() != null || known.equals(other.known))
                && upstream.names().equals(other.upstream.names())
                && upstream.countPrefix().equals(other.upstream.countPrefix())
                && upstream.connectTimeout() == other.upstream.connectTimeout()
                && upstream.keepAlive() == other.upstream.keepAlive()
                && Objects.equals(xds, other.xds)
                && Objects.equals(group, other.group)
                && Objects.equals(upstream.host(), other.upstream.host());
    }
}
