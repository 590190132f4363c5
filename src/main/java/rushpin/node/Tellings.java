package rushpin.node;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import rushpin.gateway.Ports.Outcome;
import rushpin.quota.UseBook;

/** Calls to the counter that are out, by name in their order, so that the record of use hears how each ended. */
final class Tellings {
    private record Telling(long customer, double units) {}

    private final UseBook book;
    private final Map<Long, ArrayDeque<Telling>> out = new HashMap<>();

    Tellings(UseBook book) {
        this.book = book;
    }

    /** Before the call: what is written here and never ended may have been added. */
    void begins(long customer, long name, double amount, long nowMs) {
        if (amount != 0) {
            book.reporting(customer, amount, nowMs);
        }
        out.computeIfAbsent(name, n -> new ArrayDeque<>()).add(new Telling(customer, amount));
    }

    /** Calls of one name end in their order. */
    void ended(long name, Outcome outcome, long nowMs) {
        ArrayDeque<Telling> line = out.get(name);
        Telling told = line == null ? null : line.poll();
        if (told != null) {
            if (line.isEmpty()) {
                out.remove(name);
            }
            book.reported(told.customer, told.units, !outcome.provesNeverRan(), nowMs);
        }
    }
}
