package rushpin.node;

import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import rushpin.config.Config;
import rushpin.config.OperatorConfig;
import rushpin.net.ServerCallbacks;
import rushpin.net.RequestRejectedException;

/** The pools of a process as the process sees them: one by the platform's settings, or those of an operator's file. */
interface Services {
    /** Begins to serve; returns when each pool has its first list. */
    void start() throws Exception;

    /** The pool a request belongs to; called on the listening side's loop. */
    ServerCallbacks.Destination route(HttpRequest head) throws RequestRejectedException;

    /** Whether every pool has heard its list, or has waited for it long enough. */
    boolean ready();

    /** Goes over to new settings, checked whole; {@code operator} is null where there is no such file. */
    void reload(Config changed, OperatorConfig operator);

    /**
     * Takes an app server out, or puts it back. Completes with false if none of that id was ever listed, and
     * exceptionally if it could not be written down, or there is no desk to keep it at; nothing has changed then.
     */
    CompletableFuture<Boolean> withhold(String id, boolean out);

    /** A plan of the fleet is in force, or may be no more; called on any thread, and told to each pool as one message. */
    default void agree(Standing standing) {
        // Only where there are zones to divide.
    }

    /** Has what its pools see of zones told, on any thread; before the start. */
    default void watch(Consumer<Witness.Account> by) {
        // Only where there are zones to divide.
    }

    /** Has what its pools have open to groups of servers told, on any thread; before the start. */
    default void account(Consumer<GroupSide.Account> by) {
        // Only where there are groups.
    }

    /** What may be open to a group; called on any thread, and told to its pool as one message. */
    default void permit(GroupSide.Numbered permit) {
        // Only where there are groups.
    }

    /** The process ends with all answered: what it holds may be another process's; on the listening side's loop. */
    default void leave() {
        // Only where processes act as one node.
    }

    /** Ends all that is not on the listening side's loop. */
    void close();
}
