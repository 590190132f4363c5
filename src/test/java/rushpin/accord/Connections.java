package rushpin.accord;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import rushpin.pooling.ConnectionGrant;
import rushpin.pooling.GrantState;

/**
 * Processes, one log and one group of app servers in small whole time: a world for {@link Explore}. Clocks and messages are
 * as in {@link Fleet}: a step of real time is one tick of a slow clock and two of a fast one, which is the drift that the
 * terms allow; messages may be late, in any order, lost.
 *
 * <p>Connections are taken at their worst: each process opens all that it may at every moment, keeps what is above that for
 * as long as it may, and what it had when it dies or its lease is over stays half-open for as long as the group allows. So a
 * process that is paused or cut off is one whose messages are late. Divisions are anybody's guess.
 */
final class Connections {
    /** What is left out. */
    enum Fault {
        CEDED_WHEN_SAID("a part is ceded when that is said, not when it is closed"),
        GRANTED_BEFORE_CEDED("a part is granted before it is ceded"),
        CLOSED_AT_ONE_END("who closes a connection counts it no more, though the group's side may have it open"),
        NO_HALF_OPEN("half-open connections are left out"),
        OWN_TWICE("what an old start was granted is free when a new one is there"),
        LEASE_FROM_THE_ANSWER("a lease is counted from the answer"),
        NEVER_FORGETS("a process that is cut off keeps its own part for ever"),
        LEAVES_WITHOUT_AN_END("who leaves doesn't close at its lease's end"),
        LATE_WORD("a late word counts"),
        WORD_OF_AN_EARLIER_SESSION("a word to an earlier session counts"),
        CEDED_BY_ANY_WORD("what was ceded by an earlier word counts"),
        NO_EFFECT("the wait for effects is left out"),
        NO_DRIFT("the drift is left out"),
        OVER_FORGOTTEN("a snapshot forgets grants whose session is over"),
        LOWERED_LATE("what is free is counted by the number before it was lowered"),
        NO_WAIT_FOR_THE_ERA_BEFORE("a later era grants at once");

        final String text;

        Fault(String text) {
            this.text = text;
        }
    }

    /** What else may happen, each as often as {@link Setting#trouble} allows in all. */
    enum Trouble {
        CRASH,
        LOWER,
        REPEAT,
        LEAVES,
        FOUNDED_ANEW
    }

    /**
     * How much is explored.
     *
     * @param near how many of the processes hear all at once and lose nothing, the last ones
     * @param divisions how many there are after the first one
     */
    record Setting(
            int processes,
            int near,
            int divisions,
            int mostAsks,
            int mostAnswers,
            int trouble,
            Set<Trouble> troubles,
            Set<Fault> faults) {
        boolean has(Fault fault) {
            return faults.contains(fault);
        }

        Terms terms() {
            return new Terms(LEASE, has(Fault.NO_DRIFT) ? 0 : DRIFT, has(Fault.NO_EFFECT) ? 0 : EFFECT, 40, 9);
        }
    }

    private static final String GROUP = "db";
    private static final int LEASE = 2, EFFECT = 1, DRIFT = 333_333, HALF_OPEN = 1, FORGET = 3;
    private static final int MOST = 3, LOWERED = 2, OWN = 1;
    private static final Who DIVIDER = new Who("divider", 1, "z", "", Machine.LEVEL);

    /** On its way: to the log, or to the start of a process that it is for. */
    private record Message(int process, long incarnation, long asked, Object body) {}

    /**
     * One process.
     *
     * @param closed connections that it has closed and the group's side may not have
     */
    private record Process(Who who, long now, int rate, long sent, GrantState allowance, int open, int closed) {
        Process with(GrantState next) {
            return new Process(who, now, rate, sent, next, open, closed);
        }

        Process opening(Fault fault) {
            int more = may(fault) - (fault == Fault.CLOSED_AT_ONE_END ? 0 : closed);
            return new Process(who, now, rate, sent, allowance, Math.max(open, more), closed);
        }

        int may(Fault fault) {
            ConnectionGrant permit = allowance.grant();
            return fault == Fault.NEVER_FORGETS && permit != ConnectionGrant.NONE && now >= permit.until()
                    ? permit.own()
                    : permit.at(now);
        }

