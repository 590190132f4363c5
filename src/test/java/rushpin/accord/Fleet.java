package rushpin.accord;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Three processes, one log and two resources in small whole time: a world for {@link Explore}. A step of real time is one
 * tick of a slow clock and two of a fast one, which is the drift that the terms allow. Messages stay on their way until they
 * are delivered or crowded out, so any of them may be late, out of order or lost; one may be delivered and still be on its
 * way.
 *
 * <p>What a process could do by a resource is taken at its worst: while it believes to hold it, an effect is begun at every
 * tick and lasts for as long as the terms allow. A stall is a pause between look and effect that is longer.
 */
final class Fleet {
    /** What is left out, in all the places where something could be. */
    enum Fault {
        LEASE_FROM_THE_ANSWER("a lease is counted from the answer"),
        LATEST_JOIN("a repeated Join's answer counts from the latest asking"),
        LEASE_NOT_LOOKED_AT("a holder goes on until it is told"),
        GRANT_WITHOUT_A_LOOK("a grant is acted upon without a look at the lease"),
        GRANT_OF_AN_EARLIER_SESSION("a grant to an earlier session counts for the one at hand"),
        LATE_GRANT("a grant counts although its fence was given back"),
        FORGOTTEN("late word of a grant counts where the fence given back is forgotten"),
        GIVEN_BACK_TOO_EARLY("a resource is given back while an effect is out"),
        NO_FENCE("the door doesn't look at the fence"),
        NO_EFFECT("the wait for effects is left out of the expiry"),
        NO_DRIFT("the drift is left out of the expiry"),
        SLOWER_THAN_AGREED("a holder's clock is slower than the drift allows"),
        TAKES_OVER("a new start takes at once what the old one held"),
        REVIVES("a late renewal revives a session that is over"),
        FREES_ANY_FENCE("a release frees whatever fence the resource is under"),
        LOG_TIME_AHEAD("log time goes ahead over a change of the leader"),
        NUMBERS_FORGOTTEN("a snapshot forgets the last number"),
        SAME_ERA("a fleet is founded anew under the same era"),
        NO_WAIT_FOR_THE_ERA_BEFORE("a later era grants at once");

        final String text;

        Fault(String text) {
            this.text = text;
        }
    }

    /** What else may happen, each as often as {@link Setting#trouble} allows in all. */
    enum Trouble {
        REPEAT,
        CRASH,
        STALL,
        GIVE_BACK,
        TOLD,
        NEW_LEADER,
        FOUNDED_ANEW
    }

    /**
     * How much is explored.
     *
     * @param wants the resources of each process, as bits
     * @param mostAsks how many are on their way at once, and answers
     */
    record Setting(
            int[] wants,
            int mostAsks,
            int mostAnswers,
            int trouble,
            Set<Trouble> troubles,
            Set<Fault> faults,
            Terms terms) {
        boolean has(Fault fault) {
            return faults.contains(fault);
        }
    }

    private static final String[] RESOURCES = {"r", "s"};
    private static final int LEASE = 2, EFFECT = 1, DRIFT = 333_333;
    /** Further back than anything matters. */
    private static final long LONG_AGO = -9;

    private record Message(int process, long id, char about, Object body) {}

    private final Setting set;
    private State log;
    private long logTime, highest, era;
    private final int logRate;
    private boolean leaderless;
    private final Holding.Memory[] memories;
    private final Who[] whos;
    private final long[] own;
    private final int[] rates;
    private List<Message> asks, answers;
    /** Until when, own time, effects of the start at hand and of earlier ones may last; door and greatest fence granted. */
    private final long[][] tail, formerTail;

    private final long[] door, greatest;
    /** The resource whose effect a process was stalled before, or -1, and its fence. */
    private final int[] stalled;

    private final long[] stalledFence;
    private int trouble;
    private String broken;

    private Fleet(Fleet from) {
        set = from.set;
        log = from.log;
        logTime = from.logTime;
        highest = from.highest;
        era = from.era;
        logRate = from.logRate;
        leaderless = from.leaderless;
        memories = from.memories.clone();
        whos = from.whos.clone();
        own = from.own.clone();
        rates = from.rates;
        asks = from.asks;
        answers = from.answers;
        tail = Arrays.stream(from.tail).map(long[]::clone).toArray(long[][]::new);
        formerTail = Arrays.stream(from.formerTail).map(long[]::clone).toArray(long[][]::new);
        door = from.door.clone();
        greatest = from.greatest.clone();
        stalled = from.stalled.clone();
        stalledFence = from.stalledFence.clone();
        trouble = from.trouble;
    }

