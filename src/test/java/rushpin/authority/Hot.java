package rushpin.authority;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import rushpin.accord.Explore;
import rushpin.accord.Terms;
import rushpin.judge.Histories;
import rushpin.judge.Histories.Kind;
import rushpin.judge.Histories.Operation;

/**
 * Processes, one object, its servers and the log's word of it, in small whole time: a world for {@link Explore}. A step of real
 * time is one tick of a slow clock and two of a fast one, which is the drift that the terms allow. Messages may be late, in any
 * order, lost; an attempt at the servers has its effect within the longest effect or never.
 *
 * <p>Look-ups are taken at their worst: at every moment each process that may answers one from its copy, and each that may send
 * past the holder sends one. An object's body is the number of orders that have run. {@code floor} is the greatest that
 * anybody was told; an answer below it, to a request that came later, is not linearizable, and since the servers put orders into
 * one row, no other one is.
 */
final class Hot {
    /** What is left out, in all the places where something could be. */
    enum Fault {
        LEASE_FROM_THE_ANSWER("a lease is counted from the answer"),
        LEASE_NOT_LOOKED_AT("the copy is answered from without a look at the lease"),
        WORD_FROM_THE_ANSWER("a word of who holds counts from its answer"),
        WORD_FOR_EVER("a word of who holds counts until the next one"),
        NO_CLEARING("who takes over doesn't wait for those who send past it"),
        NO_DRIFT("the wait leaves out the drift"),
        NO_EFFECT("the wait leaves out attempts that are out"),
        UNKNOWN_IS_OVER("an order of unknown outcome counts as over at once"),
        SPOILED("a look-up that was out beside an order becomes the copy"),
        ASKED_BEFORE("what was asked for before the wait was over becomes the copy"),
        JOINS("a look-up joins one that is out already"),
        ORDER_PAST_THE_COPY("an order's answer doesn't change the copy"),
        NOT_FINISHED("the object is passed on while an order is out"),
        GOES_ON("a holder that stopped goes on when its lease is back"),
        ANY_LATER_HOLDER("any later holder counts as the one that it was passed on to"),
        ANY_GIFT("a gift made for another holding counts"),
        GIFT_TWICE("a gift that comes after an order counts"),
        NO_KEYS("order keys are not handed over"),
        NO_WAIT_FOR_KEYS("who takes over without keys takes orders at once"),
        LATE_ACKNOWLEDGEMENT("an acknowledgement later than the longest effect counts"),
        PAST_THE_HOLDER("who is cut off sends look-ups to the servers in mode strict"),
        AGE_FROM_THE_ANSWER("a copy's age counts from the answer"),
        AGE_WITHOUT_DRIFT("a copy's age leaves out the drift"),
        AGE_ANEW("a copy's age begins anew when it is handed over");

        final String text;

        Fault(String text) {
            this.text = text;
        }
    }

    /** What else may happen, each as often as {@link Setting#trouble} allows in all. */
    enum Trouble {
        CRASH,
        REPEAT,
        CLIENT_REPEATS,
        STALL
    }

    /**
     * How much is explored.
     *
     * @param many processes
     * @param isHeld whether A holds the object at first; otherwise nobody does, and all know
     * @param far processes whose words with the log take time, as bits; the others' are heard at once
     * @param asleep processes that look at their clock only when something comes, as bits
     * @param orders most in all; so are moves out of being free, hand-overs and look-ups that wait
     * @param says whether the servers say what the object is after an order
     */
    record Setting(
            int many,
            boolean strict,
            boolean isHeld,
            int far,
            int asleep,
            int orders,
            int moves,
            int handOvers,
            int lookUps,
            boolean says,
            int trouble,
            Set<Trouble> troubles,
            Set<Fault> faults) {
        boolean has(Fault fault) {
            return faults.contains(fault);
        }

        private Rules rules() {
            int drift = has(Fault.NO_DRIFT) || has(Fault.AGE_WITHOUT_DRIFT) ? 0 : DRIFT;
            Terms terms = new Terms(LEASE, drift, EFFECT, 9, 9);
            int remember = has(Fault.NO_WAIT_FOR_KEYS) || !troubles.contains(Trouble.CLIENT_REPEATS) ? 0 : 2;
            Rules all = strict ? Rules.strict(terms, remember, 2, 1, 4) : Rules.bounded(terms, AGE, remember, 2, 1, 4);
            long clearing = has(Fault.NO_CLEARING) ? 0 : has(Fault.NO_EFFECT) ? terms.waiting(LEASE) : all.clearing();
            return new Rules(
                    strict,
                    all.age(),
                    LEASE,
                    has(Fault.UNKNOWN_IS_OVER) ? 0 : has(Fault.LATE_ACKNOWLEDGEMENT) ? 99 : EFFECT,
                    clearing,
                    all.remember(),
                    2,
                    1,
                    4);
        }
    }

