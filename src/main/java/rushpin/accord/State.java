package rushpin.accord;

import java.util.List;

/**
 * All that the machine holds, as a value: what a snapshot is made of. Lists in order of session, of resource and of group.
 *
 * @param era the fleet's founding, an operator's number: the high bits of every fence; 0 before the founding
 * @param terms null before the founding
 * @param now log time of the last entry
 * @param last the last session or fence given, without the era
 */
public record State(
        long era,
        Terms terms,
        long now,
        long last,
        List<Session> sessions,
        List<Holder> holders,
        Plan plan,
        List<Budget> budgets) {
    /** A session; {@code until} is log time. */
    public record Session(long number, Who who, long until) {}

    /** Who holds a resource. */
    public record Holder(String resource, long session, long fence) {}

    /** Before the founding. */
    public static final State EMPTY = new State(0, null, 0, 0, List.of(), List.of(), Plan.NONE);

    /** Copies. */
    public State {
        sessions = List.copyOf(sessions);
        holders = List.copyOf(holders);
        budgets = List.copyOf(budgets);
    }

    /** Without budgets. */
    public State(long era, Terms terms, long now, long last, List<Session> sessions, List<Holder> holders, Plan plan) {
        this(era, terms, now, last, sessions, holders, plan, List.of());
    }
}