    /** All have just joined, asking at time 0. */
    Fleet(Setting set, int[] rates, int logRate) {
        int many = rates.length;
        this.set = set;
        this.rates = rates;
        this.logRate = logRate;
        memories = new Holding.Memory[many];
        whos = new Who[many];
        own = new long[many];
        asks = List.of();
        answers = List.of();
        tail = new long[many][RESOURCES.length];
        formerTail = new long[many][RESOURCES.length];
        door = new long[RESOURCES.length];
        greatest = new long[RESOURCES.length];
        stalled = new int[many];
        stalledFence = new long[many];
        trouble = set.trouble;
        era = 1;
        Machine machine = new Machine(State.EMPTY);
        machine.apply(new Entry(0, new Command.Found(era, set.terms)));
        log = machine.state();
        Arrays.fill(stalled, -1);
        for (int p = 0; p < many; p++) {
            Arrays.fill(tail[p], LONG_AGO);
            Arrays.fill(formerTail[p], LONG_AGO);
            whos[p] = new Who(String.valueOf((char) ('A' + p)), 1, "z", "", 1);
            Holding holding = new Holding(whos[p], 1, RESOURCES.length, 0);
            want(p, holding);
            Holding.Ask ask = holding.due(0).get(0);
            holding.answered(ask.id(), apply(p, ask.command()), 0);
            memories[p] = holding.memory();
        }
    }

    /** The terms of a fleet that leaves something out. */
    static Terms terms(Set<Fault> faults) {
        return new Terms(
                LEASE,
                faults.contains(Fault.NO_DRIFT) ? 0 : DRIFT,
                faults.contains(Fault.NO_EFFECT) ? 0 : EFFECT,
                20,
                9);
    }

    /** Each setting of clocks, slow or fast, the hardest first: all holders slow, the log fast. */
    static List<Fleet> first(Setting set, int clocks) {
        List<Fleet> first = new ArrayList<>();
        int many = set.wants.length;
        for (int mask = 0; mask < 1 << many + 1 && first.size() < clocks; mask++) {
            int[] rates = new int[many];
            for (int p = 0; p < many; p++) {
                rates[p] = 1 + (mask >> p & 1);
            }
            first.add(new Fleet(set, rates, 2 - (mask >> many)));
        }
        return first;
    }

    private boolean has(Fault fault) {
        return set.has(fault);
    }

    private void want(int p, Holding holding) {
        for (int r = 0; r < RESOURCES.length; r++) {
            if ((set.wants[p] >> r & 1) != 0) {
                holding.want(RESOURCES[r], own[p]);
            }
        }
    }

    private Holding holding(int p) {
        return new Holding(whos[p], 1, RESOURCES.length, memories[p]);
    }

    /** An entry goes through the log; a machine is made from its state each time, as from a snapshot. */
    private Outcome apply(int p, Command command) {
        Machine machine = new Machine(log);
        if (command instanceof Command.Join join && has(Fault.TAKES_OVER)) {
            for (State.Session session : log.sessions()) {
                Who old = session.who();
                if (old.name().equals(join.who().name())
                        && old.incarnation() < join.who().incarnation()) {
                    machine.apply(new Entry(logTime, new Command.Leave(session.number())));
                }
            }
        }
        Command applied = command;
        if (command instanceof Command.Release release && has(Fault.FREES_ANY_FENCE)) {
            Optional<State.Holder> holder = machine.holder(release.resource());
            if (holder.isPresent()) {
                applied = new Command.Release(
                        holder.get().session(), release.resource(), holder.get().fence());
            }
        }
        State before = log;
        Applied done = machine.apply(new Entry(logTime, applied));
        log = machine.state();
        Outcome outcome = done.outcome();
        if (has(Fault.REVIVES) && command instanceof Command.Renew renew && outcome instanceof Outcome.Refused) {
            List<State.Session> sessions = new ArrayList<>(log.sessions());
            sessions.add(new State.Session(renew.session(), whos[p], logTime + set.terms.expiry()));
            log = new State(log.era(), log.terms(), log.now(), log.last(), sessions, log.holders(), log.plan());
            outcome = new Outcome.Done();
        }
        for (Decision decision : done.decisions()) {
            if (decision instanceof Decision.Came came) {
                number(came.session());
            } else if (decision instanceof Decision.Holds holds) {
                number(holds.fence());
                int r = index(holds.resource());
                if (holds.fence() <= greatest[r]) {
                    broken = "a fence went back";
                }
                greatest[r] = holds.fence();
            }
        }
        for (State.Session session : log.sessions()) {
            if (before.sessions().stream().noneMatch(there -> there.number() == session.number())
                    && !done.decisions().contains(new Decision.Came(session.number(), session.who()))) {
                broken = "a session that was over came back";
            }
        }
        return outcome;
    }

