package rushpin.accord;

import java.util.List;

/**
 * The machine's word to one session: what its process may have open to one group of app servers. The one with the greatest
 * number counts, whenever it comes.
 *
 * @param session whose word it is; a process goes by the words of its newest session alone
 * @param number grows with each change of any word of the group
 * @param most connections while the lease lasts
 * @param own connections from the lease's end on, by the process's own clock; at most {@code most}
 * @param granted what the fleet counts for this session: above {@code most} until the process has said that it has closed
 *     down ({@link Command.Cede})
 * @param forget from so long after the last asking that was answered on, nanoseconds of the process's clock, not even
 *     {@code own}; no shorter than the lease
 * @param halfOpen for so long after its closing a connection of which the group's side hasn't said the end counts as open,
 *     nanoseconds
 * @param tenants how many connections may carry each tenant's requests at once; in order of name
 */
public record Allotment(
        String group,
        long session,
        long number,
        int most,
        int own,
        int granted,
        long forget,
        long halfOpen,
        List<Quota> tenants) {
    /** A tenant's connections in one process. */
    public record Quota(String tenant, int connections) {}

    /** Copies. */
    public Allotment {
        tenants = List.copyOf(tenants);
    }
}