        /** What can still be open: what it may have had open an effect ago. */
        int longest(Fault fault) {
            ConnectionGrant permit = allowance.grant();
            return permit == ConnectionGrant.NONE
                            || fault == Fault.LEAVES_WITHOUT_AN_END && allowance.isLeaving()
                            || now - EFFECT < permit.until()
                    ? Integer.MAX_VALUE
                    : now - EFFECT < permit.forget() || fault == Fault.NEVER_FORGETS ? permit.own() : 0;
        }
    }

    private final Setting set;
    private final Fault fault;
    private State log;
    private long logTime, divider, fence;
    private final int logRate;
    private final Process[] all;
    private List<Message> asks, answers;
    /** Connections of starts that have died, and how many there may be in all. */
    private int halfOpen, allowed, most;

    private int divisions, trouble;

    private Connections(Connections from) {
        set = from.set;
        fault = from.fault;
        log = from.log;
        logTime = from.logTime;
        divider = from.divider;
        fence = from.fence;
        logRate = from.logRate;
        all = from.all.clone();
        asks = from.asks;
        answers = from.answers;
        halfOpen = from.halfOpen;
        allowed = from.allowed;
        most = from.most;
        divisions = from.divisions;
        trouble = from.trouble;
    }

    /** All have just joined, asking at time 0. */
    Connections(Setting set, int rates, int logRate) {
        this.set = set;
        this.logRate = logRate;
        fault = set.faults.isEmpty() ? null : set.faults.iterator().next();
        all = new Process[set.processes];
        asks = List.of();
        answers = List.of();
        divisions = set.divisions;
        trouble = set.trouble;
        most = MOST;
        allowed = MOST;
        found(1);
        for (int p = 0; p < all.length; p++) {
            Who who = new Who(String.valueOf((char) ('A' + p)), 1, "z", "", Machine.LEVEL);
            Outcome.Joined joined = (Outcome.Joined) apply(new Command.Join(who));
            all[p] = new Process(
                    who,
                    0,
                    1 + (rates >> p & 1),
                    0,
                    GrantState.none(GROUP).renewed(joined.session(), 0, set.terms()),
                    0,
                    0);
        }
        int[] first = new int[all.length];
        Arrays.fill(first, 1);
        first[0] = MOST + 1 - all.length;
        divide(first);
    }

    private void found(long era) {
        Machine machine = new Machine(State.EMPTY);
        machine.apply(new Entry(0, new Command.Found(era, set.terms())));
        log = machine.state();
        divider = ((Outcome.Joined) apply(new Command.Join(DIVIDER))).session();
    }

    /** Each setting of clocks, slow or fast, the hardest first: all processes slow, the log fast. */
    static List<Connections> first(Setting set, int clocks) {
        List<Connections> first = new ArrayList<>();
        for (int mask = 0; mask < 1 << set.processes + 1 && first.size() < clocks; mask++) {
            first.add(new Connections(set, mask, 2 - (mask >> set.processes)));
        }
        return first;
    }

    private boolean has(Fault which) {
        return fault == which;
    }

    /** An entry goes through the log; a machine is made from its state each time, as from a snapshot. */
    private Outcome apply(Command command) {
        Machine machine = new Machine(log);
        Command applied = command;
        if (has(Fault.CEDED_BY_ANY_WORD) && command instanceof Command.Cede cede && cede.number() != 0) {
            long number =
                    machine.word(GROUP, cede.session()).map(Allotment::number).orElse(0L);
            applied = new Command.Cede(cede.session(), GROUP, number, cede.to());
        }
        Applied done = machine.apply(new Entry(logTime, applied));
        log = mistaken(machine.state());
        for (Decision decision : done.decisions()) {
            for (int p = 0; p < all.length; p++) {
                if (!(decision instanceof Decision.Allotted told)
                        || all[p] == null
                        || told.word().session() != all[p].allowance.session()) {
                    continue;
                }
                if (isNear(p)) {
                    all[p] = all[p].with(all[p].allowance.notified(told.word())).opening(fault);
                } else {
                    answers = put(answers, new Message(p, all[p].who.incarnation(), 0, told.word()), set.mostAnswers);
                }
            }
        }
        // Of an era before nothing is known until it is over.
        boolean isWaiting = log.era() > 1
                && (log.budgets().isEmpty()
                        || logTime < log.budgets().get(0).first() + set.terms().waiting(FORGET + EFFECT + HALF_OPEN));
        allowed = Math.max(most, isWaiting ? allowed : Math.min(allowed, granted()));
        return done.outcome();
    }