    /** The copy, with what a fault leaves out. */
    private static final class Slip extends Copy<Integer> {
        private final Setting set;

        Slip(Setting set) {
            super(set.rules());
            this.set = set;
        }

        Slip(Slip from) {
            super(from);
            set = from.set;
        }

        @Override
        boolean mayBeKept(Out out) {
            return super.mayBeKept(new Out(
                    out.number(),
                    out.fence(),
                    set.has(Fault.ASKED_BEFORE) ? Long.MAX_VALUE : out.begun(),
                    out.spoiled() && !set.has(Fault.SPOILED),
                    out.order()));
        }

        @Override
        long keptAsOf(Out out, long now) {
            return set.has(Fault.AGE_FROM_THE_ANSWER) ? now : super.keptAsOf(out, now);
        }

        @Override
        boolean maySkipTheWait() {
            return set.has(Fault.GIFT_TWICE) || super.maySkipTheWait();
        }

        @Override
        boolean joinsWhatIsOut() {
            return set.has(Fault.JOINS);
        }

        @Override
        boolean goesOnAfterItStopped() {
            return set.has(Fault.GOES_ON);
        }

        @Override
        boolean isFinished(long now) {
            return set.has(Fault.NOT_FINISHED) || super.isFinished(now);
        }

        @Override
        Integer handed() {
            return set.has(Fault.AGE_ANEW) ? body() : super.handed();
        }

        @Override
        boolean passesTheCopy() {
            return set.has(Fault.ORDER_PAST_THE_COPY);
        }
    }

    private static final int LEASE = 2,
            EFFECT = 1,
            DRIFT = 333_333,
            AGE = 3,
            NOBODY = -1,
            REPEATED = 50,
            LOOK_UPS = 100;
    /** Within so many steps a client repeats an order. */
    private static final int REPEATS_WITHIN = 1;

    private static final long EXPIRY = new Terms(LEASE, DRIFT, EFFECT, 9, 9).expiry(), LONG_AGO = -99;

    /**
     * What is on its way. To the log: 'a' an ask (asked), 'P' a pass (fence, to). From it: 'r' what it says (asked, holder, fence,
     * passed on from), 'Q' whether it has passed on (from, under or 0). 'G' a gift. To the servers: 'L' (number),
     * 'O' (number or 0 for past the holder, order). From them 'l' (number, body), 'o' (number, body, outcome).
     *
     * @param due the sender's own time up to which it may come
     * @param session to which the log says it: a grant to an earlier one counts for nothing, as in Holding
     */
    private record Message(
            char kind, int p, int start, long a, long b, long c, long d, Gift<Integer> gift, long due, long session) {
        Message(char kind, int p, int start, long a, long b, long c, long d) {
            this(kind, p, start, a, b, c, d, null, Long.MAX_VALUE);
        }

        Message(char kind, int p, int start, long a, long b, long c, long d, Gift<Integer> gift, long due) {
            this(kind, p, start, a, b, c, d, gift, due, 0);
        }
    }

    private final Setting set;
    private final int[] rates;
    private final int logRate;
    private long logTime, fence, passedFrom, step;
    /** Who holds the object by the log, which start of it, and its sessions' ends; of an earlier start that held. */
    private int holder = NOBODY, holderStart;

    private final long[] ends;
    private long formerEnd;
    private final int[] starts;
    private final long[] own, until, granted, known, past, sessions, session;
    private final Word[] words;
    private final Slip[] copies;
    private List<Message> way = List.of();
    /** The servers: how many orders have run; which ran as the how manieth, 0 for not. */
    private int version;

