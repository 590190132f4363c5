package rushpin.peer;

/** This voter does not lead, and has done nothing. */
public final class Elsewhere extends Exception {
    private static final long serialVersionUID = 1L;

    private final String leader;

    /** The voter that leads as far as is known, or null. */
    public Elsewhere(String leader) {
        super(leader == null ? "no voter leads" : leader + " leads", null, false, false);
        this.leader = leader;
    }

    /** The voter that leads as far as is known, or null. */
    public String leader() {
        return leader;
    }
}
