package rushpin.peer;

import java.util.concurrent.CompletableFuture;
import rushpin.accord.Command;
import rushpin.accord.Outcome;
import rushpin.accord.log.Carrier;

/** A voter's door to its log. Nothing here blocks; futures may complete on any thread. */
public interface Ballots {
    /** Proposes here; fails with {@link Elsewhere}, {@link Uncertain} or {@link Busy}; anything else is uncertain. */
    CompletableFuture<Outcome> propose(Command command);

    /** A request of another voter; completes with the answer's bytes. */
    CompletableFuture<byte[]> received(Carrier.Kind kind, byte[] body);

    /** The name of the voter that leads as far as is known, or null. */
    String leader();

    /** The name of the voter that makes the plans as far as is known, or null. */
    String planner();

    /** Another voter has introduced itself; what this one says of itself. */
    Introduced introduce(Introduced theirs);
}