    private final int[] ran;
    private final long[] sent;
    /** Of each order whether its client heard that it has not run, or whether a holder has taken it. */
    private int refused, taken, ranItself, acknowledged;

    private int floor, atStepStart, atStepBefore;
    private final int[] floors;
    private int orders, moves, handOvers, lookUps, trouble;
    private String broken;

    private Hot(Hot from) {
        set = from.set;
        rates = from.rates;
        logRate = from.logRate;
        logTime = from.logTime;
        fence = from.fence;
        passedFrom = from.passedFrom;
        step = from.step;
        holder = from.holder;
        holderStart = from.holderStart;
        ends = from.ends.clone();
        formerEnd = from.formerEnd;
        starts = from.starts.clone();
        own = from.own.clone();
        until = from.until.clone();
        granted = from.granted.clone();
        known = from.known.clone();
        past = from.past.clone();
        sessions = from.sessions.clone();
        session = from.session.clone();
        words = from.words.clone();
        copies = from.copies.clone();
        way = from.way;
        version = from.version;
        ran = from.ran.clone();
        sent = from.sent.clone();
        refused = from.refused;
        taken = from.taken;
        ranItself = from.ranItself;
        acknowledged = from.acknowledged;
        floor = from.floor;
        atStepStart = from.atStepStart;
        atStepBefore = from.atStepBefore;
        floors = from.floors.clone();
        orders = from.orders;
        moves = from.moves;
        handOvers = from.handOvers;
        lookUps = from.lookUps;
        trouble = from.trouble;
        broken = from.broken;
    }

    /** All have asked the log at time 0. */
    Hot(Setting set, int[] rates, int logRate) {
        int many = set.many;
        this.set = set;
        this.rates = rates;
        this.logRate = logRate;
        ends = new long[many];
        starts = new int[many];
        own = new long[many];
        until = new long[many];
        granted = new long[many];
        known = new long[many];
        past = new long[many];
        sessions = new long[many];
        session = new long[many];
        words = new Word[many];
        copies = new Slip[many];
        ran = new int[set.orders];
        sent = new long[set.orders];
        floors = new int[set.lookUps];
        orders = set.orders;
        moves = set.moves;
        handOvers = set.handOvers;
        lookUps = set.lookUps;
        trouble = set.trouble;
        fence = 1;
        holder = set.isHeld ? 0 : NOBODY;
        for (int p = 0; p < many; p++) {
            ends[p] = EXPIRY;
            copies[p] = new Slip(set);
            until[p] = LEASE;
            words[p] = new Word(0, set.isHeld ? name(0) : "", 1);
            past[p] = LONG_AGO;
        }
        if (set.isHeld) {
            granted[0] = 1;
            known[0] = 1;
            copies[0].gained(1, LONG_AGO, 1);
            copies[0].lookUp(0, -1, 1);
            copies[0].looked(1, true, 0, -1, 1);
        }
        settled();
    }

    /** Some settings of clocks, slow or fast, the hardest first; the last bit is the log's. */
    static List<Hot> first(Setting set, int... clocks) {
        List<Hot> first = new ArrayList<>();
        for (int mask : clocks) {
            int[] rates = new int[set.many];
            for (int p = 0; p < set.many; p++) {
                rates[p] = 1 + (mask >> p & 1);
            }
            first.add(new Hot(set, rates, 1 + (mask >> set.many & 1)));
        }
        return first;
    }

    private static String name(int p) {
        return String.valueOf((char) ('A' + p));
    }

    private boolean has(Fault fault) {
        return set.has(fault);
    }

    private boolean may(Trouble which) {
        return trouble > 0 && set.troubles.contains(which);
    }

    private long held(int p) {
        return granted[p] != 0 && (own[p] < until[p] || has(Fault.LEASE_NOT_LOOKED_AT)) ? granted[p] : 0;
    }

    private boolean answers(int p) {
        return copies[p].fence() != 0 && copies[p].fence() == held(p) && copies[p].answers(own[p]);
    }

    /** The copy of a process that is about to change. */
    private Slip copy(int p) {
        copies[p] = new Slip(copies[p]);
        return copies[p];
    }

    private void put(Message message) {
        way = new ArrayList<>(way);
        if ("arPQ".indexOf(message.kind) >= 0) {
            way.removeIf(other -> other.kind == message.kind && other.p == message.p);
        }
        way.add(message);
    }