    private void number(long number) {
        if (number <= highest) {
            broken = "a number was given twice";
        }
        highest = Math.max(highest, number);
    }

    private boolean holds(int p, int r) {
        Holding.Item item = memories[p].items().get(RESOURCES[r]);
        return item != null
                && item.live()
                && (has(Fault.LEASE_NOT_LOOKED_AT) || memories[p].session() != 0 && own[p] < memories[p].until());
    }

    /** Whether an effect of a process may still be out, by its own clock. */
    private boolean acts(int p, int r) {
        return holds(p, r) || own[p] <= tail[p][r];
    }

    /** Own time has gone to a moment, effects have been begun at every tick up to there. */
    private void begun(int p, boolean[] held, long until) {
        for (int r = 0; r < RESOURCES.length; r++) {
            if (held[r] && stalled[p] < 0) {
                long last = has(Fault.LEASE_NOT_LOOKED_AT) ? own[p] : Math.min(own[p], until - 1);
                tail[p][r] = Math.max(tail[p][r], last + EFFECT);
            }
        }
    }

    private boolean[] held(int p) {
        return new boolean[] {holds(p, 0), holds(p, 1)};
    }

    /** A process has heard something: whatever it holds now it acts by at once. */
    private void remember(int p, Holding holding) {
        memories[p] = holding.memory();
        boolean[] held = held(p);
        begun(p, held, memories[p].until());
        for (int r = 0; r < RESOURCES.length; r++) {
            if (held[r]) {
                through(r, memories[p].items().get(RESOURCES[r]).known(), true);
            }
        }
    }

    /** An effect comes to the door of its resource. */
    private void through(int r, long fence, boolean inTime) {
        if (fence >= door[r]) {
            door[r] = fence;
        } else if (has(Fault.NO_FENCE)) {
            broken = "an effect of an older holder was let through";
        } else if (inTime) {
            broken = "an effect in time was refused at the door";
        }
    }

    /** The rules; what is broken within a step was noted there. */
    private String broken() {
        if (broken != null) {
            return broken;
        }
        for (int r = 0; r < RESOURCES.length; r++) {
            int acting = 0;
            for (int p = 0; p < own.length; p++) {
                acting += (acts(p, r) ? 1 : 0) + (own[p] <= formerTail[p][r] ? 1 : 0);
            }
            if (acting > 1) {
                return "two act by " + RESOURCES[r];
            }
        }
        return null;
    }

    private void time(Explore.Step<Fleet> step) {
        Fleet next = new Fleet(this);
        // A leader that is new counts nothing while there was none; entries that only tell the time come all the while.
        next.logTime += leaderless ? 0 : logRate;
        next.leaderless = false;
        next.apply(-1, new Command.Tick());
        for (int p = 0; p < own.length; p++) {
            boolean[] held = held(p);
            next.own[p] += p == 0 && has(Fault.SLOWER_THAN_AGREED) ? own[1] % 2 : rates[p];
            next.begun(p, held, memories[p].until());
        }
        step.to(next.settled(), () -> "a step of time");
    }

    private void send(int p, Explore.Step<Fleet> step) {
        if (!isDue(memories[p], own[p])) {
            return;
        }
        Holding holding = holding(p);
        List<Holding.Ask> due = holding.due(own[p]);
        for (int only = due.size() == 1 ? 0 : -1; only < due.size(); only++) {
            List<Holding.Ask> sent = only < 0 ? due : List.of(due.get(only));
            Fleet next = new Fleet(this);
            next.asks = new ArrayList<>(asks);
            for (Holding.Ask ask : sent) {
                put(next.asks, new Message(p, ask.id(), about(ask.command()), ask.command()), set.mostAsks);
            }
            next.remember(p, holding);
            step.to(
                    next.settled(),
                    () -> whos[p].name() + " asks " + due + (sent.size() < due.size() ? ", arrives " + sent : ""));
        }
    }