    private boolean isNear(int p) {
        return p >= all.length - set.near;
    }

    /** All that who is near has to say and to hear. */
    private void near() {
        for (int p = all.length - set.near; p < all.length; p++) {
            long session = all[p].allowance.session();
            if (log.sessions().stream().noneMatch(each -> each.number() == session)) {
                Outcome.Joined joined = (Outcome.Joined) apply(new Command.Join(all[p].who));
                all[p] = all[p].with(all[p].allowance.renewed(joined.session(), all[p].now, set.terms()));
            }
            for (int i = 0; i < 3; i++) {
                Process of = all[p];
                int may = Math.min(of.open, of.may(fault));
                of = new Process(of.who, of.now, of.rate, of.sent, of.allowance, may, of.closed);
                Command.Cede cede = of.allowance.due(may + of.closed, of.now).orElse(null);
                all[p] = of;
                if (cede != null) {
                    all[p] = of.with(of.allowance.sent(cede, of.now));
                    if (apply(cede) instanceof Outcome.Allotted answer) {
                        all[p] = all[p].with(all[p].allowance.notified(answer.word()))
                                .opening(fault);
                    }
                }
            }
        }
    }

    private int granted() {
        return log.budgets().isEmpty() ? 0 : (int) log.budgets().get(0).granted();
    }

    private State mistaken(State state) {
        if (fault == null || state.budgets().isEmpty()) {
            return state;
        }
        Budget of = state.budgets().get(0);
        List<Budget.Grant> grants = new ArrayList<>();
        for (Budget.Grant each : of.grants()) {
            boolean isOld = !each.isLive();
            boolean isAgain = state.sessions().stream()
                    .anyMatch(other -> other.number() > each.session()
                            && other.who().name().equals(each.name()));
            if (has(Fault.GRANTED_BEFORE_CEDED)) {
                grants.add(new Budget.Grant(
                        each.session(),
                        each.name(),
                        each.incarnation(),
                        each.number(),
                        each.most(),
                        each.own(),
                        each.most(),
                        each.own(),
                        each.renewed()));
            } else if (!(has(Fault.OVER_FORGOTTEN) && isOld) && !(has(Fault.OWN_TWICE) && isAgain)) {
                grants.add(each);
            }
        }
        Budget.Figures figures = of.figures();
        if (has(Fault.LOWERED_LATE)) {
            figures = new Budget.Figures(MOST, 0, OWN, figures.halfOpen(), FORGET);
        }
        boolean isEarly = has(Fault.NO_WAIT_FOR_THE_ERA_BEFORE);
        return new State(
                state.era(),
                state.terms(),
                state.now(),
                state.last(),
                state.sessions(),
                state.holders(),
                state.plan(),
                List.of(new Budget(
                        GROUP,
                        figures,
                        of.number(),
                        of.fence(),
                        of.at(),
                        isEarly ? -99 : of.first(),
                        of.changes(),
                        of.tenants(),
                        of.shares(),
                        grants)));
    }

    /** Of the sessions that processes go by; those that they don't know of yet have nothing. */
    private void divide(int[] parts) {
        if (fence == 0) {
            Outcome outcome = apply(new Command.Acquire(divider, Command.DIVIDER));
            if (!(outcome instanceof Outcome.Granted granted)) {
                return;
            }
            fence = granted.fence();
        }
        TreeMap<Long, Budget.Share> shares = new TreeMap<>();
        for (int p = 0; p < parts.length; p++) {
            String name = String.valueOf((char) ('A' + p));
            // The newest session of each name.
            long session = 0;
            for (State.Session each : log.sessions()) {
                session = each.who().name().equals(name) ? each.number() : session;
            }
            if (session != 0) {
                shares.put(session, new Budget.Share(session, Math.min(parts[p], most), List.of()));
            }
        }
        long after = log.budgets().isEmpty() ? 0 : log.budgets().get(0).number();
        apply(new Command.Divide(
                divider,
                fence,
                after,
                GROUP,
                new Budget.Figures(most, 0, OWN, has(Fault.NO_HALF_OPEN) ? 0 : HALF_OPEN, FORGET),
                List.of(),
                List.copyOf(shares.values())));
    }