    private Hot without(Message message) {
        Hot next = new Hot(this);
        next.way = new ArrayList<>(way);
        next.way.remove(message);
        return next;
    }

    private boolean isThere(int p) {
        return logTime < ends[p];
    }

    /** The log takes an entry by which a process asks: its session goes on, or a new one begins. */
    private Message answer(int p, long asked) {
        sessions[p] += isThere(p) ? 0 : 1;
        ends[p] = logTime + EXPIRY;
        int who = holder == p && holderStart != starts[p] ? set.many : holder;
        return new Message('r', p, starts[p], asked, who, fence, passedFrom, null, Long.MAX_VALUE, sessions[p]);
    }

    private void hear(Message said) {
        int p = said.p;
        boolean mine = said.b == p && said.session >= session[p], isFree = said.b == NOBODY;
        if (said.session >= session[p]) {
            until[p] = Math.max(until[p], (has(Fault.LEASE_FROM_THE_ANSWER) ? own[p] : said.a) + LEASE);
            granted[p] = said.session > session[p] ? 0 : granted[p];
            session[p] = said.session;
        }
        Word word = words[p];
        boolean isNewer = word == null || said.c > word.fence() || said.c == word.fence() && (isFree || !word.isFree());
        if (isNewer) {
            long asked = has(Fault.WORD_FROM_THE_ANSWER) ? own[p] : said.a;
            boolean isSame = word != null && word.fence() == said.c && word.isFree() == isFree;
            words[p] =
                    new Word(isSame ? Math.max(word.asked(), asked) : asked, isFree ? "" : name((int) said.b), said.c);
        }
        long acts = copies[p].fence();
        if (acts != 0 && said.c > acts && (said.d == acts || has(Fault.ANY_LATER_HOLDER)) && !mine) {
            handle(p, copy(p).passed(acts, said.c, own[p]));
        }
        if (mine && said.c >= known[p]) {
            known[p] = said.c;
            granted[p] = said.c;
        } else if (!mine && isNewer) {
            granted[p] = 0;
        }
        long held = held(p);
        handle(p, held == 0 ? copy(p).time(own[p], 0) : copy(p).gained(held, own[p], held));
    }

    /** What a copy wants done. */
    private void handle(int p, List<Act<Integer>> acts) {
        for (Act<Integer> act : acts) {
            if (act instanceof Act.FromCopy<Integer> from) {
                told((int) from.id(), from.body());
            } else if (act instanceof Act.FromServers<Integer> from) {
                told((int) from.id(), from.body());
            } else if (act instanceof Act.Done<Integer> done) {
                int order = (int) done.id() % REPEATED;
                if (ran[order] == 0) {
                    broken = "an order is said to have run, and it has not";
                }
                floor = Math.max(floor, ran[order]);
                acknowledged |= 1 << order;
            } else if (act instanceof Act.Refused<Integer> no && no.id() < REPEATED) {
                refused |= 1 << no.id();
                if ((ranItself >> no.id() & 1) != 0) {
                    broken = "an order is said not to have run, and it has";
                }
            } else if (act instanceof Act.Look<Integer> look) {
                put(new Message('L', p, starts[p], look.number(), 0, 0, 0, null, own[p] + EFFECT));
            } else if (act instanceof Act.Send<Integer> send) {
                put(new Message('O', p, starts[p], send.number(), send.id(), 0, 0, null, own[p] + EFFECT));
            } else if (act instanceof Act.Pass<Integer> pass) {
                put(new Message('P', p, starts[p], pass.fence(), pass.to().charAt(0) - 'A', 0, 0));
            } else if (act instanceof Act.GiveBack<Integer> back) {
                if (holder == p && holderStart == starts[p] && fence == back.fence()) {
                    holder = NOBODY;
                }
                granted[p] = granted[p] == back.fence() ? 0 : granted[p];
            } else if (act instanceof Act.Give<Integer> give) {
                Gift<Integer> gift = give.gift();
                List<Gift.Key<Integer>> keys = has(Fault.NO_KEYS) ? List.of() : gift.keys();
                put(new Message(
                        'G',
                        give.to().charAt(0) - 'A',
                        0,
                        0,
                        0,
                        0,
                        0,
                        new Gift<>(gift.fence(), gift.body(), 0, keys),
                        Long.MAX_VALUE));
            }
        }
    }