    /** Whether anything is to be sent; faster than to make a holding for it. */
    private static boolean isDue(Holding.Memory memory, long now) {
        boolean due = now >= memory.again();
        for (Holding.Item item : memory.items().values()) {
            boolean ask = item.owed() != 0 || item.wanted() && !item.live() && now < memory.until();
            due |= memory.session() != 0 && now >= item.again() && ask;
        }
        return due;
    }

    /** At the bound the oldest one is lost. */
    private static void put(List<Message> way, Message message, int most) {
        way.add(message);
        if (way.size() > most) {
            way.remove(0);
        }
    }

    private static char about(Command command) {
        return command instanceof Command.Acquire acquire
                ? acquire.resource().charAt(0)
                : command instanceof Command.Release release
                        ? Character.toUpperCase(release.resource().charAt(0))
                        : '-';
    }

    /** Lets go of messages that can change nothing any more, so that worlds with the same future are the same. */
    private Fleet settled() {
        answers = only(answers, this::matters);
        asks = has(Fault.REVIVES)
                ? asks
                : only(asks, ask -> {
                    long session = sessionOf((Command) ask.body);
                    return session == 0 || session == memories[ask.process].session() || isThere(session);
                });
        return this;
    }

    private static List<Message> only(List<Message> way, Predicate<Message> which) {
        for (Message message : way) {
            if (!which.test(message)) {
                return way.stream().filter(which).toList();
            }
        }
        return way;
    }

    private boolean isThere(long number) {
        for (State.Session session : log.sessions()) {
            if (session.number() == number) {
                return true;
            }
        }
        return false;
    }

    private boolean matters(Message answer) {
        Holding.Memory memory = memories[answer.process];
        Holding.Out asked = memory.out().get(answer.id);
        if (answer.body instanceof Decision.Holds holds) {
            return holds.session() == memory.session();
        }
        if (asked == null || answer.body instanceof Outcome.Held) {
            return false;
        }
        boolean longer = asked.asked() + LEASE > Math.max(memory.until(), own[answer.process])
                || has(Fault.LEASE_FROM_THE_ANSWER)
                || has(Fault.LATEST_JOIN);
        return answer.body instanceof Outcome.Joined joined
                ? joined.session() > memory.session() || longer
                : !(asked.command() instanceof Command.Renew) || longer || !(answer.body instanceof Outcome.Done);
    }

    private static long sessionOf(Command command) {
        return command instanceof Command.Renew renew
                ? renew.session()
                : command instanceof Command.Acquire acquire
                        ? acquire.session()
                        : command instanceof Command.Release release ? release.session() : 0;
    }

    private static List<Message> without(List<Message> way, int i, boolean gone) {
        List<Message> rest = new ArrayList<>(way);
        if (gone) {
            rest.remove(i);
        }
        return rest;
    }

    private void commit(int i, boolean gone, Explore.Step<Fleet> step) {
        Message ask = asks.get(i);
        Fleet next = new Fleet(this);
        next.asks = without(asks, i, gone);
        Outcome outcome = next.apply(ask.process, (Command) ask.body);
        next.trouble -= gone ? 0 : 1;
        boolean heard = memories[ask.process].out().containsKey(ask.id);
        if (heard) {
            next.answers = new ArrayList<>(answers);
            put(next.answers, new Message(ask.process, ask.id, ask.about, outcome), set.mostAnswers);
        }
        step.to(
                next.settled(),
                () -> "committed" + (gone ? "" : " and still on its way") + ": " + ask + " -> " + outcome);
    }

