package rushpin.authority;

/**
 * Who holds an object, as the fleet's log said it at some moment after {@code asked}; it counts for one lease from there.
 *
 * @param asked own time
 * @param holder a process's name; empty for nobody
 * @param fence the holder's; of who held it last where nobody does, 0 for never
 */
public record Word(long asked, String holder, long fence) {
    /** Whether it still counts: looked at at the last moment before anything is sent by it. */
    public boolean isAlive(Rules rules, long now) {
        return now < asked + rules.lease();
    }

    /** Whether nobody holds the object. */
    public boolean isFree() {
        return holder.isEmpty();
    }
}