    private static <T> List<T> put(List<T> way, T message, int most) {
        if (way.contains(message)) {
            return way;
        }
        List<T> next = new ArrayList<>(way);
        next.add(message);
        if (next.size() > most) {
            next.remove(0);
        }
        return next;
    }

    private static List<Message> without(List<Message> way, int i) {
        List<Message> rest = new ArrayList<>(way);
        rest.remove(i);
        return rest;
    }

    private void time(Explore.Step<Connections> step) {
        Connections next = new Connections(this);
        next.logTime += logRate;
        next.halfOpen = 0;
        next.apply(new Command.Renew(divider));
        for (int p = 0; p < all.length; p++) {
            Process of = all[p];
            Process then = new Process(of.who, of.now + of.rate, of.rate, of.sent, of.allowance, of.open, 0);
            int open = Math.min(of.open, then.longest(fault));
            next.all[p] =
                    new Process(of.who, then.now, of.rate, of.sent, of.allowance, open, of.open - open).opening(fault);
        }
        for (int p = all.length - set.near; p < all.length; p++) {
            Process of = next.all[p];
            if (next.apply(new Command.Renew(of.allowance.session())) instanceof Outcome.Done) {
                next.all[p] = next.all[p]
                        .with(next.all[p].allowance.renewed(of.allowance.session(), of.now, set.terms()))
                        .opening(fault);
            }
        }
        step.to(next.settled(), () -> "a step of time");
    }

    /** A renewal or a Join, once a tick. */
    private void renew(int p, Explore.Step<Connections> step) {
        Process of = all[p];
        boolean isAlive = of.allowance.session() != 0 && of.now < of.allowance.renewalSentAt() + LEASE;
        if (of.sent == of.now || isAlive && of.allowance.renewalSentAt() == of.now) {
            return;
        }
        Command command = isAlive ? new Command.Renew(of.allowance.session()) : new Command.Join(of.who);
        Connections next = new Connections(this);
        next.all[p] = new Process(of.who, of.now, of.rate, of.now, of.allowance, of.open, of.closed);
        next.asks = put(asks, new Message(p, of.who.incarnation(), of.now, command), set.mostAsks);
        step.to(next.settled(), () -> of.who.name() + " asks " + command);
    }

    private void cede(int p, Explore.Step<Connections> step) {
        Process of = all[p];
        int open = has(Fault.CEDED_WHEN_SAID) ? 0 : of.open + of.closed;
        of.allowance.due(open, of.now).ifPresent(cede -> {
            Connections next = new Connections(this);
            next.all[p] = of.with(of.allowance.sent(cede, of.now));
            next.asks = put(asks, new Message(p, of.who.incarnation(), of.now, cede), set.mostAsks);
            step.to(next.settled(), () -> of.who.name() + " with " + open + " open says " + cede);
        });
    }

    private void close(int p, Explore.Step<Connections> step) {
        Process of = all[p];
        int may = of.may(fault);
        if (of.open > may) {
            Connections next = new Connections(this);
            next.all[p] = new Process(of.who, of.now, of.rate, of.sent, of.allowance, may, of.closed);
            step.to(next.settled(), () -> of.who.name() + " closes down to " + may);
        }
    }

    private void commit(int i, boolean gone, Explore.Step<Connections> step) {
        Message ask = asks.get(i);
        Connections next = new Connections(this);
        next.asks = gone ? without(asks, i) : asks;
        next.trouble -= gone ? 0 : 1;
        Outcome outcome = next.apply((Command) ask.body);
        if (ask.incarnation == all[ask.process].who.incarnation()) {
            boolean isWord = outcome instanceof Outcome.Allotted;
            next.answers = put(
                    next.answers,
                    new Message(
                            ask.process,
                            ask.incarnation,
                            isWord ? 0 : ask.asked,
                            isWord
                                    ? ((Outcome.Allotted) outcome).word()
                                    : outcome instanceof Outcome.Done ? ask.body : outcome),
                    set.mostAnswers);
        }
        step.to(
                next.settled(),
                () -> "committed" + (gone ? "" : " and still on its way") + ": " + ask + " -> " + outcome);
    }