    private void told(int id, int body) {
        if (set.strict && body < floors[id - LOOK_UPS]) {
            broken = "an answer is older than one before it";
        }
        floor = Math.max(floor, body);
    }

    /** Takes all at its worst, and lets go of what can change nothing any more. */
    private Hot settled() {
        List<Message> rest = new ArrayList<>();
        for (Message message : way) {
            boolean isAnswer = "rQlo".indexOf(message.kind) >= 0;
            if (message.due >= own[message.p]
                    && (!isAnswer || message.start == starts[message.p])
                    && ("Llo".indexOf(message.kind) < 0
                            || message.start == starts[message.p] && copies[message.p].isOut(message.a))) {
                rest.add(message);
            }
        }
        way = rest;
        for (int p = 0; p < set.many; p++) {
            Word word = words[p];
            boolean isPast =
                    word != null && word.isFree() && (word.isAlive(copies[p].rules, own[p]) || has(Fault.WORD_FOR_EVER))
                            || set.has(Fault.PAST_THE_HOLDER)
                                    && (word == null || !word.isAlive(copies[p].rules, own[p]));
            if (isPast) {
                past[p] = own[p] + EFFECT;
            }
            if (own[p] <= past[p]) {
                floor = version;
            }
        }
        for (int p = 0; p < set.many && broken == null; p++) {
            if (answers(p)) {
                int body = copies[p].body();
                for (int q = 0; q < p; q++) {
                    if (answers(q)) {
                        broken = "two answer from their copies";
                    }
                }
                if (set.strict ? body < floor : body < atStepBefore) {
                    broken = set.strict
                            ? "an answer is older than one before it"
                            : "an answer is older than the stated age";
                }
                floor = Math.max(floor, body);
            }
        }
        return this;
    }

    private void next(Explore.Step<Hot> to) {
        for (int p = 0; p < set.many; p++) {
            ask(p, to);
            give(p, to);
            order(p, to);
            if (handOvers > 0 && held(p) != 0) {
                for (int q = 0; q < set.many; q++) {
                    if (q != p) {
                        Hot next = new Hot(this);
                        next.handOvers--;
                        next.handle(p, next.copy(p).handOver(name(q), own[p], held(p)));
                        int other = q, by = p;
                        to.to(next.settled(), () -> name(by) + " is to hand over to " + name(other));
                    }
                }
            }
            if (lookUps > 0 && held(p) != 0 && !answers(p)) {
                Hot next = new Hot(this);
                int id = set.lookUps - next.lookUps--;
                next.floors[id] = floor;
                next.handle(p, next.copy(p).lookUp(LOOK_UPS + id, own[p], held(p)));
                int by = p;
                to.to(next.settled(), () -> "a look-up comes to " + name(by));
            }
            if ((set.asleep >> p & 1) != 0) {
                Hot next = new Hot(this);
                next.handle(p, next.copy(p).time(own[p], held(p)));
                int by = p;
                to.to(next.settled(), () -> name(by) + " looks at its clock");
            }
            if (may(Trouble.CRASH)) {
                crash(p, to);
            }
        }
        for (Message message : way) {
            come(message, without(message), to);
            if (may(Trouble.REPEAT) && "aPG".indexOf(message.kind) >= 0) {
                Hot next = new Hot(this);
                next.trouble--;
                come(message, next, to);
            }
            if (may(Trouble.STALL) && message.kind == 'O' && message.due != Long.MAX_VALUE) {
                Hot next = without(message);
                next.trouble--;
                next.way.add(new Message('O', message.p, message.start, message.a, message.b, message.c, 0));
                to.to(next.settled(), () -> "a pause before " + message);
            }
        }
        time(to);
    }

    private void ask(int p, Explore.Step<Hot> to) {
        Hot next = new Hot(this);
        if ((set.far >> p & 1) == 0) {
            next.hear(next.answer(p, own[p]));
        } else {
            next.put(new Message('a', p, starts[p], own[p], 0, 0, 0));
        }
        to.to(next.settled(), () -> name(p) + " asks the log");
    }

