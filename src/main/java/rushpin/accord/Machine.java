package rushpin.accord;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rushpin.accord.Outcome.Reason;

/**
 * What the fleet has decided: sessions, holders of resources, the plan. Every voter applies the same entries in the same
 * order and comes to the same state. No I/O, clock or chance; one thread at a time. An entry costs a logarithm of what is
 * held, and as much again for each session that it ends; one that changes what is granted of a group costs as much as the
 * group has sessions; a state costs all that is held.
 *
 * <p>A session that has ended never comes back, and a number is never given twice: sessions and fences are from one row,
 * with the era in the high bits. What a session holds is blocked until the session's end, whoever of the same name comes
 * meanwhile: the old process may only be stopped, and still act by what it holds.
 *
 * <p>Versions one apart: a form of a level above the least one of the sessions is refused by all, by those too that know
 * it. So who does not know a form refuses it alike, as long as a session of its own level is there; where none is, the
 * others may have done it, and this machine can't go on.
 *
 * <p>Connections of a group are granted only out of what is free, whatever the division asks for ({@link Ledger}). What a
 * session was granted counts until it has ceded it, or, once the session is over, until its lease, the longest effect and the
 * time that the group's side may keep a half-open connection are over; its own part, until the process has forgotten that
 * too. A process that comes back under another session goes on with what it had; another start of it does not.
 *
 * <p>Bounds: sessions and held resources by the terms; {@link #MOST_OF_A_NAME} sessions of one name, so that a process that
 * dies at every start keeps out none but itself. At the bound the command is refused.
 */
public final class Machine {
    /** How many numbers an era has. */
    public static final long ERA = 1L << 40;
    /** The greatest era. */
    public static final long LAST_ERA = (1L << 22) - 1;
    /** The newest form of commands that this version understands. */
    public static final int LEVEL = 2;
    /** How many sessions of one name there may be at once, those of its earlier starts that still have to end included. */
    public static final int MOST_OF_A_NAME = 8;
    /**
     * Stands for whoever held something under the era before: a session from the founding of any era but the first, that
     * nobody renews. Until it ends nothing is granted. No process can be called so.
     */
    public static final Who FORMER = new Who("(former)", 0, "", "", 0);

    private static final Outcome DONE = new Outcome.Done();
    private static final Comparator<State.Session> BY_END =
            Comparator.comparingLong(State.Session::until).thenComparingLong(State.Session::number);

    private final TreeMap<Long, State.Session> sessions = new TreeMap<>();
    private final TreeSet<State.Session> byEnd = new TreeSet<>(BY_END);
    private final Map<String, List<Long>> byName = new HashMap<>();
    private final TreeMap<String, State.Holder> holders = new TreeMap<>();
    private final Map<Long, TreeSet<String>> held = new HashMap<>();
    private final TreeMap<String, Ledger> ledgers = new TreeMap<>();
    private long era, now, last;
    private Terms terms;
    private Plan plan;

    /**
     * Goes on from a state.
     *
     * @throws IllegalArgumentException if it can be none: a number given twice, a holder without a session, no terms
     */
    public Machine(State from) {
        era = from.era();
        terms = from.terms();
        now = from.now();
        last = from.last();
        plan = from.plan();
        if ((terms == null) != (era == 0) || terms == null && !from.sessions().isEmpty()) {
            throw new IllegalArgumentException("no state: era " + era + ", terms " + terms);
        }
        for (State.Session session : from.sessions()) {
            if (sessions.containsKey(session.number())) {
                throw new IllegalArgumentException("no state: session " + session.number() + " twice");
            }
            put(session);
        }
        for (State.Holder holder : from.holders()) {
            if (!sessions.containsKey(holder.session()) || holders.containsKey(holder.resource())) {
                throw new IllegalArgumentException("no state: " + holder);
            }
            hold(holder);
        }
        for (Budget budget : from.budgets()) {
            for (Budget.Grant grant : budget.grants()) {
                if (grant.isLive() != sessions.containsKey(grant.session()) || grant.number() > era * ERA + last) {
                    throw new IllegalArgumentException("no state: " + grant);
                }
            }
            if (ledgers.put(budget.group(), new Ledger(budget, this::next)) != null) {
                throw new IllegalArgumentException("no state: group " + budget.group() + " twice");
            }
        }
    }