    private void hear(int i, Explore.Step<Fleet> step) {
        Message answer = answers.get(i);
        int p = answer.process;
        Fleet next = new Fleet(this);
        next.answers = without(answers, i, true);
        Holding.Out asked = memories[p].out().get(answer.id);
        next.memories[p] = mistaken(p, answer, asked);
        Holding holding = next.holding(p);
        if (answer.body instanceof Outcome outcome) {
            holding.answered(answer.id, outcome, own[p]);
        } else {
            holding.heard((Decision) answer.body, own[p]);
        }
        if (has(Fault.LEASE_FROM_THE_ANSWER) && holding.until() != memories[p].until()) {
            Holding.Memory m = holding.memory();
            holding = new Holding(
                    whos[p],
                    1,
                    RESOURCES.length,
                    new Holding.Memory(
                            m.terms(),
                            m.session(),
                            m.ended(),
                            own[p] + LEASE,
                            m.again(),
                            m.asks(),
                            m.leaveBy(),
                            m.over(),
                            m.forgotten(),
                            m.items(),
                            m.out()));
        }
        next.remember(p, holding);
        if (has(Fault.GRANT_WITHOUT_A_LOOK) && answer.body instanceof Outcome.Granted granted) {
            next.tail[p][index(granted.resource())] = own[p] + EFFECT;
        }
        step.to(next.settled(), () -> whos[p].name() + " hears " + answer.body + " to " + asked);
    }

    /** What a holder remembers that leaves out a check. */
    private Holding.Memory mistaken(int p, Message answer, Holding.Out asked) {
        Holding.Memory m = memories[p];
        Map<String, Holding.Item> items = m.items();
        Map<Long, Holding.Out> out = m.out();
        long forgotten = has(Fault.FORGOTTEN) ? 0 : m.forgotten();
        if (asked == null) {
            return new Holding.Memory(
                    m.terms(),
                    m.session(),
                    m.ended(),
                    m.until(),
                    m.again(),
                    m.asks(),
                    m.leaveBy(),
                    m.over(),
                    forgotten,
                    items,
                    out);
        }
        if (has(Fault.LATE_GRANT) && answer.body instanceof Outcome.Granted granted) {
            Holding.Item item = items.get(granted.resource());
            items = new TreeMap<>(items);
            items.put(
                    granted.resource(), new Holding.Item(item.wanted(), item.known(), item.live(), 0, 0, item.again()));
        } else if (has(Fault.GRANT_OF_AN_EARLIER_SESSION) && asked.command() instanceof Command.Acquire acquire) {
            out = new TreeMap<>(out);
            out.put(answer.id, new Holding.Out(new Command.Acquire(m.session(), acquire.resource()), asked.asked()));
        } else if (has(Fault.LATEST_JOIN) && answer.body instanceof Outcome.Joined) {
            long latest = out.values().stream()
                    .filter(o -> o.command() instanceof Command.Join)
                    .mapToLong(Holding.Out::asked)
                    .max()
                    .orElseThrow();
            out = new TreeMap<>(out);
            out.put(answer.id, new Holding.Out(asked.command(), latest));
        }
        return new Holding.Memory(
                m.terms(),
                m.session(),
                m.ended(),
                m.until(),
                m.again(),
                m.asks(),
                m.leaveBy(),
                m.over(),
                forgotten,
                items,
                out);
    }

    private boolean may(Trouble what) {
        return trouble > 0 && set.troubles.contains(what);
    }

    private Fleet troubled() {
        Fleet next = new Fleet(this);
        next.trouble--;
        return next;
    }

    private void crash(int p, Explore.Step<Fleet> step) {
        Fleet next = troubled();
        for (int r = 0; r < RESOURCES.length; r++) {
            next.formerTail[p][r] = Math.max(formerTail[p][r], tail[p][r]);
            next.tail[p][r] = LONG_AGO;
        }
        next.stalled[p] = -1;
        next.stalledFence[p] = 0;
        next.whos[p] = new Who(whos[p].name(), whos[p].incarnation() + 1, "z", "", 1);
        next.answers = answers.stream().filter(answer -> answer.process != p).toList();
        // Asks of the start before are still on their way, but their answers go nowhere.
        next.asks = asks.stream()
                .map(ask -> ask.process == p ? new Message(p, 0, ask.about, ask.body) : ask)
                .toList();
        Holding holding = new Holding(next.whos[p], 1, RESOURCES.length, own[p]);
        want(p, holding);
        next.memories[p] = holding.memory();
        step.to(next.settled(), () -> whos[p].name() + " dies and starts anew");
    }

    private void stall(int p, Explore.Step<Fleet> step) {
        for (int r = 0; r < RESOURCES.length; r++) {
            if (holds(p, r)) {
                int resource = r;
                Fleet next = troubled();
                next.stalled[p] = r;
                next.stalledFence[p] = memories[p].items().get(RESOURCES[r]).known();
                step.to(
                        next.settled(),
                        () -> whos[p].name() + " has looked at " + RESOURCES[resource] + " and is stopped");
            }
        }
    }

