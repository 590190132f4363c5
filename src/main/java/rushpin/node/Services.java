package rushpin.node;

import io.netty.handler.codec.http.HttpRequest;
import rushpin.config.Config;
import rushpin.config.Operator;
import rushpin.net.Front;
import rushpin.net.Refusal;

/** The pools of a process as the process sees them: one by the platform's settings, or those of an operator's file. */
interface Services {
    /** Begins to serve; returns when each pool has its first list. */
    void start() throws Exception;

    /** The pool a request belongs to; called on the listening side's loop. */
    Front.Way route(HttpRequest head) throws Refusal;

    /** Whether every pool has heard its list, or has waited for it long enough. */
    boolean ready();

    /** Goes over to new settings, checked whole; {@code operator} is null where there is no such file. */
    void reload(Config changed, Operator operator);

    /** Ends all that is not on the listening side's loop. */
    void close();
}