    private void give(int p, Explore.Step<Hot> to) {
        if (moves > 0 && holder == NOBODY && isThere(p)) {
            Hot next = new Hot(this);
            next.moves--;
            next.holder = p;
            next.holderStart = starts[p];
            next.fence++;
            next.passedFrom = 0;
            to.to(next.settled(), () -> "the log gives the object to " + name(p));
        }
    }

    private void order(int p, Explore.Step<Hot> to) {
        if (orders > 0) {
            Hot next = new Hot(this);
            int id = set.orders - next.orders--;
            next.sent[id] = step;
            Way where = has(Fault.WORD_FOR_EVER) && held(p) == 0 && words[p] != null && words[p].isFree()
                    ? new Way.ToServers()
                    : Way.ofClient(copies[p].rules, words[p], held(p), own[p]);
            if (where instanceof Way.ToServers) {
                next.put(new Message('O', p, starts[p], 0, id, 0, 0, null, own[p] + EFFECT));
            } else if (where instanceof Way.Here) {
                next.taken |= 1 << id;
                next.handle(p, next.copy(p).order(id, "k" + id, own[p], held(p)));
            }
            to.to(next.settled(), () -> "order " + id + " comes to " + name(p) + ": " + where);
        }
        for (int id = 0; may(Trouble.CLIENT_REPEATS) && id < set.orders - orders; id++) {
            if (held(p) != 0 && (taken & ~refused & 1 << id) != 0 && step - sent[id] <= REPEATS_WITHIN) {
                Hot next = new Hot(this);
                next.trouble--;
                next.handle(p, next.copy(p).order(REPEATED + id, "k" + id, own[p], held(p)));
                int again = id;
                to.to(next.settled(), () -> "order " + again + " comes again, to " + name(p));
            }
        }
    }

    private void come(Message message, Hot next, Explore.Step<Hot> to) {
        int p = message.p;
        switch (message.kind) {
            case 'a' -> {
                if (message.start == starts[p]) {
                    next.put(next.answer(p, message.a));
                }
            }
            case 'r' -> next.hear(message);
            case 'P' -> {
                boolean passes = holder == p
                        && holderStart == message.start
                        && fence == message.a
                        && isThere((int) message.b)
                        && message.b != p;
                if (passes) {
                    next.holder = (int) message.b;
                    next.holderStart = starts[next.holder];
                    next.passedFrom = fence;
                    next.fence++;
                }
                next.put(new Message('Q', p, message.start, message.a, passes ? next.fence : 0, 0, 0));
            }
            case 'Q' -> {
                if (copies[p].fence() == message.a) {
                    next.handle(
                            p,
                            message.b == 0
                                    ? next.copy(p).notPassed(own[p], held(p))
                                    : next.copy(p).passed(message.a, message.b, own[p]));
                }
            }
            case 'G' -> {
                Gift<Integer> gift = message.gift;
                long held = held(p);
                next.handle(
                        p,
                        next.copy(p)
                                .given(
                                        has(Fault.ANY_GIFT) && held > gift.fence()
                                                ? new Gift<>(held, gift.body(), 0, gift.keys())
                                                : gift,
                                        own[p],
                                        held));
            }
            case 'L' -> next.put(new Message('l', p, message.start, message.a, version, 0, 0));
            case 'l' -> next.handle(p, next.copy(p).looked(message.a, true, (int) message.b, own[p], held(p)));
            case 'O' -> next.run(message);
            default ->
                next.handle(
                        p,
                        next.copy(p)
                                .ordered(
                                        message.a,
                                        Copy.Outcome.DONE,
                                        set.says ? (int) message.b : null,
                                        own[p],
                                        held(p)));
        }
        to.to(next.settled(), () -> "comes " + message);
    }

    private void run(Message order) {
        int id = (int) order.b % REPEATED;
        version++;
        if (ran[id] > 0) {
            broken = "an order has its effect twice";
        } else if (order.b == id && (refused >> id & 1) != 0) {
            broken = "an order is said not to have run, and it has";
        }
        ran[id] = version;
        ranItself |= order.b == id ? 1 << id : 0;
        if (order.a != 0) {
            put(new Message('o', order.p, order.start, order.a, version, 0, 0));
        } else {
            // The client of an order past the holder hears of it at once.
            floor = Math.max(floor, version);
            acknowledged |= 1 << id;
        }
    }

