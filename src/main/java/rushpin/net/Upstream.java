package rushpin.net;

import java.net.SocketAddress;
import rushpin.membership.Names;

/**
 * What a pool's sockets are told.
 *
 * @param discovery where the list of app servers is watched; null for a list that stays as it is
 * @param counter where the counter listens; null where there is none
 * @param counterTimeout nanoseconds after which a call counts as unanswered
 * @param connectTimeout nanoseconds after which a connection counts as not made
 * @param keepAlive nanoseconds after which an app server closes an idle connection
 * @param mostUnits the largest request, in units of the quota
 * @param names the names that stand for the settings' indices
 * @param countPrefix what the pool's names at the counter begin with, so that two pools' stay apart
 * @param host the {@code Host} that app servers are told; null to pass on the client's
 */
public record Upstream(
        SocketAddress discovery,
        SocketAddress counter,
        long counterTimeout,
        long connectTimeout,
        long keepAlive,
        double mostUnits,
        Names names,
        String countPrefix,
        String host) {}