    private void hear(int i, Explore.Step<Connections> step) {
        Message answer = answers.get(i);
        int p = answer.process;
        Process of = all[p];
        Connections next = new Connections(this);
        next.answers = without(answers, i);
        GrantState allowance = of.allowance;
        long asked = has(Fault.LEASE_FROM_THE_ANSWER) ? of.now : answer.asked;
        if (answer.body instanceof Allotment word) {
            if (has(Fault.LATE_WORD)) {
                allowance = new GrantState(
                        GROUP, allowance.session(), LEASE, allowance.renewalSentAt(), null, 0, 0, 0, 9, false);
            }
            boolean isEarlier = has(Fault.WORD_OF_AN_EARLIER_SESSION)
                    && word.session() < allowance.session()
                    && allowance.allotment() == null;
            allowance = allowance.notified(
                    isEarlier
                            ? new Allotment(
                                    GROUP,
                                    allowance.session(),
                                    word.number(),
                                    word.most(),
                                    word.own(),
                                    word.granted(),
                                    word.forget(),
                                    HALF_OPEN,
                                    List.of())
                            : word);
        } else if (answer.body instanceof Outcome.Joined joined) {
            allowance = allowance.renewed(joined.session(), asked, set.terms());
        } else if (answer.body instanceof Command.Renew renew) {
            allowance = allowance.renewed(renew.session(), asked, set.terms());
        }
        next.all[p] = of.with(allowance).opening(fault);
        step.to(next.settled(), () -> of.who.name() + " hears " + answer);
    }

    private Connections troubled() {
        Connections next = new Connections(this);
        next.trouble--;
        return next;
    }

    private boolean may(Trouble what) {
        return trouble > 0 && set.troubles.contains(what);
    }

    private void crash(int p, Explore.Step<Connections> step) {
        Process of = all[p];
        Connections next = troubled();
        Who who = new Who(of.who.name(), of.who.incarnation() + 1, "z", "", Machine.LEVEL);
        next.halfOpen += of.open + of.closed;
        next.all[p] = new Process(who, of.now, of.rate, -1, GrantState.none(GROUP), 0, 0);
        next.answers = answers.stream().filter(answer -> answer.process != p).toList();
        step.to(next.settled(), () -> who.name() + " dies with " + of.open + " open and starts anew");
    }

    /** The operator's number goes down; what was granted before may be open until it is closed. */
    private void lower(Explore.Step<Connections> step) {
        Connections next = troubled();
        next.most = LOWERED;
        int[] parts = new int[all.length];
        parts[all.length - 1] = LOWERED;
        next.divide(parts);
        step.to(next.settled(), () -> "the number is lowered to " + LOWERED);
    }

    private void foundedAnew(Explore.Step<Connections> step) {
        Connections next = troubled();
        next.logTime = 0;
        next.fence = 0;
        next.found(log.era() + 1);
        step.to(next.settled(), () -> "all voters have lost their folders; founded anew");
    }

    private List<int[]> divisions() {
        List<int[]> some = new ArrayList<>();
        for (int p = 0; p < all.length; p++) {
            int[] one = new int[all.length];
            one[p] = most;
            some.add(one);
        }
        int[] spread = new int[all.length];
        for (int i = 0; i < most; i++) {
            spread[(all.length - 1 - i % all.length)]++;
        }
        some.add(spread);
        return some;
    }

    private void next(Explore.Step<Connections> step) {
        for (int p = 0; p < all.length - set.near; p++) {
            renew(p, step);
            cede(p, step);
            close(p, step);
            if (may(Trouble.CRASH)) {
                crash(p, step);
            }
            if (may(Trouble.LEAVES) && !all[p].allowance.isLeaving()) {
                Connections next = troubled();
                next.all[p] = all[p].with(all[p].allowance.leaving());
                int leaving = p;
                step.to(next.settled(), () -> all[leaving].who.name() + " opens nothing any more");
            }
        }
        for (int i = 0; i < asks.size(); i++) {
            commit(i, true, step);
            if (may(Trouble.REPEAT)) {
                commit(i, false, step);
            }
        }
        for (int i = 0; i < answers.size(); i++) {
            hear(i, step);
        }
        if (divisions > 0) {
            for (int[] parts : divisions()) {
                Connections next = new Connections(this);
                next.divisions--;
                next.divide(parts);
                step.to(next.settled(), () -> "divided " + Arrays.toString(parts));
            }
        }
        if (may(Trouble.LOWER) && most > LOWERED) {
            lower(step);
        }
        if (may(Trouble.FOUNDED_ANEW)) {
            foundedAnew(step);
        }
        time(step);
    }