    /**
     * Applies an entry; sessions that are over at its time end first.
     *
     * @throws IllegalStateException a command of a form that all sessions know, and this version does not
     */
    public Applied apply(Entry entry) {
        now = Math.max(now, entry.at());
        List<Decision> decisions = new ArrayList<>();
        while (!byEnd.isEmpty() && byEnd.first().until() <= now) {
            end(byEnd.first(), decisions);
        }
        Outcome outcome = apply(entry.command(), decisions);
        if (!ledgers.isEmpty()) {
            for (Ledger ledger : ledgers.values()) {
                for (Allotment word : ledger.settle(
                        now, terms, era, session -> sessions.get(session).who())) {
                    decisions.add(new Decision.Allotted(word));
                }
            }
            ledgers.values().removeIf(Ledger::isEmpty);
        }
        return new Applied(outcome, decisions);
    }

    private Outcome apply(Command command, List<Decision> decisions) {
        if (command instanceof Command.Carried carried) {
            return apply(carried.of(), decisions);
        }
        if (command instanceof Command.Tick) {
            return DONE;
        }
        if (command instanceof Command.Unknown) {
            if (level() > LEVEL) {
                throw new IllegalStateException("a command of a newer version that all other processes know");
            }
            return refused(Reason.UNKNOWN);
        }
        if (command instanceof Command.Found found) {
            return found(found, decisions);
        }
        if (terms == null) {
            return refused(Reason.NOT_FOUNDED);
        }
        if (command instanceof Command.Join join) {
            return join(join.who(), decisions);
        }
        if (command instanceof Command.Renew renew) {
            return renew(renew.session());
        }
        if (command instanceof Command.Leave leave) {
            State.Session session = live(leave.session());
            if (session == null) {
                return refused(Reason.NO_SESSION);
            }
            end(session, decisions);
            return DONE;
        }
        if (command instanceof Command.Acquire acquire) {
            return acquire(acquire, decisions);
        }
        if (command instanceof Command.Release release) {
            return release(release, decisions);
        }
        if (command.level() > level()) {
            return refused(Reason.UNKNOWN);
        }
        if (command instanceof Command.Divide divide) {
            return divide(divide);
        }
        if (command instanceof Command.Cede cede) {
            return cede(cede);
        }
        return publish((Command.Publish) command, decisions);
    }

    private Outcome found(Command.Found found, List<Decision> decisions) {
        if (terms != null) {
            return refused(Reason.FOUNDED_BEFORE);
        }
        if (found.era() < 1 || found.era() > LAST_ERA || found.terms() == null) {
            return refused(Reason.NOT_FOUNDED);
        }
        era = found.era();
        terms = found.terms();
        if (era > 1) {
            open(FORMER, decisions);
        }
        return DONE;
    }

    private Outcome join(Who who, List<Decision> decisions) {
        if (!Who.isName(who.name())
                || !Who.isName(who.zone())
                || !who.region().isEmpty() && !Who.isName(who.region())) {
            return refused(Reason.BAD_NAME);
        }
        List<Long> ofName = byName.getOrDefault(who.name(), List.of());
        for (long number : ofName) {
            if (sessions.get(number).who().incarnation() == who.incarnation()) {
                renew(number);
                return new Outcome.Joined(number, terms);
            }
        }
        if (sessions.size() >= terms.mostSessions() || ofName.size() >= MOST_OF_A_NAME || last >= ERA - 1) {
            return refused(Reason.TOO_MANY_SESSIONS);
        }
        return new Outcome.Joined(open(who, decisions), terms);
    }

    private long open(Who who, List<Decision> decisions) {
        long number = next();
        put(new State.Session(number, who, now + terms.expiry()));
        decisions.add(new Decision.Came(number, who));
        ledgers.values().forEach(ledger -> ledger.goesOn(who, number));
        return number;
    }

