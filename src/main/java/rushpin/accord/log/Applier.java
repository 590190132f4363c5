package rushpin.accord.log;

import rushpin.accord.Applied;
import rushpin.accord.Entry;
import rushpin.accord.State;

/** What entries are applied to, in the log's order, on one thread at a time. Without I/O, clock or chance of its own. */
public interface Applier {
    /** Applies an entry. */
    Applied apply(Entry entry);

    /** All that it holds now, as a value. */
    State state();
}
