package rushpin.accord;

import java.util.List;

/** What is decided: an entry of the log holds one of these. */
public sealed interface Command {
    /** The first of all: terms and era. A second one is refused. */
    record Found(long era, Terms terms) implements Command {}

    /** Time passes, nothing else; proposed by the leader while nothing else is. */
    record Tick() implements Command {}

    /** A process that has started asks for a session. One of the same name and incarnation gets the one it has. */
    record Join(Who who) implements Command {}

    /** A session goes on. */
    record Renew(long session) implements Command {}

    /** A process ends its session: it has stopped to act by all that it held. */
    record Leave(long session) implements Command {}

    /** A session wants a resource, one holder at a time. Who has it already is told its fence again. */
    record Acquire(long session, String resource) implements Command {}

    /** A session gives a resource back: it has stopped to act by it. */
    record Release(long session, String resource, long fence) implements Command {}

    /**
     * The holder of {@link #PLANNER} gives a plan; its number is the machine's to give.
     *
     * @param after the number of the plan it was made from: another one in force refuses it
     */
    record Publish(long session, long fence, long after, List<Plan.Way> ways, List<Plan.Mark> marks)
            implements Command {
        /** Copies. */
        public Publish {
            ways = List.copyOf(ways);
            marks = List.copyOf(marks);
        }

        /** Without marks. */
        public Publish(long session, long fence, long after, List<Plan.Way> ways) {
            this(session, fence, after, ways, List.of());
        }
    }

    /**
     * The holder of {@link #DIVIDER} divides a group's connections among sessions; the division's number is the machine's to
     * give. What shrinks counts until the session has ceded it or can have nothing open any more; what grows is granted out of
     * what is free then.
     *
     * @param after the number of the division it was made from: another one in force refuses it
     * @param tenants names, in order, each once
     * @param shares in order of session, each once; who has none is to have nothing
     */
    record Divide(
            long session,
            long fence,
            long after,
            String group,
            Budget.Figures figures,
            List<String> tenants,
            List<Budget.Share> shares)
            implements Command {
        /** Copies. */
        public Divide {
            tenants = List.copyOf(tenants);
            shares = List.copyOf(shares);
        }
    }

    /**
     * A session has closed down to so many connections to a group, at the group's side too, and opens no more than that by the
     * word of this number, nor by an earlier one. Below what the word allows it gives the rest back. It is answered with the
     * word that counts now, so it asks for that too: with number 0 nothing else.
     */
    record Cede(long session, String group, long number, int to) implements Command {}

    /** A command of a newer version, whose bytes are kept; refused alike by all who don't know it. */
    record Unknown(byte[] bytes) implements Command {}

    /** A command with more in its bytes than this version knows: done as that command, kept in the bytes in which it came. */
    record Carried(Command of, byte[] bytes) implements Command {}

    /** The resource whose holder makes plans. */
    String PLANNER = "planner";
    /** The resource whose holder divides connections. */
    String DIVIDER = "divider";

    /** The level of forms that it is one of: refused while a session of a lower one is there. */
    default int level() {
        return this instanceof Divide || this instanceof Cede ? 2 : 1;
    }
}