    private Outcome renew(long number) {
        State.Session session = live(number);
        if (session == null) {
            return refused(Reason.NO_SESSION);
        }
        byEnd.remove(session);
        State.Session renewed = new State.Session(number, session.who(), now + terms.expiry());
        sessions.put(number, renewed);
        byEnd.add(renewed);
        return DONE;
    }

    private Outcome acquire(Command.Acquire acquire, List<Decision> decisions) {
        if (live(acquire.session()) == null) {
            return refused(Reason.NO_SESSION);
        }
        if (!Who.isName(acquire.resource())) {
            return refused(Reason.BAD_NAME);
        }
        State.Holder holder = holders.get(acquire.resource());
        if (holder != null) {
            return holder.session() == acquire.session()
                    ? new Outcome.Granted(holder.resource(), holder.fence())
                    : new Outcome.Held(
                            holder.resource(),
                            sessions.get(holder.session()).who().name());
        }
        if (byName.containsKey(FORMER.name())) {
            return new Outcome.Held(acquire.resource(), FORMER.name());
        }
        if (holders.size() >= terms.mostHeld() || last >= ERA - 1) {
            return refused(Reason.TOO_MANY_HELD);
        }
        long fence = next();
        hold(new State.Holder(acquire.resource(), acquire.session(), fence));
        decisions.add(new Decision.Holds(acquire.resource(), acquire.session(), fence));
        return new Outcome.Granted(acquire.resource(), fence);
    }

    private Outcome release(Command.Release release, List<Decision> decisions) {
        if (live(release.session()) == null) {
            return refused(Reason.NO_SESSION);
        }
        State.Holder holder = holders.get(release.resource());
        if (holder == null || holder.session() != release.session() || holder.fence() != release.fence()) {
            return refused(Reason.NOT_HOLDER);
        }
        holders.remove(release.resource());
        TreeSet<String> rest = held.get(release.session());
        rest.remove(release.resource());
        if (rest.isEmpty()) {
            held.remove(release.session());
        }
        decisions.add(new Decision.Free(release.resource()));
        return DONE;
    }

    private Outcome publish(Command.Publish publish, List<Decision> decisions) {
        if (live(publish.session()) == null) {
            return refused(Reason.NO_SESSION);
        }
        State.Holder planner = holders.get(Command.PLANNER);
        if (planner == null || planner.session() != publish.session() || planner.fence() != publish.fence()) {
            return refused(Reason.NOT_HOLDER);
        }
        // The same one again, whose answer was lost.
        if (plan.equals(new Plan(publish.after() + 1, publish.fence(), publish.ways(), publish.marks()))) {
            return new Outcome.Published(plan.number());
        }
        if (plan.number() != publish.after()) {
            return refused(Reason.STALE_PLAN);
        }
        if (!Plan.isWhole(publish.ways(), publish.marks())) {
            return refused(Reason.BAD_PLAN);
        }
        plan = new Plan(plan.number() + 1, publish.fence(), publish.ways(), publish.marks());
        decisions.add(new Decision.InForce(plan));
        return new Outcome.Published(plan.number());
    }

    private Outcome divide(Command.Divide divide) {
        if (live(divide.session()) == null) {
            return refused(Reason.NO_SESSION);
        }
        State.Holder divider = holders.get(Command.DIVIDER);
        if (divider == null || divider.session() != divide.session() || divider.fence() != divide.fence()) {
            return refused(Reason.NOT_HOLDER);
        }
        Ledger ledger = ledgers.get(divide.group());
        if (ledger != null && ledger.isSame(divide)) {
            return new Outcome.Divided(ledger.number());
        }
        if ((ledger == null ? 0 : ledger.number()) != divide.after()) {
            return refused(Reason.STALE_DIVISION);
        }
        if (!Who.isName(divide.group())
                || !Ledger.isWhole(divide)
                || ledger != null && !ledger.mayBe(divide.figures())) {
            return refused(Reason.BAD_DIVISION);
        }
        if (ledger == null) {
            if (ledgers.size() >= Budget.MOST_GROUPS) {
                return refused(Reason.TOO_MANY_GROUPS);
            }
            ledger = new Ledger(divide.group(), divide.figures(), now, this::next);
            ledgers.put(divide.group(), ledger);
        }
        ledger.divide(divide, now, session -> live(session) != null);
        return new Outcome.Divided(ledger.number());
    }

