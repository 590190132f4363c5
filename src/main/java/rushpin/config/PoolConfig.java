package rushpin.config;

import java.util.Objects;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.ServerListUpdate;
import rushpin.net.Upstream;
import rushpin.net.xds.XdsPlan;

/**
 * All that a pool is made from.
 *
 * @param name as the operator calls it; empty for the platform's one pool
 * @param group the group of app servers that its own are, by the fleet's name for it; null for none
 * @param xds where its servers come from in place of discovery; null for none
 * @param ownLoop whether it has an event loop to itself
 * @param guaranteed what it may use whatever the others do; null for the platform's one pool, which has all
 */
public record PoolConfig(
        String name,
        Upstream upstream,
        Settings settings,
        long seed,
        ServerListUpdate known,
        boolean ownLoop,
        ResourceLimits guaranteed,
        XdsPlan xds,
        String group) {
    /** A pool whose servers discovery tells. */
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

    /** The platform's one pool. */
    public static PoolConfig platform(Config config) {
        return new PoolConfig("", config.upstream(), config.settings(), config.seed(), config.known(), false, null);
    }

    /** Whether a running pool of this plan can go over to another by moving its addresses alone. */
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
