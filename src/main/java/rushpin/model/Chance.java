package rushpin.model;

import java.util.SplittableRandom;

/** Chance that hangs on the seed and on what it is for alone, so that two choices meet the same. */
final class Chance {
    private final long seed;

    Chance(long seed) {
        this.seed = seed;
    }

    /** A stream of its own for each purpose and number. */
    SplittableRandom stream(String purpose, long number) {
        return new SplittableRandom(mix(mix(seed ^ purpose.hashCode() * 0x9E3779B97F4A7C15L) + number));
    }

    /** One figure from 0 to 1 for a purpose and a number. */
    double one(String purpose, long number) {
        return (mix(mix(seed ^ purpose.hashCode() * 0x9E3779B97F4A7C15L) + number) >>> 11) * 0x1.0p-53;
    }

    /** Stafford's variant 13 of the finalizer of MurmurHash3. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