    private Outcome cede(Command.Cede cede) {
        if (live(cede.session()) == null) {
            return refused(Reason.NO_SESSION);
        }
        Ledger ledger = ledgers.get(cede.group());
        if (ledger == null) {
            return refused(Reason.NOT_ALLOTTED);
        }
        ledger.cede(cede.session(), cede.number(), cede.to());
        return new Outcome.Allotted(ledger.word(cede.session(), terms));
    }

    private void end(State.Session session, List<Decision> decisions) {
        byEnd.remove(session);
        sessions.remove(session.number());
        ledgers.values().forEach(ledger -> ledger.over(session.number(), session.until() - terms.expiry()));
        List<Long> ofName = byName.get(session.who().name());
        ofName.remove(session.number());
        if (ofName.isEmpty()) {
            byName.remove(session.who().name());
        }
        decisions.add(new Decision.Went(session.number(), session.who()));
        TreeSet<String> freed = held.remove(session.number());
        if (freed != null) {
            for (String resource : freed) {
                holders.remove(resource);
                decisions.add(new Decision.Free(resource));
            }
        }
    }

    private void put(State.Session session) {
        sessions.put(session.number(), session);
        byEnd.add(session);
        byName.computeIfAbsent(session.who().name(), name -> new ArrayList<>(1)).add(session.number());
    }

    private void hold(State.Holder holder) {
        holders.put(holder.resource(), holder);
        held.computeIfAbsent(holder.session(), number -> new TreeSet<>()).add(holder.resource());
    }

    private State.Session live(long number) {
        State.Session session = sessions.get(number);
        return session == null || session.who().equals(FORMER) ? null : session;
    }

    private long next() {
        return era * ERA + ++last;
    }

    private static Outcome refused(Reason reason) {
        return new Outcome.Refused(reason);
    }

    /** The least level of the sessions that have not ended; 0 without any. */
    public int level() {
        return sessions.values().stream()
                .map(State.Session::who)
                .filter(who -> !who.equals(FORMER))
                .mapToInt(Who::level)
                .min()
                .orElse(0);
    }

    /** All of it, as a value. */
    public State state() {
        return new State(
                era,
                terms,
                now,
                last,
                List.copyOf(sessions.values()),
                List.copyOf(holders.values()),
                plan,
                ledgers.values().stream().map(Ledger::value).toList());
    }

    /** The era that was founded; 0 before. */
    public long era() {
        return era;
    }

    /** The terms; null before the founding. */
    public Terms terms() {
        return terms;
    }

    /** Log time of the last entry, nanoseconds. */
    public long now() {
        return now;
    }

    /** The plan in force. */
    public Plan plan() {
        return plan;
    }

    /** What is granted of a group's connections; empty where none is asked for. */
    public Optional<Budget> budget(String group) {
        return Optional.ofNullable(ledgers.get(group)).map(Ledger::value);
    }

    /** The groups whose connections are divided, in order of name; a view. */
    public Set<String> groups() {
        return Collections.unmodifiableSet(ledgers.keySet());
    }

    /** What a session may have open to a group now; empty where the group's connections aren't divided. */
    public Optional<Allotment> word(String group, long session) {
        return Optional.ofNullable(ledgers.get(group)).map(ledger -> ledger.word(session, terms));
    }

    /** A session that has not ended. */
    public Optional<State.Session> session(long number) {
        return Optional.ofNullable(sessions.get(number));
    }

    /** Who holds a resource. */
    public Optional<State.Holder> holder(String resource) {
        return Optional.ofNullable(holders.get(resource));
    }

    /** The sessions that have not ended, {@link #FORMER} included, in order of number; a view. */
    public Collection<State.Session> sessions() {
        return Collections.unmodifiableCollection(sessions.values());
    }

    /** Who holds what, in order of resource; a view. */
    public Collection<State.Holder> holders() {
        return Collections.unmodifiableCollection(holders.values());
    }
}