    /** Lets go of messages that can change nothing any more, so that worlds with the same future are the same. */
    private Connections settled() {
        near();
        answers = answers.stream().filter(this::matters).toList();
        asks = asks.stream()
                .filter(ask -> {
                    long session = sessionOf(ask.body);
                    boolean isThere =
                            session == 0 || log.sessions().stream().anyMatch(each -> each.number() == session);
                    return isThere
                            && (session == 0
                                    || ask.incarnation == all[ask.process].who.incarnation()
                                    || ask.body instanceof Command.Cede
                                    || ask.body instanceof Command.Renew);
                })
                .toList();
        return this;
    }

    private boolean matters(Message answer) {
        GrantState allowance = all[answer.process].allowance;
        if (answer.body instanceof Allotment word) {
            return has(Fault.LATE_WORD)
                    || has(Fault.WORD_OF_AN_EARLIER_SESSION)
                    || word.session() > allowance.session()
                    || !allowance.notified(word).equals(allowance);
        }
        boolean isLonger = answer.asked > allowance.renewalSentAt() || has(Fault.LEASE_FROM_THE_ANSWER);
        return answer.body instanceof Outcome.Joined joined
                        && joined.session() >= allowance.session()
                        && (joined.session() > allowance.session() || isLonger)
                || answer.body instanceof Command.Renew renew && renew.session() == allowance.session() && isLonger;
    }

    private static long sessionOf(Object body) {
        return body instanceof Command.Renew renew
                ? renew.session()
                : body instanceof Command.Cede cede
                        ? cede.session()
                        : body instanceof Allotment word
                                ? word.session()
                                : body instanceof Outcome.Joined joined ? joined.session() : 0;
    }

    private static long numberOf(Object body) {
        return body instanceof Command.Cede cede ? cede.number() : body instanceof Allotment word ? word.number() : 0;
    }

    private int open() {
        int open = halfOpen;
        for (Process of : all) {
            open += of.open + of.closed;
        }
        return open;
    }

    private String broken() {
        int open = open();
        return open > allowed ? open + " open, " + allowed + " may be" : null;
    }

    /**
     * Nothing is lost or late any more: what every process goes by after some steps of time.
     *
     * @return for each the most of its word, and what is granted in all
     */
    int[] inCalm(int[] parts, int steps) {
        Connections[] now = {new Connections(this)};
        now[0].asks = List.of();
        Explore.Step<Connections> go = (next, what) -> now[0] = next;
        for (int i = 0; i < steps; i++) {
            if (i == steps / 2) {
                now[0].divide(parts);
            }
            for (int p = 0; p < all.length; p++) {
                for (int times = 0; times < 3 && !isNear(p); times++) {
                    now[0].renew(p, go);
                    now[0].close(p, go);
                    now[0].cede(p, go);
                    while (!now[0].asks.isEmpty()) {
                        now[0].commit(0, true, go);
                    }
                    while (!now[0].answers.isEmpty()) {
                        now[0].hear(0, go);
                    }
                }
            }
            now[0].time(go);
        }
        int[] seen = new int[all.length + 1];
        for (int p = 0; p < all.length; p++) {
            Allotment word = now[0].all[p].allowance.allotment();
            seen[p] = word == null ? -1 : word.most();
        }
        seen[all.length] = now[0].granted();
        return seen;
    }

