package rushpin.authority;

import java.util.List;

/**
 * What a holder gives to the next: nothing was out when it was made, and nobody sent anything past the giver.
 *
 * @param fence the next one's: for any other holding it counts for nothing
 * @param body the copy, null where it was unknown or is only as old as the giver's clock says
 * @param version the giver's count of its copy's changes
 */
public record Gift<B>(long fence, B body, long version, List<Key<B>> keys) {
    /**
     * An order that was taken.
     *
     * @param answer what it was answered, null where that is unknown or says nothing
     * @param isDone whether it has run; otherwise it may have
     * @param left for how long it must still be remembered
     */
    public record Key<B>(String key, B answer, boolean isDone, long left) {}

    /** Copies. */
    public Gift {
        keys = List.copyOf(keys);
    }
}
