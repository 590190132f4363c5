package rushpin.node;

import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import rushpin.config.Config;
import rushpin.config.OperatorConfig;
import rushpin.net.RequestRejectedException;
import rushpin.net.ServerCallbacks;

/** The pools of a process: one configured by the platform's settings, or those of an operator's file. */
interface Services {
    /** Starts all pools; returns when each has its first server list. */
    void start() throws Exception;

    /** Returns the pool that serves a request; called on the front loop. */
    ServerCallbacks.Destination route(HttpRequest head) throws RequestRejectedException;

    /** Returns whether every pool has received a server list, or has timed out waiting for it. */
    boolean ready();

    /** Applies new settings, validated as a whole; {@code operator} is null without an operator's file. */
    void reload(Config changed, OperatorConfig operator);

    /**
     * Disables or enables an app server. Completes with false if no server of that ID was ever listed, and
     * exceptionally if the change could not be stored or there is no console; nothing has changed then.
     */
    CompletableFuture<Boolean> withhold(String id, boolean out);

    /** Passes the fleet's plan, and whether it is stale, to each pool as one message; called on any thread. */
    default void applyStanding(Standing standing) {
        // Only needed in a fleet with zones.
    }

    /** Sets the listener for what pools see of zones, called on any thread; call before the start. */
    default void setZoneReports(Consumer<Witness.Account> listener) {
        // Only needed in a fleet with zones.
    }

    /** Sets the listener for pools' connections to groups of servers, called on any thread; call before the start. */
    default void setConnectionReports(Consumer<GroupSide.Account> listener) {
        // Only needed in a fleet with groups of servers.
    }

    /** Passes the connection grant of a group to its pool as one message; called on any thread. */
    default void onGrant(GroupSide.Numbered grant) {
        // Only needed in a fleet with groups of servers.
    }

    /**
     * Transfers held units to another process of the node when this one ends with all requests answered; on the front
     * loop.
     */
    default void handOver() {
        // Only needed where several processes act as one node.
    }

    /** Closes what does not run on the front loop. */
    void close();
}