    /** Times by their distance, numbers by their order. */
    private long print() {
        TreeMap<Long, Integer> ranks = new TreeMap<>();
        ranks.put(0L, 0);
        for (State.Session session : log.sessions()) {
            ranks.put(session.number(), 0);
        }
        Budget of = log.budgets().isEmpty() ? null : log.budgets().get(0);
        if (of != null) {
            ranks.put(of.changes(), 0);
            of.grants().forEach(grant -> {
                ranks.put(grant.session(), 0);
                ranks.put(grant.number(), 0);
            });
        }
        for (Process each : all) {
            ranks.put(each.allowance.session(), 0);
            if (each.allowance.allotment() != null) {
                ranks.put(each.allowance.allotment().number(), 0);
            }
        }
        for (List<Message> way : List.of(asks, answers)) {
            for (Message message : way) {
                ranks.put(sessionOf(message.body), 0);
                ranks.put(numberOf(message.body), 0);
            }
        }
        int rank = 0;
        for (Map.Entry<Long, Integer> each : ranks.entrySet()) {
            each.setValue(rank++);
        }
        Explore.Print print = new Explore.Print()
                .add(logRate)
                .add(halfOpen)
                .add(allowed)
                .add(most)
                .add(divisions)
                .add(trouble)
                .add(log.era())
                .add(fence == 0 ? 0 : 1);
        for (State.Session session : log.sessions()) {
            print.add(ranks.get(session.number()))
                    .add(session.who().name().hashCode())
                    .add(session.who().incarnation())
                    .add(session.until() - logTime);
        }
        if (of != null) {
            print.add(ranks.get(of.changes())).add(log.era() > 1 ? Math.max(-30, of.first() - logTime) : 0);
            of.shares()
                    .forEach(share ->
                            print.add(ranks.getOrDefault(share.session(), -1)).add(share.connections()));
            of.grants()
                    .forEach(grant -> print.add(ranks.get(grant.session()))
                            .add(grant.name().charAt(0))
                            .add(grant.incarnation())
                            .add(ranks.get(grant.number()))
                            .add(grant.most())
                            .add(grant.own())
                            .add(grant.granted())
                            .add(grant.floor())
                            .add(grant.isLive() ? 99 : grant.renewed() - logTime));
        }
        for (Process each : all) {
            GrantState a = each.allowance;
            print.add(each.who.incarnation())
                    .add(each.rate)
                    .add(each.open)
                    .add(each.closed)
                    .add(each.sent == each.now ? 1 : 0)
                    .add(ranks.get(a.session()))
                    .add(Math.max(-9, a.renewalSentAt() - each.now))
                    .add(a.kept())
                    .add(Math.max(-2, a.keptUntil() - each.now))
                    .add(Math.max(-3, a.nextSendAt() - each.now))
                    .add(a.lastCeded())
                    .add(a.isLeaving() ? 1 : 0);
            if (a.allotment() != null) {
                print.add(ranks.get(a.allotment().number()))
                        .add(a.allotment().most())
                        .add(a.allotment().own())
                        .add(a.allotment().granted());
            }
        }
        long sum = 0;
        for (int way = 0; way < 2; way++) {
            for (Message each : way == 0 ? asks : answers) {
                Object body = each.body;
                Explore.Print one = new Explore.Print()
                        .add(way)
                        .add(each.process)
                        .add(each.incarnation)
                        .add(ranks.get(sessionOf(body)))
                        .add(ranks.get(numberOf(body)))
                        .add(
                                each.incarnation != all[each.process].who.incarnation()
                                                || body instanceof Allotment
                                                || body instanceof Command.Cede
                                        ? 0
                                        : Math.max(-9, each.asked - all[each.process].now));
                if (body instanceof Allotment word) {
                    one.add(1).add(word.most()).add(word.own()).add(word.granted());
                } else if (body instanceof Command.Cede cede) {
                    one.add(2).add(cede.to());
                } else {
                    one.add(body instanceof Command.Join ? 3 : body instanceof Command.Renew ? 4 : 5);
                }
                sum += one.sum();
            }
        }
        return print.add(sum).sum();
    }

    static final Explore.Rules<Connections> RULES = new Explore.Rules<>() {
        @Override
        public void next(Connections world, Explore.Step<Connections> step) {
            world.next(step);
        }

        @Override
        public String broken(Connections world) {
            return world.broken();
        }

        @Override
        public long print(Connections world) {
            return world.print();
        }
    };

    /** One of the worlds that can be next. */
    static Connections some(Connections world, java.util.random.RandomGenerator chance, List<String> path) {
        List<Connections> next = new ArrayList<>();
        List<Supplier<String>> whats = new ArrayList<>();
        RULES.next(world, (to, what) -> {
            next.add(to);
            whats.add(what);
        });
        int at = chance.nextInt(next.size());
        path.add(whats.get(at).get());
        return next.get(at);
    }

    @Override
    public String toString() {
        return "log " + logTime + " " + log.sessions() + " " + log.budgets() + " " + Arrays.toString(all)
                + ", half-open " + halfOpen;
    }
}
