package rushpin.accord;

import java.util.List;

/** What came of one entry: for who proposed it, and for all. */
public record Applied(Outcome outcome, List<Decision> decisions) {
    /** Copies. */
    public Applied {
        decisions = List.copyOf(decisions);
    }
}
