package rushpin.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A stand-in's timed faults: drawn from a seed or given, so that a run can be played again. */
public final class Faults {
    /** What a stand-in does in place of its work. */
    public enum Kind {
        /** Takes what comes and never answers. */
        STALL,
        /** Answers a byte at a time, one each 20 ms. */
        TRICKLE,
        /** Breaks the connection once the request is whole. */
        RESET,
        /** Takes no connection and breaks those it has. */
        REFUSE,
        /** Answers 500 at once. */
        FAIL_FAST,
        /** Answers with noise. */
        LIE,
        /** Forgets what it knew, and is cold. */
        RESTART,
        /** Loses all its numbers (a counter). */
        BLANK
    }

    /** One fault, from so many milliseconds of a run on, for so long. */
    public record Fault(Kind kind, long fromMs, long forMs) {
        boolean isOn(long ms) {
            return ms >= fromMs && ms < fromMs + forMs;
        }
    }

    private final List<Fault> faults;

    /** These faults. */
    public Faults(List<Fault> faults) {
        this.faults = List.copyOf(faults);
    }

    /** No faults. */
    public static Faults none() {
        return new Faults(List.of());
    }

    /** Spells of the given kinds one after another over a run, each some part of a second to some seconds long. */
    public static Faults drawn(long seed, long runMs, List<Kind> kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> drawn = new ArrayList<>();
        for (long at = random.nextLong(500, 2_000); at < runMs; ) {
            long span = random.nextLong(200, 2_500);
            drawn.add(new Fault(kinds.get(random.nextInt(kinds.size())), at, span));
            at += span + random.nextLong(500, 3_000);
        }
        return new Faults(drawn);
    }

    /** The fault that is on at a moment of the run; null for none. */
    public Kind at(long ms) {
        for (Fault fault : faults) {
            if (fault.isOn(ms)) {
                return fault.kind();
            }
        }
        return null;
    }

    /** All faults. */
    public List<Fault> all() {
        return faults;
    }
}
