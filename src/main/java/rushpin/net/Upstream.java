package rushpin.net;

import java.net.SocketAddress;
import rushpin.membership.Names;

/**
 * Settings of a pool's connections to discovery, the counter and app servers.
 *
 * @param discovery address at which the list of app servers is watched; null if the list is fixed
 * @param counter the counter's address; null if there is none
 * @param counterTimeout time after which a call to the counter counts as unanswered, in nanoseconds
 * @param connectTimeout time after which a connect fails, in nanoseconds
 * @param keepAlive time after which an app server closes an idle connection, in nanoseconds
 * @param maxUnits maximum size of a request, in units of the quota
 * @param names the names behind the indices of the settings
 * @param countPrefix prefix of the pool's names at the counter, which keeps the names of pools apart
 * @param host the {@code Host} header sent to app servers; null to pass on the client's
 */
public record Upstream(
        SocketAddress discovery,
        SocketAddress counter,
        long counterTimeout,
        long connectTimeout,
        long keepAlive,
        double maxUnits,
        Names names,
        String countPrefix,
        String host) {}