    private void goesOn(int p, Explore.Step<Fleet> step) {
        Fleet next = new Fleet(this);
        next.stalled[p] = -1;
        next.stalledFence[p] = 0;
        next.through(stalled[p], stalledFence[p], own[p] <= tail[p][stalled[p]]);
        step.to(next.settled(), () -> whos[p].name() + " goes on with its effect under fence " + stalledFence[p]);
    }

    private void giveBack(int p, Explore.Step<Fleet> step) {
        for (int r = 0; r < RESOURCES.length; r++) {
            if (holds(p, r)) {
                int resource = r;
                Fleet next = troubled();
                Holding holding = holding(p);
                holding.giveBack(RESOURCES[r], own[p]);
                next.memories[p] = holding.memory();
                if (!has(Fault.GIVEN_BACK_TOO_EARLY)) {
                    next.tail[p][r] = LONG_AGO;
                }
                step.to(next.settled(), () -> whos[p].name() + " gives back " + RESOURCES[resource]);
            }
        }
    }

    /** What was given back is wanted again, at any time after. */
    private void wantsAgain(int p, Explore.Step<Fleet> step) {
        for (int r = 0; r < RESOURCES.length; r++) {
            Holding.Item item = memories[p].items().get(RESOURCES[r]);
            if ((set.wants[p] >> r & 1) != 0 && (item == null || !item.wanted())) {
                int resource = r;
                Fleet next = new Fleet(this);
                Holding holding = holding(p);
                holding.want(RESOURCES[r], own[p]);
                next.memories[p] = holding.memory();
                step.to(next.settled(), () -> whos[p].name() + " wants " + RESOURCES[resource] + " again");
            }
        }
    }

    /** The process will be told, some time, of what its session holds now. */
    private void told(int p, Explore.Step<Fleet> step) {
        for (State.Holder holder : log.holders()) {
            if (holder.session() == memories[p].session()) {
                Fleet next = troubled();
                next.answers = new ArrayList<>(answers);
                Decision told = new Decision.Holds(holder.resource(), holder.session(), holder.fence());
                put(next.answers, new Message(p, 0, 'd', told), set.mostAnswers);
                step.to(next.settled(), () -> whos[p].name() + " will be told that it is the " + holder);
            }
        }
    }

    private void newLeader(Explore.Step<Fleet> step) {
        Fleet next = troubled();
        next.leaderless = true;
        next.logTime += has(Fault.LOG_TIME_AHEAD) ? 2 * LEASE : 0;
        if (has(Fault.NUMBERS_FORGOTTEN)) {
            next.log = new State(log.era(), log.terms(), log.now(), 0, log.sessions(), log.holders(), log.plan());
        }
        step.to(next.settled(), () -> "another voter leads");
    }

    private void foundedAnew(Explore.Step<Fleet> step) {
        Fleet next = troubled();
        next.era = has(Fault.SAME_ERA) ? era : era + 1;
        Machine machine = new Machine(State.EMPTY);
        next.logTime = 0;
        machine.apply(new Entry(0, new Command.Found(next.era, set.terms)));
        next.log = machine.state();
        if (has(Fault.NO_WAIT_FOR_THE_ERA_BEFORE)) {
            next.log = new State(next.era, set.terms, 0, 1, List.of(), List.of(), Plan.NONE);
        }
        next.highest = Math.max(highest, next.era * Machine.ERA + next.log.last());
        step.to(next.settled(), () -> "all voters have lost their folders; founded anew");
    }

    /** How many of the resources are held by somebody at some time, once nothing is lost, late or stopped any more. */
    int heldInCalm(int rounds) {
        Fleet[] now = {this};
        Explore.Step<Fleet> go = (next, what) -> now[0] = next;
        Set<Integer> held = new HashSet<>();
        for (int p = 0; p < own.length; p++) {
            if (stalled[p] >= 0) {
                now[0].goesOn(p, go);
            }
        }
        // A fast clock's lease lasts one step: join, acquire and hold within it.
        for (int i = 0; i < 3 * rounds; i++) {
            for (int p = 0; p < own.length; p++) {
                Holding holding = now[0].holding(p);
                now[0].want(p, holding);
                List<Holding.Ask> due = holding.due(now[0].own[p]);
                Fleet next = new Fleet(now[0]);
                next.remember(p, holding);
                for (Holding.Ask ask : due) {
                    holding.answered(ask.id(), next.apply(p, ask.command()), next.own[p]);
                    next.remember(p, holding);
                }
                now[0] = next;
                for (int r = 0; r < RESOURCES.length; r++) {
                    if (next.holds(p, r)) {
                        held.add(r);
                    }
                }
            }
            if (i % 3 == 2) {
                now[0].time(go);
            }
        }
        return held.size();
    }