    private void crash(int p, Explore.Step<Hot> to) {
        Hot next = new Hot(this);
        next.trouble--;
        if (holder == p && holderStart == starts[p]) {
            next.formerEnd = ends[p];
        }
        next.starts[p]++;
        next.ends[p] = LONG_AGO;
        next.until[p] = LONG_AGO;
        next.granted[p] = 0;
        next.known[p] = 0;
        next.words[p] = null;
        next.copies[p] = new Slip(set);
        next.way = way.stream()
                .filter(message -> message.p != p || "arQlo".indexOf(message.kind) < 0)
                .toList();
        to.to(next.settled(), () -> name(p) + " crashes and starts");
    }

    private void time(Explore.Step<Hot> to) {
        Hot next = new Hot(this);
        next.logTime += logRate;
        next.step++;
        next.atStepBefore = atStepStart;
        next.atStepStart = version;
        for (int p = 0; p < set.many; p++) {
            next.own[p] += rates[p];
            if (next.holder == p && next.logTime >= (holderStart == starts[p] ? ends[p] : formerEnd)) {
                next.holder = NOBODY;
            }
        }
        for (int p = 0; p < set.many; p++) {
            if ((set.asleep >> p & 1) == 0) {
                next.handle(p, next.copy(p).time(next.own[p], next.held(p)));
            }
        }
        to.to(next.settled(), () -> "a step of time");
    }

    private long print() {
        Explore.Print print = new Explore.Print();
        print.add(broken == null ? 0 : broken.hashCode())
                .add(holder)
                .add(holder == NOBODY || holderStart == starts[holder] ? 0 : 1 + formerEnd - logTime)
                .add(fence)
                .add(passedFrom)
                .add(version)
                .add(floor)
                .add(orders)
                .add(moves)
                .add(handOvers)
                .add(lookUps)
                .add(trouble)
                .add(refused)
                .add(taken)
                .add(ranItself)
                .add(logRate);
        if (!set.strict) {
            print.add(atStepStart).add(atStepBefore);
        }
        for (int i = 0; i < set.orders - orders; i++) {
            print.add(ran[i]).add(may(Trouble.CLIENT_REPEATS) ? Math.min(REPEATS_WITHIN + 1, step - sent[i]) : 0);
        }
        for (int i = 0; i < set.lookUps - lookUps; i++) {
            print.add(floors[i]);
        }
        for (int p = 0; p < set.many; p++) {
            Word word = words[p];
            print.add(rates[p])
                    .add(Math.max(0, ends[p] - logTime))
                    .add(Math.max(0, until[p] - own[p]))
                    .add(granted[p])
                    .add(known[p])
                    .add(sessions[p] - session[p])
                    .add(Math.max(-1, past[p] - own[p]))
                    .add(word == null ? -9 : Math.max(0, word.asked() + LEASE - own[p]))
                    .add(word == null ? -9 : word.fence())
                    .add(word == null ? -9 : word.isFree() ? 1 : 0)
                    .add(copies[p].memory(own[p]).hashCode())
                    .add(copies[p].memory(own[p]).toString().hashCode());
        }
        long sum = 0;
        for (Message m : way) {
            boolean isAsk = m.kind == 'a' || m.kind == 'r', byNumber = "LlOo".indexOf(m.kind) >= 0;
            Explore.Print one = new Explore.Print()
                    .add(m.kind)
                    .add(m.p)
                    .add(m.start == starts[m.p] ? 1 : 0)
                    .add(
                            isAsk
                                    ? Math.min(LEASE, own[m.p] - m.a)
                                    : byNumber ? m.a == 0 ? 0 : copies[m.p].isOut(m.a) ? 1 : 2 : m.a)
                    .add(m.b)
                    .add(m.c)
                    .add(m.d)
                    .add(m.kind == 'r' ? sessions[m.p] - m.session : 0)
                    .add(m.due == Long.MAX_VALUE ? -1 : m.due - own[m.p])
                    .add(m.gift == null ? 0 : m.gift.hashCode());
            sum += one.sum();
        }
        return print.add(sum).sum();
    }