    private void next(Explore.Step<Fleet> step) {
        for (int p = 0; p < own.length; p++) {
            if (stalled[p] < 0) {
                send(p, step);
            }
        }
        for (int i = 0; i < asks.size(); i++) {
            commit(i, true, step);
            if (may(Trouble.REPEAT)) {
                commit(i, false, step);
            }
        }
        for (int i = 0; i < answers.size(); i++) {
            if (stalled[answers.get(i).process] < 0) {
                hear(i, step);
            }
        }
        time(step);
        for (int p = 0; p < own.length; p++) {
            if (stalled[p] >= 0) {
                goesOn(p, step);
            } else {
                wantsAgain(p, step);
                if (may(Trouble.STALL)) {
                    stall(p, step);
                }
                if (may(Trouble.GIVE_BACK)) {
                    giveBack(p, step);
                }
                if (may(Trouble.TOLD)) {
                    told(p, step);
                }
            }
            if (may(Trouble.CRASH)) {
                crash(p, step);
            }
        }
        if (may(Trouble.NEW_LEADER)) {
            newLeader(step);
        }
        if (may(Trouble.FOUNDED_ANEW)) {
            foundedAnew(step);
        }
    }

    /**
     * Times by their distance, numbers by their order, and only as far as anything that may come next looks at them:
     * sessions and the fences of each resource each in a row of their own, doors and what was given back by which of those
     * are below.
     */
    private long print() {
        Row sessions = new Row();
        Row[] fences = {new Row(), new Row()};
        for (State.Session session : log.sessions()) {
            sessions.add(session.number());
        }
        for (State.Holder holder : log.holders()) {
            fences[index(holder.resource())].add(holder.fence());
        }
        for (int p = 0; p < own.length; p++) {
            sessions.add(memories[p].session());
            if (stalled[p] >= 0) {
                fences[stalled[p]].add(stalledFence[p]);
            }
            for (Map.Entry<String, Holding.Item> entry : memories[p].items().entrySet()) {
                fences[index(entry.getKey())]
                        .add(entry.getValue().known())
                        .add(entry.getValue().owed());
            }
        }
        for (Message answer : answers) {
            if (answer.body instanceof Outcome.Joined joined) {
                sessions.add(joined.session());
            } else if (answer.body instanceof Outcome.Granted granted) {
                fences[index(granted.resource())].add(granted.fence());
            } else if (answer.body instanceof Decision.Holds holds) {
                fences[index(holds.resource())].add(holds.fence());
            }
        }
        Explore.Print print = new Explore.Print();
        print.add(trouble).add(logRate).add(leaderless ? 1 : 0);
        if (has(Fault.SAME_ERA) || has(Fault.NUMBERS_FORGOTTEN)) {
            print.add(highest).add(log.last());
        }
        if (has(Fault.SLOWER_THAN_AGREED)) {
            print.add(own[1] % 2);
        }
        for (State.Session session : log.sessions()) {
            print.add(sessions.of(session.number()))
                    .add(session.who().name().charAt(0))
                    .add(session.who().incarnation())
                    .add(session.until() - logTime);
        }
        for (State.Holder holder : log.holders()) {
            int r = index(holder.resource());
            print.add(r).add(sessions.of(holder.session())).add(fences[r].of(holder.fence()));
        }
        for (int r = 0; r < RESOURCES.length; r++) {
            print.add(fences[r].of(door[r]));
        }
        for (int p = 0; p < own.length; p++) {
            print.add(rates[p]).add(whos[p].incarnation()).add(stalled[p]);
            if (stalled[p] >= 0) {
                print.add(fences[stalled[p]].of(stalledFence[p]));
            }
            Holding.Memory m = memories[p];
            print.add(m.terms() == null ? 0 : 1)
                    .add(sessions.of(m.session()))
                    .add(ahead(m.until(), p))
                    .add(ahead(m.again(), p));
            for (Map.Entry<String, Holding.Item> entry : m.items().entrySet()) {
                Holding.Item item = entry.getValue();
                Row row = fences[index(entry.getKey())];
                print.add(index(entry.getKey()))
                        .add((item.wanted() ? 1 : 0) + (item.live() ? 2 : 0))
                        .add(row.of(item.known()))
                        .add(row.of(item.back()))
                        .add(row.of(item.owed()))
                        .add(ahead(item.again(), p));
            }
            for (int r = 0; r < RESOURCES.length; r++) {
                print.add(fences[r].of(m.forgotten()));
                print.add(Math.max(-1, tail[p][r] - own[p])).add(Math.max(-1, formerTail[p][r] - own[p]));
            }
        }
        // In any order: what is on its way has none.
        long sum = 0;
        for (Message ask : asks) {
            sum += print(sessions, fences, ask, 1);
        }
        for (Message answer : answers) {
            sum += print(sessions, fences, answer, 2);
        }
        return print.add(sum).sum();
    }

    private static int index(String resource) {
        return resource.equals(RESOURCES[0]) ? 0 : 1;
    }

    private long ahead(long time, int p) {
        return Math.max(0, time - own[p]);
    }

    /** A few numbers in order. */
    private static final class Row {
        private final long[] sorted = new long[24];
        private int many;

        Row add(long number) {
            int at = many;
            while (at > 0 && sorted[at - 1] >= number) {
                at--;
            }
            if (number != 0 && (at == many || sorted[at] != number)) {
                System.arraycopy(sorted, at, sorted, at + 1, many++ - at);
                sorted[at] = number;
            }
            return this;
        }

        /** Where a number stands, odd if it is one of them. */
        int of(long number) {
            int at = 0;
            while (at < many && sorted[at] < number) {
                at++;
            }
            return 2 * at + (at < many && sorted[at] == number ? 1 : 0);
        }
    }

    /** An ask that is remembered counts with its age, and answers by what they answer. */
    private long print(Row sessions, Row[] fences, Message message, int way) {
        Explore.Print print = new Explore.Print().add(way).add(message.process).add(message.about);
        Holding.Out asked = memories[message.process].out().get(message.id);
        print.add(asked == null ? -1 : Math.min(LEASE, own[message.process] - asked.asked()));
        Object body = message.body;
        if (way == 2 && asked != null) {
            Command command = asked.command();
            print.add(sessions.of(sessionOf(command)))
                    .add(
                            command instanceof Command.Release release
                                    ? fences[index(release.resource())].of(release.fence())
                                    : 0);
        }
        if (body instanceof Command command) {
            print.add(sessions.of(sessionOf(command)));
            if (command instanceof Command.Join join) {
                print.add(join.who().incarnation());
            } else if (command instanceof Command.Release release) {
                print.add(fences[index(release.resource())].of(release.fence()));
            }
        } else if (body instanceof Outcome.Joined joined) {
            print.add(sessions.of(joined.session())).add(joined.session() <= memories[message.process].ended() ? 1 : 0);
        } else if (body instanceof Outcome.Granted granted) {
            print.add(fences[index(granted.resource())].of(granted.fence()));
        } else if (body instanceof Decision.Holds holds) {
            print.add(fences[index(holds.resource())].of(holds.fence()));
        } else if (body instanceof Outcome.Refused refused) {
            print.add(refused.reason().ordinal());
        } else {
            print.add(-1);
        }
        return print.sum();
    }

    static final Explore.Rules<Fleet> RULES = new Explore.Rules<>() {
        @Override
        public void next(Fleet world, Explore.Step<Fleet> step) {
            world.next(step);
        }

        @Override
        public String broken(Fleet world) {
            return world.broken();
        }

        @Override
        public long print(Fleet world) {
            return world.print();
        }
    };

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("log " + logTime + " (rate " + logRate + ") ");
        text.append(log.sessions()).append(log.holders());
        for (int p = 0; p < own.length; p++) {
            text.append("; ")
                    .append(whos[p].name())
                    .append(" at ")
                    .append(own[p])
                    .append(" (rate ")
                    .append(rates[p])
                    .append(") session ")
                    .append(memories[p].session())
                    .append(" until ")
                    .append(memories[p].until())
                    .append(' ')
                    .append(memories[p].items())
                    .append(" effects until ")
                    .append(Arrays.toString(tail[p]));
        }
        return text.toString();
    }
}