    /** One of the worlds that may be next, by chance; time goes on a little more often. */
    static Hot some(Hot world, SplittableRandom chance, List<String> path) {
        List<Hot> next = new ArrayList<>();
        List<String> whats = new ArrayList<>();
        world.next((to, what) -> {
            next.add(to);
            whats.add(what.get());
        });
        int at = chance.nextInt(next.size() + 2);
        at = Math.min(at, next.size() - 1);
        path.add(whats.get(at));
        return next.get(at);
    }

    /** What clients saw on the way through worlds: an answer from each copy that may answer, in each, and all orders. */
    static List<Operation> history(List<Hot> worlds) {
        List<Operation> history = new ArrayList<>();
        Hot last = worlds.get(worlds.size() - 1);
        long[] from = new long[last.set.orders];
        int begun = 0, ended = 0;
        for (int i = 0; i < worlds.size(); i++) {
            Hot world = worlds.get(i);
            for (; begun < last.set.orders - world.orders; begun++) {
                from[begun] = 10L * i - 2;
            }
            for (int id = 0; id < begun; id++) {
                if ((world.acknowledged & ~ended & 1 << id) != 0) {
                    history.add(new Operation(Kind.SET, last.ran[id], from[id], 10L * i - 1));
                }
            }
            ended |= world.acknowledged;
            for (int p = 0; p < last.set.many; p++) {
                if (world.answers(p)) {
                    history.add(new Operation(Kind.LOOKED, world.copies[p].body(), 10L * i, 10L * i + 1));
                }
            }
        }
        for (int id = 0; id < begun; id++) {
            if ((ended >> id & 1) == 0 && last.ran[id] != 0) {
                history.add(new Operation(Kind.MAY_HAVE_SET, last.ran[id], from[id], Histories.NEVER));
            }
        }
        return history;
    }

    /** Nothing is lost or late any more: whether some process answers from its copy in the end, and with what is true. */
    boolean comesToRest(int rounds) {
        Hot[] now = {this};
        Explore.Step<Hot> go = (next, what) -> now[0] = next;
        for (int i = 0; i < rounds; i++) {
            for (int p = 0; p < set.many; p++) {
                Hot asked = new Hot(now[0]);
                asked.hear(asked.answer(p, asked.own[p]));
                asked.handle(p, asked.copy(p).time(asked.own[p], asked.held(p)));
                now[0] = asked.settled().arrived();
            }
            if (now[0].holder == NOBODY) {
                now[0].moves = 1;
                now[0].give(0, go);
            }
            for (int p = 0; p < set.many; p++) {
                if (now[0].held(p) != 0 && !now[0].answers(p)) {
                    Hot asked = new Hot(now[0]);
                    asked.floors[0] = asked.floor;
                    asked.handle(p, asked.copy(p).lookUp(LOOK_UPS, asked.own[p], asked.held(p)));
                    now[0] = asked.settled().arrived();
                }
                if (i > EXPIRY && now[0].answers(p) && now[0].copies[p].body() == now[0].version) {
                    return now[0].broken == null;
                }
            }
            now[0].time(go);
        }
        return false;
    }

    /** All that is on its way has come. */
    private Hot arrived() {
        Hot[] now = {this};
        while (!now[0].way.isEmpty()) {
            Message first = now[0].way.get(0);
            now[0].come(first, now[0].without(first), (next, what) -> now[0] = next);
        }
        return now[0];
    }

    static final Explore.Rules<Hot> RULES = new Explore.Rules<>() {
        @Override
        public void next(Hot world, Explore.Step<Hot> step) {
            world.next(step);
        }

        @Override
        public String broken(Hot world) {
            return world.broken;
        }

        @Override
        public long print(Hot world) {
            return world.print();
        }
    };

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("log " + logTime + " (rate " + logRate + ") holder " + holder + " fence "
                + fence + ", version " + version + ", told " + floor);
        for (int p = 0; p < set.many; p++) {
            text.append("; ")
                    .append(name(p))
                    .append(" at ")
                    .append(own[p])
                    .append(" (rate ")
                    .append(rates[p])
                    .append(") until ")
                    .append(until[p])
                    .append(' ')
                    .append(words[p])
                    .append(' ')
                    .append(copies[p].memory(own[p]));
        }
        return text + "; " + way;
    }
}
