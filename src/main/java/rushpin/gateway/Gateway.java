package rushpin.gateway;

import java.util.*;
import java.util.stream.*;
import org.ejml.simple.SimpleMatrix;
import rushpin.gateway.Ports.*;

/**
 * All decisions of one gateway: quotas, fair queue, controllers, choice of server, attempts, final answers.
 * Its types, events and actions stand in {@code Ports.java}. The mechanism is that of the Proteus paper,
 * "Non-intrusive Performance Management for Computer Services"; each departure says at its place what it
 * guards against.
 */
public final class Gateway implements Ports.Events {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    private static final double NANO = 1e-9;
    /** Housekeeping: fine against the aims, coarse against the CPU bill. */
    private static final long TICK = 10 * MS;
    /** How often fresh use is pushed, and for how long no call is answered by a counter that is silent. */
    private static final long PUSH = SECOND / 4, SILENT_AFTER = SECOND / 2;
    /** Without a call others' use of so long is left to them: what they took since is not heard yet. */
    private static final long UNHEARD = 2 * SECOND;
    /** Calls to the counter a second at first, by all gateways and by one at least: few leave all to luck. */
    private static final double CALLS_START = 400, CALLS_LEAST = 2;
    /** Their growth in a second, larger by the second since the last slow call; and the step down. */
    private static final double CALLS_UP = 0.02, CALLS_MOST_UP = 0.25, CALLS_DOWN = 0.7, CALLS_BACK = 0.5;
    /** So many calls in a row without an answer, and for so long, are a silent counter and no accident. */
    private static final int UNANSWERED = 3;
    /** So few gateways are a small fleet, so many a large one; what is for large ones grows in between. */
    private static final double SMALL = 3, LARGE = 7;
    /** The part of a ceiling that is drawn through the counter in a large fleet; none in a small one. */
    private static final double POOL = 0.5;
    /** How long the counter keeps a name at most, in seconds from its first call. */
    private static final double NAME_S = 60;
    /** The operator's limit on concurrency: requests in flight for each listed server, over all gateways. */
    private static final double OPEN_PER_SERVER = 6;
    /** Inverse latency is told in aims over latency, this many being 1, to be of one size with the shares. */
    private static final double INVERSE_UNIT = 10;
    /** Actuation penalties (the level's loop is the slower), and the least part of each: no class starves. */
    private static final double Q_SHARE = 0.3, Q_LEVEL = 0.7, MIN_SHARE = 0.02, MIN_LEVEL = 0.25;
    /** Weight of an answer in a server's averages; memory, in seconds, of these and of the others' use. */
    private static final double ALPHA = 0.12, ALPHA_ERR = 0.2, FORGIVE_S = 4, OTHERS_S = 3;
    /** How long what may come back is remembered: a customer after its last use, a server after its end. */
    private static final long REMEMBER = 30 * SECOND;
    /** Who is avoided is held out for so long after what was sent to its zone last failed. */
    private static final long HELD = 5 * SECOND;
    /** How many servers each of as many gateways as servers looks at for a request; two are the least. */
    private static final int LOOK = 3;
    /** Further attempts per first one, how many may be saved up; the usual spans that a first one needs. */
    private static final double RETRY_RATIO = 0.2, RETRY_MOST = 20, MARGIN = 1.5, MOST_OF_AIM = 0.8;

    /** A connection that broke tells nothing of load: as slow it would close the loop on all other work. */
    private static final Set<Outcome> NO_SIGN_OF_LOAD = EnumSet.of(Outcome.RESET, Outcome.CANCELLED, Outcome.NOT_SENT);
    /** A process may be held up for so long between a decision and the write that follows from it. */
    private static final long HELD_UP = 160 * MS;
    /** For how long an empty list may be a slip, and what is queued waits for the next one. */
    private static final long EMPTY_SPAN = SECOND / 4;
    /** The values of a load report that tell how busy a server is; their life in seconds; how many stay. */
    private static final Set<String> LOADS = Set.of("waiting", "active", "cpu");

    private static final int REPORT_S = 1, RECENT = 6;
    private Settings cfg;
    private final Actions out;
    private final SplittableRandom random;
    private final long born;
    private long now, nextControl, answeredAt, tokensAt, slowedAt, sentWorkAt, restUntil, emptyAt, shift;
    /** Since when the whole own zone is held out; 0 while it is not. */
    private long outSince;
    /** When housekeeping is due next, by how much it was late the last time, and when that was. */
    private long tickDue, lateBy, lateAt;

    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<Long, Customer> customers = new LinkedHashMap<>();
    private final Map<String, Backend> servers = new LinkedHashMap<>();
    private List<Backend> listed = List.of();
    private Backend[] drawing = {};
    /** Those listed, by zone; made as plans ask for them. */
    private final Map<Integer, Backend[]> zoned = new HashMap<>();
    /** When what was sent to a zone last failed, if nothing was answered since. */
    private final Map<Integer, Long> zoneFailed = new HashMap<>();

    private final Map<Integer, Double> kindLatency = new HashMap<>(), zoneErrors = new HashMap<>();
    private final Backend[] lastHeard = new Backend[RECENT];
    /** One for each class, and behind them those of classes that are no more but for their last requests. */
    private Lane[] lanes;

    private Control control;
    private int inFlight, heardCount, processes = 1;
    private double retryTokens = RETRY_MOST, virtualTime, sentWork, warmWork, usualStake, usualLoad;
    private boolean silent, denied;
    private final double callStart;
    private double callRate, callTokens;
    private int unanswered;
    /** For each plan the units taken and those of them told to the counter, as of late. */
    private final double[] taken, told;
    /** Customers with something to push. */
    private final Set<Customer> active = new LinkedHashSet<>();

    private final Map<Long, ArrayDeque<Call>> calls = new LinkedHashMap<>();

    /** A gateway that starts now; {@code seed} is its only source of chance. */
    public Gateway(Settings settings, long seed, long now, Actions actions) {
        cfg = settings;
        out = actions;
        random = new SplittableRandom(seed);
        born = now;
        this.now = now;
        lanes = new Lane[cfg.classes().size()];
        for (int i = 0; i < lanes.length; i++) {
            lanes[i] = new Lane(cfg.classes().get(i));
        }
        taken = new double[cfg.plans().size()];
        told = new double[taken.length];
        control = new Control(null);
        answeredAt = now;
        tokensAt = now;
        callStart = Math.max(CALLS_LEAST, CALLS_START / cfg.siblings());
        callRate = callStart;
        callTokens = random.nextDouble(callRate);
        nextControl = now + SECOND;
        tickDue = now + TICK;
        out.timer(0, TICK);
        if (cfg.limits().subscribeToList()) {
            out.watchList();
        }
    }

    @Override
    public void list(long at, ListKind kind, List<Server> entries) {
        now = at;
        if (kind == ListKind.FAILED) {
            out.watchList();
        } else if (kind != ListKind.DELTA) {
            Set<String> named = entries.stream().map(Server::id).collect(Collectors.toSet());
            servers.values().stream().filter(b -> !named.contains(b.id)).forEach(Backend::leave);
        }
        for (Server entry : entries) {
            Backend known = servers.get(entry.id());
            if (entry.readiness() == Readiness.GONE) {
                if (known != null) {
                    known.leave();
                }
                continue;
            }
            boolean anew = known == null || known.entry.startedAt() != entry.startedAt();
            if (known != null) {
                known.ready = false;
            }
            Backend backend = anew ? new Backend(entry) : known;
            servers.put(entry.id(), backend);
            backend.entry = entry;
            backend.ready = entry.readiness() == Readiness.READY;
            backend.goneAt = 0;
        }
        // Ids are ever new: what is gone is forgotten, but for the attempts that it still has.
        servers.values().removeIf(Backend::blank);
        listed = servers.values().stream().filter(b -> b.ready).toList();
        // An empty list as saved before this start says nothing yet.
        boolean told = kind == ListKind.FULL || kind == ListKind.DELTA || !entries.isEmpty() || emptyAt > 0;
        emptyAt = !told || !listed.isEmpty() ? 0 : emptyAt > 0 ? emptyAt : now;
        drawing = listed.toArray(Backend[]::new);
        zoned.clear();
        control.boundLevel();
        dispatch();
    }

    @Override
    public void request(long at, Request request) {
        now = at;
        boolean known = request.requestClass() >= 0
                && request.requestClass() < cfg.classes().size()
                && request.plan() >= 0
                && request.plan() < cfg.plans().size();
        if (!known) {
            out.refuse(request.id(), 0);
        }
        if (!known || jobs.containsKey(request.id())) {
            return;
        }
        Customer customer = customers.computeIfAbsent(
                request.customer(), key -> new Customer(key, request.plan(), request.setSize()));
        Lane lane = lanes[request.requestClass()];
        lane.arrivals++;
        Job job = new Job(request, customer, lane);
        jobs.put(request.id(), job);
        customer.jobs++;
        if (job.hopeless()) {
            // Some come with hardly any time left: the next look at the queue would be too late.
            giveUp(job);
        } else {
            customer.admit(job);
        }
        dispatch();
    }

    private void enqueue(Job job) {
        job.lane.queue.add(job);
        relieve(job.lane);
        probe(job);
    }

    @Override
    public void attemptEnded(long at, Result result) {
        now = at;
        Job job = jobs.get(result.id());
        if (job == null || job.backend == null) {
            return;
        }
        Backend backend = job.backend;
        job.backend = null;
        inFlight--;
        // A level under one is kept over time: hundreds with one out each may be too many for a small fleet.
        restUntil = now + (long) (result.took() * Math.max(0, 1 / control.level - 1));
        backend.ended(job, result);
        job.lane.observe(job, result);
        boolean told = cfg.counter().reportsTrueUnits() && result.trueUnits() > 0;
        if (told && result.outcome() == Outcome.OK && job.inQuota) {
            job.customer.take(result.trueUnits() - job.request.units());
        }
        if (!result.outcome().provesNeverRan() && job.mayHaveRunSince == 0) {
            job.mayHaveRunSince = job.sentAt;
            job.anchor = backend;
        }
        if (result.complete() || job.over) {
            forget(job);
        } else {
            again(job, backend, result.outcome().provesNeverRan());
        }
        dispatch();
    }

    @Override
    public void streamStarted(long at, String id) {
        now = at;
    }

    @Override
    public void bodyGone(long at, String id) {
        now = at;
        Job job = jobs.get(id);
        if (job != null) {
            job.most = job.attempts;
        }
    }

    @Override
    public void clientGone(long at, String id) {
        now = at;
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.over = true;
        if (job.backend == null && job.asking == null) {
            job.lane.queue.remove(job);
            forget(job);
        }
    }

    @Override
    public void counted(long at, long name, Outcome outcome, double total) {
        now = at;
        ArrayDeque<Call> pending = calls.get(name);
        Call call = pending == null ? null : pending.poll();
        if (call == null) {
            return;
        }
        if (pending.isEmpty()) {
            calls.remove(name);
        }
        boolean answered = outcome == Outcome.OK;
        // What this process itself was late by, busy or not let run, is not the counter's.
        long late = Math.max(lateAt >= call.at ? lateBy : 0, Math.max(0, now - tickDue));
        boolean slow = now - call.at - late > cfg.counter().timeout() / 3 || outcome == Outcome.FULL;
        // A full line outlasts the time-out, and no call is answered: back off at the first long wait, but
        // not to nothing while answers come. A line that broke tells nothing of the counter's load.
        if (slow && now - slowedAt > PUSH) {
            callRate = Math.max(answered ? callStart / 4 : 1, callRate * CALLS_DOWN);
            slowedAt = now;
        } else if (answered && !slow && denied) {
            denied = false;
            // A second has callRate calls: a part of the rate with each would outrun what 100 gateways see.
            callRate += Math.min(CALLS_MOST_UP, CALLS_UP * (now - slowedAt) * NANO);
            callRate = Math.max(callRate, Math.min(callStart, callRate + CALLS_BACK));
        }
        answeredAt = answered ? now : answeredAt;
        unanswered = answered ? 0 : unanswered + 1;
        if (silent != (unanswered >= UNANSWERED && now - answeredAt > SILENT_AFTER)) {
            silent = !silent;
            out.log(silent ? "counter silent: quotas divided over gateways" : "counter answers again");
        }
        call.customer.counted(call, outcome, total);
        dispatch();
    }

    /** Takes a call from the budget: the emptier that is, the more must be at stake, in usual stakes. */
    private boolean mayCall(double stake) {
        double rate = silent ? 1 : callRate;
        double most = Math.max(2 * CALLS_LEAST, rate);
        callTokens = Math.min(most, callTokens + rate * (now - tokensAt) * NANO);
        tokensAt = now;
        boolean may = callTokens >= 1 && stake >= 2 * (1 - callTokens / most);
        callTokens -= may ? 1 : 0;
        denied |= !may;
        return may;
    }

    @Override
    public void probed(long at, String id, Outcome how, long took, List<Double> report) {
        now = at;
        Backend backend = servers.get(id);
        if (backend == null) {
            return;
        }
        // A server that keeps its load to itself, or does not answer, is not idle.
        double load = report.isEmpty() ? 1 + 2 * usualLoad : 0;
        for (int i = 0; i < Math.min(report.size(), cfg.reports().size()); i++) {
            load += LOADS.contains(cfg.reports().get(i)) ? report.get(i) : 0;
        }
        usualLoad += 0.05 * (load - usualLoad);
        backend.load = load;
        backend.reported = now;
        lastHeard[heardCount++ % RECENT] = backend;
    }

    /** Where own answers come less than once a second from each server, each request probes one by chance. */
    private void probe(Job job) {
        boolean rare = sentWork < job.cost() * listed.size();
        if (rare && cfg.limits().probes() && !cfg.reports().isEmpty()) {
            out.probe(listed.get(random.nextInt(listed.size())).id);
        }
    }

    @Override
    public void timer(long at, long token) {
        now = at;
        lateBy = now - tickDue;
        lateAt = now;
        tickDue = now + TICK;
        out.timer(0, TICK);
        for (Lane lane : lanes) {
            expire(lane.queue);
        }
        // A host that never ends a call must not cost a request its answer.
        long due = now - 2 * cfg.counter().timeout();
        // What waited for a pool may ask for its quota next: that adds a call.
        for (ArrayDeque<Call> line : List.copyOf(calls.values())) {
            for (Call call : line) {
                if (call.at < due) {
                    call.customer.conclude(call, false);
                }
            }
        }
        List.copyOf(active).forEach(Customer::push);
        if (now >= nextControl) {
            nextControl += SECOND;
            control.interval();
            customers.values().removeIf(Customer::blank);
        }
        dispatch();
    }

    @Override
    public void restore(long at, long key, int plan, int setSize, double units) {
        now = at;
        if (plan < 0 || plan >= cfg.plans().size() || cfg.plans().get(plan).rate() <= 0) {
            return;
        }
        Customer customer = customers.computeIfAbsent(key, k -> new Customer(k, plan, setSize));
        customer.store -= units;
        customer.unpushed += units;
        customer.usedAt = now;
        if (customer.shared) {
            active.add(customer);
        }
    }

    @Override
    public void releaseCeiling(long at, double part) {
        now = at;
        for (Customer c : customers.values()) {
            c.refill();
            double units = Math.max(0, c.ceiling) * Math.max(0, Math.min(1, part));
            if (c.plan.ceilingRate() <= 0 || units <= 0) {
                continue;
            }
            c.ceiling -= units;
            out.gave(c.key, c.place, c.gateways, units);
        }
    }

    @Override
    public void acquireCeiling(long at, long key, int plan, int setSize, double units) {
        now = at;
        if (plan < 0 || plan >= cfg.plans().size() || !(units > 0)) {
            return;
        }
        Customer customer = customers.computeIfAbsent(key, k -> new Customer(k, plan, setSize));
        if (customer.place != plan) {
            return;
        }
        customer.ceiling += units;
        // No more than it may hold, whoever says so.
        customer.refill();
    }

    @Override
    public void processes(long at, int count) {
        now = at;
        // What came in until now was each process's own.
        customers.values().forEach(Customer::refill);
        processes = Math.max(1, count);
    }

    @Override
    public void settings(long at, Settings next, int[] was) {
        now = at;
        List<Lane> made = new ArrayList<>();
        for (int i = 0; i < was.length; i++) {
            RequestClass spec = next.classes().get(i);
            Lane lane = was[i] < 0 ? new Lane(spec) : lanes[was[i]];
            lane.spec = spec;
            made.add(lane);
        }
        for (Lane lane : lanes) {
            boolean wanted = jobs.values().stream().anyMatch(job -> job.lane == lane);
            if (wanted && !made.contains(lane)) {
                made.add(lane);
            }
        }
        boolean anew = !made.equals(Arrays.asList(lanes));
        cfg = next;
        lanes = made.toArray(Lane[]::new);
        control = anew ? new Control(control) : control;
        dispatch();
    }

    @Override
    public void zones(long at, int[][] parts) {
        zones(at, parts, null);
    }

    @Override
    public void zones(long at, int[][] parts, int[][] spare) {
        now = at;
        // A class that is no more keeps to its last way while there is a plan.
        for (int i = 0; i < lanes.length; i++) {
            lanes[i].parts = parts == null ? null : i < parts.length ? parts[i] : lanes[i].parts;
            lanes[i].spare = spare == null || i >= spare.length ? null : spare[i];
        }
        dispatch();
    }

    /** How many listed servers are avoided for their failures. */
    public int ejected() {
        return (int) listed.stream().filter(b -> b.shunned).count();
    }

    /** Whether a server is avoided, and nothing sent to its zone in the last seconds was answered. */
    public boolean isServerHeldOut(String id) {
        return servers.containsKey(id) && servers.get(id).heldOut();
    }

    /** Whether a zone, by what was heard of its servers, fails more often than not. */
    public boolean isZoneFailing(int zone) {
        return zoneErrors.getOrDefault(zone, 0.0) > 0.5;
    }

    @Override
    public void clock(long at, long ahead) {
        now = at;
        shift = ahead;
    }

    /** 0 for a small fleet, 1 for a large one. */
    private double large() {
        return Math.max(0, Math.min(1, (cfg.siblings() - SMALL) / (LARGE - SMALL)));
    }

    /** How many customers and servers are remembered. */
    int remembered() {
        return customers.size() + servers.size();
    }

    /** A call that adds use to the quota's count, or one that asks for a part of the ceiling's pool. */
    private record Call(Customer customer, long window, double amount, Job job, long at, boolean pool) {}

    /** Spreads numbers that lie close together over all long values. */
    private static long mix(long z) {
        return new SplittableRandom(z).nextLong();
    }

    /** What this gateway knows of a customer's use. */
    private final class Customer {
        private final long key, span, phase;
        private final Plan plan;
        private final int gateways, place;
        private final boolean shared;
        /** The count of the present window: its number, this gateway's part and the others'. */
        private long window = Long.MIN_VALUE, refilled, heard, pushAt, usedAt;

        private double mine, others;
        /** The quota's store as estimated here; the others' use: its rate, and what was foreseen of it. */
        private double store, othersRate, foreseen, unpushed, ceiling;

        private boolean deaf;
        private int open, jobs, asked;
        /** The part of the ceiling dealt out here; the pool's windows, what each grants, its use as heard. */
        private final double dealtRate, dealtBurst, poolMost;

        private final long poolSpan;
        private long poolWindow;
        private double poolUsed;

        Customer(long key, int plan, int setSize) {
            this.key = key;
            place = plan;
            this.plan = cfg.plans().get(place);
            gateways = Math.max(1, Math.min(setSize, cfg.siblings()));
            shared = gateways > 1 && cfg.counter().present();
            store = this.plan.burst();
            // In one burst's span a steady customer is given just one burst: the running total alone tells a
            // gateway that never heard of it. Spans of different customers begin at different moments.
            double full = this.plan.rate() > 0 ? store / this.plan.rate() : 1;
            span = (long) (Math.min(30, Math.max(1, full)) * SECOND);
            phase = Math.floorMod(mix(key), span);
            // A ceiling dealt out whole starts at nothing at each gateway that starts, and what one does not
            // need is no use to the others. So a part is a pool, drawn before the send. In n windows, which
            // lie (n - 2) spans apart, and over one loss of the counter, (n + 1) poolMost are granted: with
            // 3 poolMost + dealt burst = burst that stays under the ceiling.
            double ceilingBurst = this.plan.ceilingBurst(), ceilingRate = this.plan.ceilingRate();
            boolean pooled = cfg.counter().present() && ceilingRate > 0 && ceilingBurst > 0 && large() > 0;
            double dealt = pooled ? 1 - POOL * large() : 1;
            dealtRate = ceilingRate * dealt / gateways;
            dealtBurst = ceilingBurst * dealt / gateways;
            // No window outlasts its name: a count that is forgotten within it would be granted anew.
            poolSpan = pooled ? (long) (Math.min(NAME_S, ceilingBurst / ceilingRate / 3) * SECOND) : 0;
            poolMost = ceilingRate * (1 - dealt) * poolSpan * NANO;
            // A restarted gateway cannot know what it spent under the ceiling: that starts with nothing.
            refilled = born;
            heard = now - 2 * span;
            // Pushes are spread in time: all at once they would find the counter's line full.
            pushAt = now + random.nextLong(PUSH);
        }

        void refill() {
            double s = (now - refilled) * NANO;
            refilled = now;
            // Totals feed an estimate: between them the others go on as they did; unheard of, it is divided.
            double others =
                    s * Math.min(plan.rate() * (deaf ? 1 - 1.0 / gateways : 1), deaf ? plan.rate() : othersRate);
            foreseen += others;
            store = Math.min(plan.burst(), store + s * plan.rate() - others);
            ceiling = Math.min(dealtBurst / processes, ceiling + s * dealtRate / processes);
        }

        /** Whether this says no more than nothing does: customers are ever new, and many come only once. */
        boolean blank() {
            long idle = now - Math.max(usedAt, heard);
            if (jobs + asked > 0 || idle < 2 * span + REMEMBER || active.contains(this)) {
                return false;
            }
            refill();
            boolean full = idle * NANO * plan.rate() >= plan.burst() && ceiling >= dealtBurst / processes;
            if (full) {
                drop();
            }
            return full;
        }

        /** Decides at once on fresh news; else the units go to the counter first and the total decides. */
        void admit(Job job) {
            refill();
            double units = job.request.units();
            // The ceiling holds whatever the others do: each keeps to its part, or is granted more first.
            if (plan.ceilingRate() > 0 && ceiling < units) {
                if (!askPool(job, units - ceiling)) {
                    refuse(job, (units - ceiling) / dealtRate);
                }
                return;
            }
            admitUnder(job, units);
        }

        /** Whether the counter is asked for so many more units under the ceiling. */
        private boolean askPool(Job job, double lack) {
            // What the quota would refuse all the same is not worth a call.
            boolean spent = plan.rate() > 0 && store < 0 && !deaf && plan.beyondEarns() <= plan.beyondCosts();
            boolean late = now + 2 * cfg.counter().timeout() >= job.aimAt();
            if (poolSpan < SECOND / 10 || spent || late) {
                return false;
            }
            long index = Math.floorDiv(now + shift + phase, poolSpan);
            if (poolWindow != index) {
                poolUsed = 0;
            }
            poolWindow = index;
            if (poolUsed + lack > poolMost || !mayCall(2)) {
                return false;
            }
            double amount = Math.ceil(Math.max(lack, poolMost / gateways) * 1e6) * 1e-6;
            long name = mix(mix(~key) + index) >>> 1;
            Call call = new Call(this, index, amount, job, now, true);
            job.asking = call;
            calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
            asked++;
            out.count(key, name, amount, 2 * poolSpan);
            return true;
        }

        /** The room that was left under the pool's window is this gateway's, up to what it asked for. */
        private void granted(Call call, double total) {
            long index = Math.floorDiv(now + shift + phase, poolSpan);
            if (call.window != poolWindow || call.window != index) {
                return;
            }
            // No total is believed that lacks what was seen before: an empty counter knows less than this.
            poolUsed = Math.max(total, poolUsed + call.amount);
            ceiling += Math.max(0, Math.min(call.amount, poolMost - (poolUsed - call.amount)));
        }

        private void admitUnder(Job job, double units) {
            ceiling -= units;
            take(units);
            job.taken = true;
            job.inQuota = true;
            boolean dear = plan.rate() > 0 && plan.beyondEarns() <= plan.beyondCosts();
            boolean old = dear && now - heard > span / 4 && shared && !silent;
            // Scarce calls go where most can be lost and own traffic tells least; repeats follow refusals.
            double stake = job.spec.worth()
                    * plan.price()
                    * plan.beyondCosts()
                    * units
                    * gateways
                    / cfg.siblings()
                    * (job.request.repeat() ? 0.3 : 1);
            usualStake += 0.02 * (stake - usualStake);
            stake /= Math.max(1e-9, usualStake);
            boolean first = cfg.counter().first() && shared && plan.rate() > 0 && !silent;
            if (first || old && now + 2 * cfg.counter().timeout() < job.aimAt() && mayCall(stake)) {
                call(job);
            } else {
                divide();
                boolean doubtful = deaf && job.request.repeat() && plan.burst() / gateways < units;
                decide(job, doubtful ? Double.MAX_VALUE : unheard());
            }
        }

        /** Without news the quota is divided; parts under one request would refuse all who come so rarely. */
        private void divide() {
            if (gateways <= 1 || now - heard <= span) {
                return;
            }
            if (!deaf && store > 0) {
                store = Math.max(store / gateways, Math.min(store, cfg.counter().largest()));
            }
            deaf = true;
        }

        /** What the others may have taken since they last told: a push waits for up to a second. */
        private double unheard() {
            return othersRate * UNHEARD * NANO;
        }

        private void decide(Job job, double keptBack) {
            double units = job.request.units();
            job.inQuota = plan.rate() <= 0 || store >= keptBack;
            if (!job.inQuota) {
                take(-units);
            }
            if (job.inQuota || plan.beyondEarns() > plan.beyondCosts()) {
                enqueue(job);
            } else {
                refuse(job, (units - store) / plan.rate());
            }
        }

        private void refuse(Job job, double retryAfter) {
            out.refuse(job.request.id(), advice(retryAfter));
            forget(job);
        }

        void take(double units) {
            if (plan.rate() > 0) {
                taken[place] = Math.max(0, 0.99 * taken[place] + units);
                told[place] *= 0.99;
                untold(units);
                store -= units;
            }
        }

        /** Use that the counter is yet to be told of. */
        void untold(double units) {
            // What nobody shares is never pushed, and matters no longer than the store takes to fill.
            if (!shared && now - usedAt >= span) {
                drop();
            }
            unpushed += units;
            usedAt = now;
            if (shared) {
                active.add(this);
            }
            out.took(key, place, gateways, units);
        }

        private void drop() {
            if (unpushed != 0) {
                out.took(key, place, gateways, -unpushed);
            }
            unpushed = 0;
        }

        /** One call for a customer with fresh use, more often when its store runs low. */
        void push() {
            boolean fresh = Math.abs(unpushed) > 1e-6 && now - usedAt < span && shared;
            if (!fresh) {
                drop();
                active.remove(this);
            } else if (now >= pushAt && mayCall(1)) {
                call(null);
            }
        }

        private void call(Job job) {
            // All gateways name the window alike, so by the clock that all machines read.
            long index = Math.floorDiv(now + shift + phase, span);
            if (window != index) {
                mine = others = 0;
            }
            window = index;
            double amount = Math.rint(unpushed * 1e6) * 1e-6;
            told[place] += amount;
            pushAt = now + (store < plan.burst() / 2 ? PUSH : SECOND);
            unpushed = 0;
            long name = mix(mix(key) + index) >>> 1;
            Call call = new Call(this, window, amount, job, now, false);
            if (job != null) {
                job.asking = call;
            }
            calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
            asked++;
            out.count(key, name, amount, 2 * span);
        }

        void counted(Call call, Outcome outcome, double total) {
            asked--;
            refill();
            if (call.pool) {
                if (outcome == Outcome.OK) {
                    granted(call, total);
                }
                conclude(call, outcome == Outcome.OK);
                return;
            }
            if (outcome.provesNeverRan()) {
                unpushed += call.amount;
                told[place] -= call.amount;
                active.add(this);
            } else if (call.window == window) {
                // Without an answer it may have been added; if not, the next total looks like lost counts.
                mine += call.amount;
            }
            if (outcome == Outcome.OK && call.window == window) {
                learn(call, total);
            }
            conclude(call, outcome == Outcome.OK);
        }

        private void conclude(Call call, boolean answered) {
            Job job = call.job;
            // Ended after it was given up, one of a pool must not let its request in again, past the quota's.
            if (job == null || job.asking != call) {
                return;
            }
            job.asking = null;
            if (job.over) {
                forget(job);
            } else if (call.pool) {
                double units = job.request.units();
                if (ceiling < units || job.hopeless()) {
                    refuse(job, (units - ceiling) / dealtRate);
                } else {
                    admitUnder(job, units);
                }
            } else {
                if (!answered) {
                    divide();
                }
                decide(job, answered ? 0 : unheard());
            }
        }

        private void learn(Call call, double total) {
            double theirs = total - mine;
            // Lost counts: what is there now is new since the loss, and tells of the others what it can.
            if (theirs < -1e-3 || theirs < others - plan.burst() / 2) {
                mine = call.amount;
                others = 0;
                theirs = Math.max(0, total - call.amount);
            }
            // Where calls are scarce only a part of the use is told; the others' part is taken to be as ours.
            double least = 2 * cfg.counter().largest();
            double part = (Math.max(0, told[place]) + least) / (taken[place] + least);
            if (now - heard > span) {
                // The estimate is too old: in one span a full store and this window's total tell more.
                store = plan.burst() - mine - unpushed;
                foreseen = 0;
            }
            double news = (theirs - others) / Math.min(1, Math.max(0.1, part));
            others = theirs;
            deaf = false;
            long since = Math.max(heard, window * span - phase - shift);
            double s = Math.max(0.05, (now - since) * NANO);
            heard = now;
            double rate = Math.max(0, Math.min(news / s, 2 * plan.rate()));
            othersRate += (1 - Math.exp(-s / OTHERS_S)) * (rate - othersRate);
            // What was sent beyond the quota took nothing from the store: it cannot be far below nothing.
            store = Math.max(
                    Math.min(plan.burst(), store - news + foreseen),
                    -cfg.counter().largest());
            foreseen = 0;
        }
    }

    /** A request taken and not yet finished. */
    private final class Job {
        private final Request request;
        private final Customer customer;
        private final Lane lane;
        /** As it was when the request came: changed settings are for those that come later. */
        private final RequestClass spec;

        private int most = cfg.limits().maxAttempts();
        private final long arrived = now;
        private final double vAtArrival = virtualTime;
        private boolean taken, inQuota, open, over;
        /** The call whose answer it waits for, else null. */
        private Call asking;

        private int attempts;
        private Backend backend;
        private long sentAt, mayHaveRunSince;
        private Backend anchor;

        Job(Request request, Customer customer, Lane lane) {
            this.request = request;
            this.customer = customer;
            this.lane = lane;
            spec = lane.spec;
        }

        double worth() {
            double part = inQuota ? 1 : customer.plan.beyondEarns() - customer.plan.beyondCosts();
            return spec.worth() * customer.plan.price() * part;
        }

        long aimAt() {
            return Math.min(arrived + spec.aim(), request.deadline());
        }

        /** Nobody tells how many the others have out: a cap on these is divided, and each may have one. */
        boolean mayGo() {
            int most = customer.plan.maxConcurrent();
            return most <= 0 || customer.open < Math.max(1, most / customer.gateways);
        }

        /** Too late to be sent for the first time and answered within its aim. */
        boolean hopeless() {
            // A guess that let nobody go would never be put right: only answers change it.
            double guess = Math.min(MARGIN * lane.service, MOST_OF_AIM * spec.aim() * NANO);
            long need = attempts == 0 ? (long) (guess * weight() * SECOND) : 0;
            return now + Math.max(need, 2 * TICK + cfg.tick()) >= aimAt();
        }

        double cost() {
            return lane.service * weight();
        }

        private double weight() {
            return Math.max(0.3, Math.min(3, request.units() / Math.max(1e-9, lane.units)));
        }
    }

    /** A performance class: its queue, its share, its tags, and what the last interval saw of it. */
    private final class Lane {
        private RequestClass spec;
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private double share, finishTag, service, units = 1, price = 1, latencySum, waitSum;
        private int arrivals, good;
        /** For each zone the part of this class that goes there; null where nobody says. */
        private int[] parts, spare;

        private boolean stuck;
        private final List<Double> services = new ArrayList<>();

        Lane(RequestClass spec) {
            this.spec = spec;
            service = spec.aim() * NANO / 8;
        }

        /** Start tag of the head. Computed at release, so that a changed share acts on what is queued too. */
        double startTag() {
            return Math.max(first().vAtArrival, finishTag);
        }

        Job first() {
            for (Job job : queue) {
                if (job.mayGo()) {
                    return job;
                }
            }
            return null;
        }

        void observe(Job job, Result result) {
            double took = result.took() * NANO;
            if (result.outcome() == Outcome.OK) {
                good++;
                service += 0.02 * (took - service);
                units += 0.02 * (job.request.units() - units);
                price += 0.02 * (job.customer.plan.price() * job.request.units() - price);
                latencySum += (now - job.arrived) * NANO;
                waitSum += (job.sentAt - job.arrived) * NANO;
                services.add(took);
            } else if (!NO_SIGN_OF_LOAD.contains(result.outcome())) {
                // A failure counts as slow, never as fast: errors must not open the concurrency loop.
                services.add(Math.max(took, 2 * spec.aim() * NANO));
            }
        }
    }

    /** Answers what has waited too long; a short deadline may stand behind a long one. */
    private void expire(ArrayDeque<Job> waiting) {
        if (waiting.isEmpty()) {
            return;
        }
        for (Job job : List.copyOf(waiting)) {
            if (job.hopeless()) {
                waiting.remove(job);
                giveUp(job);
            }
        }
    }

    /** Refuses the least worth of a queue too long, by Little's law, to be answered within its aim. */
    private void relieve(Lane lane) {
        if (inFlight < control.level || lane.queue.size() <= 1) {
            return;
        }
        double backlogged = 0;
        for (Lane l : lanes) {
            backlogged += l.queue.isEmpty() ? 0 : l.share;
        }
        double rate = control.level / lane.service * lane.share / Math.max(MIN_SHARE, backlogged);
        double budget = Math.max(lane.spec.aim() * NANO - 2 * lane.service, lane.spec.aim() * NANO / 4);
        while (lane.queue.size() > 1 && lane.queue.size() / rate > budget) {
            Job least = lane.queue.peek();
            for (Job job : lane.queue) {
                least = job.worth() <= least.worth() ? job : least;
            }
            lane.queue.remove(least);
            giveUp(least);
        }
    }

    /** Releases requests by start tag while fewer than the concurrency level are out. */
    private void dispatch() {
        if (emptyAt > 0 && now - emptyAt >= EMPTY_SPAN) {
            // No slip of the list: nobody knows when a server comes; to wait would only take clients' time.
            for (Lane lane : lanes) {
                while (!lane.queue.isEmpty()) {
                    giveUp(lane.queue.poll());
                }
            }
        }
        for (Lane lane : lanes) {
            lane.stuck = false;
        }
        while (inFlight < control.level && now >= restUntil) {
            Lane next = null;
            for (Lane lane : lanes) {
                boolean may = !lane.stuck && !lane.queue.isEmpty() && lane.first() != null;
                next = may && (next == null || lane.startTag() < next.startTag()) ? lane : next;
            }
            if (next == null) {
                return;
            }
            Job job = next.first();
            if (job.hopeless()) {
                next.queue.remove(job);
                giveUp(job);
                continue;
            }
            Backend backend = choose(job, null);
            // Where a plan lets nobody be used for this class, others may go on.
            next.stuck = backend == null;
            if (next.stuck && next.parts == null) {
                return;
            }
            if (next.stuck) {
                continue;
            }
            double start = next.startTag();
            next.queue.remove(job);
            virtualTime = start;
            next.finishTag = start + 1 / next.share;
            send(job, backend);
        }
    }

    /** u(k) = (B0'W'WB0 + Q'Q)^-1 (B0'W'W(yref - r) + Q'Q u(k-1)), with W and Q diagonal. */
    static SimpleMatrix controlLaw(
            SimpleMatrix b0, SimpleMatrix w, double q, SimpleMatrix yref, SimpleMatrix r, SimpleMatrix last) {
        SimpleMatrix bw = b0.transpose().mult(w.transpose()).mult(w);
        SimpleMatrix left =
                bw.mult(b0).plus(SimpleMatrix.identity(last.getNumRows()).scale(q * q));
        return left.solve(bw.mult(yref.minus(r)).plus(last.scale(q * q)));
    }

    /** Clips shares to their least and rescales them to sum 1. */
    static double[] rescale(double[] shares) {
        double[] kept = Arrays.stream(shares)
                .map(u -> Double.isFinite(u) ? Math.max(MIN_SHARE, Math.min(1, u)) : MIN_SHARE)
                .toArray();
        double sum = Arrays.stream(kept).sum();
        return Arrays.stream(kept).map(u -> u / sum).toArray();
    }

    private static SimpleMatrix column(double... values) {
        return new SimpleMatrix(values.length, 1, true, values);
    }

    /** The share loop, the slower concurrency loop and the optimizer that feeds both. */
    private final class Control {
        private final int n = lanes.length;
        private final RecursiveLeastSquares shareModel = new RecursiveLeastSquares(2 * n, 3 * n), levelModel;
        private double[] lastY;
        private double lastInverse, lastLevel, lastChange, scale = 1, level = 1, limit = 1;
        private boolean bound;

        /** Until fitted, shares follow worth; the level's loop goes on where one before it stood. */
        Control(Control before) {
            levelModel = before == null ? new RecursiveLeastSquares(1, 2) : before.levelModel;
            if (before != null) {
                lastInverse = before.lastInverse;
                lastLevel = before.lastLevel;
                lastChange = before.lastChange;
                scale = before.scale;
                level = before.level;
                limit = before.limit;
            }
            double sum = Math.max(
                    1e-9,
                    Arrays.stream(lanes).mapToDouble(lane -> lane.spec.worth()).sum());
            setShares(Arrays.stream(lanes)
                    .mapToDouble(lane -> lane.spec.worth() / sum)
                    .toArray());
        }

        private void setShares(double[] shares) {
            double[] kept = rescale(shares);
            for (int i = 0; i < n; i++) {
                lanes[i].share = kept[i];
            }
        }

        private double[] shares() {
            return Arrays.stream(lanes).mapToDouble(lane -> lane.share).toArray();
        }

        void boundLevel() {
            double before = limit;
            double part = Math.max(MIN_LEVEL, OPEN_PER_SERVER * listed.size() / cfg.siblings());
            limit = part > 1 ? Math.rint(part) : part;
            level = levelModel.updates() == 0 || level >= before ? limit : Math.min(level, limit);
        }

        void interval() {
            double total = Arrays.stream(lanes).mapToInt(lane -> lane.good).sum();
            scale += 0.2 * (Math.max(1, total) - scale);
            double[] y = new double[2 * n], seen = new double[2 * n];
            for (int i = 0; i < n; i++) {
                Lane lane = lanes[i];
                boolean live = lane.good > 0;
                y[i] = lane.good / scale;
                double inverse = lane.spec.aim() * NANO * lane.good / Math.max(1e-6, lane.latencySum);
                y[n + i] = live ? Math.min(1, inverse / INVERSE_UNIT) : lastY == null ? 0 : lastY[n + i];
                seen[i] = live ? y[i] : Double.NaN;
                seen[n + i] = live ? y[n + i] : Double.NaN;
            }
            if (lastY != null && total > 0) {
                shareModel.update(regressor(lastY, shares()), seen);
            }
            lastY = y;
            if (shareModel.updates() >= 3 * n) {
                steerShares(y, seen);
            }
            steerLevel();
            for (Lane lane : lanes) {
                lane.arrivals = lane.good = 0;
                lane.latencySum = lane.waitSum = 0;
                lane.services.clear();
            }
        }

        private SimpleMatrix regressor(double[] y, double[] shares) {
            double[] phi = Arrays.copyOf(y, 3 * n);
            System.arraycopy(shares, 0, phi, 2 * n, n);
            return column(phi);
        }

        /** Worth a second of class i at what the model y = r + B0 s foresees, late answers at their part. */
        private double utility(SimpleMatrix r, SimpleMatrix b0, double[] s, int i, double grant) {
            double[] tried = s.clone();
            tried[i] += grant;
            SimpleMatrix x = r.plus(b0.mult(column(tried)));
            Lane lane = lanes[i];
            double served = Math.min(Math.max(0, x.get(i)) * scale, lane.arrivals);
            double late = lane.spec.lateValue();
            double timely = late + (1 - late) * (1 - Math.exp(-INVERSE_UNIT * Math.max(0, x.get(n + i))));
            return lane.spec.worth() * lane.price * served * timely;
        }

        /** The greedy optimizer of the paper's figure 4, for one gateway: the references. */
        private SimpleMatrix optimize(SimpleMatrix r, SimpleMatrix b0) {
            double[] s = new double[n], current = new double[n];
            Arrays.fill(current, Double.NEGATIVE_INFINITY);
            double step = Math.max(MIN_SHARE, 1 / Math.max(1, scale));
            for (double given = 0; given < 1 - 1e-9; ) {
                int best = 0;
                double bestGain = Double.NEGATIVE_INFINITY, bestGrant = step;
                for (int i = 0; i < n; i++) {
                    double grant = step;
                    while (utility(r, b0, s, i, grant) <= current[i] && given + grant <= 1) {
                        grant += step;
                    }
                    grant = given + grant > 1 ? step : grant;
                    double gain = (utility(r, b0, s, i, grant) - Math.max(0, current[i])) / grant;
                    if (gain > bestGain) {
                        best = i;
                        bestGain = gain;
                        bestGrant = grant;
                    }
                }
                s[best] += bestGrant;
                given += bestGrant;
                current[best] = utility(r, b0, s, best, 0);
            }
            return r.plus(b0.mult(column(rescale(s))));
        }

        private void steerShares(double[] y, double[] seen) {
            double[] u = shares();
            SimpleMatrix b0 = shareModel.parameters().cols(2 * n, 3 * n).copy();
            SimpleMatrix r = shareModel.predict(regressor(y, new double[n]));
            SimpleMatrix w = new SimpleMatrix(2 * n, 2 * n);
            double most = Arrays.stream(lanes)
                    .mapToDouble(l -> l.spec.worth() * l.price)
                    .max()
                    .orElse(1);
            for (int i = 0; i < 2 * n; i++) {
                if (b0.get(i, i % n) <= 0) {
                    // Noise, or never varied: until the fit has the known sign, in proportion to the share.
                    for (int j = 0; j < n; j++) {
                        b0.set(i, j, j == i % n ? y[i] / u[j] : 0);
                    }
                    r.set(i, 0, 0);
                }
                Lane lane = lanes[i % n];
                double weight = Math.sqrt(lane.spec.worth() * lane.price / Math.max(1e-9, most));
                w.set(i, i, Double.isNaN(seen[i]) ? 0 : weight);
            }
            setShares(controlLaw(b0, w, Q_SHARE, optimize(r, b0), r, column(u))
                    .getDDRM()
                    .getData());
        }

        /** Sets concurrency so that slow answers of the tightest class come within its aim less its wait. */
        private void steerLevel() {
            Lane tight = Arrays.stream(lanes)
                    .filter(lane -> !lane.services.isEmpty())
                    .min(Comparator.comparingLong(lane -> lane.spec.aim()))
                    .orElse(null);
            if (tight == null) {
                return;
            }
            double[] sorted =
                    tight.services.stream().mapToDouble(x -> x).sorted().toArray();
            double aim = tight.spec.aim() * NANO;
            double inverse = aim / sorted[(int) (0.9 * (sorted.length - 1))];
            double u = level / limit;
            if (lastInverse > 0 && bound && u != lastLevel) {
                levelModel.update(column(lastChange, u - lastLevel), inverse - lastInverse);
            }
            lastChange = lastInverse > 0 ? inverse - lastInverse : 0;
            lastLevel = u;
            double wait = tight.waitSum / Math.max(1, tight.good);
            // Fitted on changes: an unvaried level tells nothing. Until the fit has the known sign, Little's
            // law gives the slope: latency in proportion to what is out.
            double fit = levelModel.parameters().cols(1, 2).get(0);
            SimpleMatrix b0 = column(levelModel.updates() >= 3 && fit < 0 ? fit : -inverse / u);
            SimpleMatrix yref = column(aim / Math.max(aim / 4, aim - wait));
            SimpleMatrix r = column(inverse - b0.get(0) * u), last = column(u);
            // A level that did not bind tells nothing; it drifts back to the operator's limit.
            u = bound ? controlLaw(b0, column(1), Q_LEVEL, yref, r, last).get(0) : (u + 1) / 2;
            lastInverse = inverse;
            bound = false;
            u = Double.isFinite(u) ? Math.max(MIN_LEVEL, Math.min(1, u)) : 1;
            level = u * limit > 1 ? Math.rint(u * limit) : u * limit;
        }
    }

    /** What this gateway knows of a server. */
    private final class Backend {
        private final String id;
        private Server entry;
        private boolean ready, shunned, fails;
        private final LinkedHashSet<Job> outstanding = new LinkedHashSet<>();
        private double latency, errors, load;
        private long heard = now, coldAt = now, reported = born, goneAt;

        Backend(Server entry) {
            id = entry.id();
            this.entry = entry;
            latency = kindLatency.getOrDefault(entry.kind(), 1.0);
            errors = zoneErrors.getOrDefault(entry.zone(), 0.0);
        }

        void leave() {
            ready = false;
            goneAt = goneAt > 0 ? goneAt : now;
        }

        boolean blank() {
            return goneAt > 0 && now - goneAt >= REMEMBER && outstanding.isEmpty();
        }

        /** What nothing was sent to for a while may be well again: who says so no more has to look. */
        boolean heldOut() {
            return shunned && fails && now - zoneFailed.getOrDefault(entry.zone(), now - HELD) < HELD;
        }

        boolean cold() {
            return entry.startedAt() > 0
                    && now - entry.startedAt() < cfg.rules().coldDuration();
        }

        double warmth() {
            double age = Math.max(0, now - entry.startedAt())
                    / (double) Math.max(1, cfg.rules().coldDuration());
            return cfg.rules().coldFrom() + (1 - cfg.rules().coldFrom()) * Math.min(1, age);
        }

        /** What was not heard of lately is taken to be as its kind and its zone are. */
        private double lately(double own, double usual) {
            return usual + (own - usual) * Math.exp(-(now - heard) * NANO / FORGIVE_S);
        }

        double risk() {
            return lately(errors, zoneErrors.getOrDefault(entry.zone(), 0.0));
        }

        boolean groupedWith(Job job) {
            Server b = job.anchor.entry;
            return job.spec.group() == Group.ZONE ? entry.zone() == b.zone() : entry.cell() == b.cell();
        }

        double score() {
            double l = lately(latency, kindLatency.getOrDefault(entry.kind(), 1.0));
            if (!outstanding.isEmpty()) {
                // An answer overdue tells of trouble before it ends.
                Job oldest = outstanding.iterator().next();
                l = Math.max(l, (now - oldest.sentAt) * NANO / oldest.cost() / 2);
            }
            double safe = 1 - Math.min(0.97, risk());
            double weight = cfg.sizesAreWeights() && entry.size() > 0 ? entry.size() : 1;
            l *= 1 + (load - usualLoad) / (1 + usualLoad) * Math.exp(-(now - reported) * NANO / REPORT_S);
            double s = l * (1 + outstanding.size() / weight) / (safe * safe);
            return entry.zone() == cfg.zone() ? s : s * 1.05;
        }

        void ended(Job job, Result result) {
            outstanding.remove(job);
            Outcome o = result.outcome();
            if (o == Outcome.CANCELLED || o == Outcome.NOT_SENT) {
                return;
            }
            boolean good = o == Outcome.OK;
            // A fast failure must not look fast.
            double ratio = Math.min(20, result.took() * NANO / job.cost());
            ratio = good ? ratio : Math.max(3, ratio);
            double bad = good ? 0 : o == Outcome.FULL ? 0.5 : 1;
            // Where one gateway of many hears little of a server, it goes by what it hears of its like.
            double small = 2 * ALPHA / Math.max(1, listed.size());
            kindLatency.merge(entry.kind(), ratio, (l, r) -> l + small * (r - l));
            zoneErrors.merge(entry.zone(), small * bad, (e, x) -> e + small * (bad - e));
            latency = lately(latency, kindLatency.get(entry.kind()));
            errors = risk();
            heard = now;
            fails = !good && o != Outcome.FULL;
            zoneFailed.compute(entry.zone(), (z, at) -> fails ? (Long) now : good ? null : at);
            if (good) {
                lastHeard[heardCount++ % RECENT] = this;
            }
            latency += ALPHA * (ratio - latency);
            errors += (o == Outcome.CONNECT_FAILED ? 1 : good ? ALPHA_ERR : 2 * ALPHA_ERR) * (bad - errors);
            if (shunned != errors > 0.5) {
                shunned = !shunned;
                out.log((shunned ? "server shunned: " : "server back: ") + id + " after " + o);
            }
        }
    }

    /** All that drop a bound request's repeats, else some by chance: ranked alike, few would get all. */
    private List<Backend> candidates(Job job, boolean bound, Backend[] drawing) {
        if (bound) {
            return listed.stream().filter(b -> b.groupedWith(job)).toList();
        }
        int most = Math.max(2, LOOK * listed.size() / cfg.siblings());
        int all = drawing.length;
        if (most >= all) {
            return drawing == this.drawing ? listed : Arrays.asList(drawing);
        }
        List<Backend> some = new ArrayList<>(most + RECENT);
        for (int i = 0; i < most; i++) {
            // The first of an order that is shuffled only so far as it is needed.
            int j = i + random.nextInt(all - i);
            Backend drawn = drawing[j];
            drawing[j] = drawing[i];
            drawing[i] = drawn;
            some.add(drawn);
        }
        for (Backend b : lastHeard) {
            boolean there = drawing == this.drawing || b != null && b.entry.zone() == drawing[0].entry.zone();
            if (b != null && b.ready && there) {
                some.add(b);
            }
        }
        return some;
    }

    /** Whom to send to; null if none may be used now. Under a plan within the zones that it names. */
    private Backend choose(Job job, Backend failed) {
        RequestClass spec = job.spec;
        boolean bound = job.mayHaveRunSince > 0 && spec.repeat() == Repeat.KEYED && spec.group() != Group.ALL;
        if (bound || job.lane.parts == null) {
            return soonest(job, candidates(job, bound, drawing));
        }
        int[] left = job.lane.parts.clone();
        Backend best = failed == null && job.lane.spare != null ? wayOut(job) : null;
        for (int zone; best == null && (zone = draw(left, failed == null ? -1 : failed.entry.zone())) >= 0; ) {
            best = soonest(job, candidates(job, false, there(zone)));
            left[zone] = 0;
        }
        return best;
    }

    private Backend[] there(int zone) {
        return zoned.computeIfAbsent(
                zone, z -> listed.stream().filter(b -> b.entry.zone() == z).toArray(Backend[]::new));
    }

    private boolean heldOut(int zone) {
        return Arrays.stream(there(zone)).allMatch(Backend::heldOut);
    }

    /** Where the plan says that it is borne: a fifth of that at first, twice as much each second. */
    private Backend wayOut(Job job) {
        outSince = !heldOut(cfg.zone()) ? 0 : outSince > 0 ? outSince : now;
        double grown = Math.min(1, 0.2 * Math.pow(2, (now - outSince) * NANO));
        double at = random.nextDouble() / grown;
        int z = -1;
        while (at >= 0 && ++z < job.lane.spare.length) {
            at -= job.lane.spare[z] / 1e3;
        }
        return outSince == 0 || at >= 0 || heldOut(z) ? null : soonest(job, candidates(job, false, there(z)));
    }

    /** A zone by its part of what is left, the one to avoid after all others; -1 if nothing is. */
    private int draw(int[] left, int avoid) {
        int others = 0, zone = -1;
        for (int i = 0; i < left.length; i++) {
            others += i == avoid ? 0 : left[i];
        }
        if (others == 0) {
            return avoid >= 0 && avoid < left.length && left[avoid] > 0 ? avoid : -1;
        }
        for (int at = random.nextInt(others); at >= 0; ) {
            at -= ++zone == avoid ? 0 : left[zone];
        }
        return zone;
    }

    /** The candidate that should answer soonest; null if none may be used now. */
    private Backend soonest(Job job, List<Backend> candidates) {
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend b : candidates) {
            // Gateways that know as little as each other must not all take the first of a list.
            double score = b.score() * (1 + 0.1 * random.nextDouble());
            if (score < bestScore && (!b.cold() || coldRoom(b, job))) {
                best = b;
                bestScore = score;
            }
        }
        return best;
    }

    /** By chance: a cold server's part of a warm one's work, from however many gateways, and no burst. */
    private boolean coldRoom(Backend b, Job job) {
        int warm = 0;
        for (Backend other : listed) {
            warm += other.cold() ? 0 : 1;
        }
        if (2 * warm >= listed.size()) {
            warmWork = sentWork / warm;
        }
        // Few warm ones tell little of all: what one took when most were, half a request at a time at least.
        double known = Math.max(warmWork, 0.5 / cfg.siblings());
        double most = warmWork > 0 ? Math.max(1, cfg.rules().overloadFactor()) * known : Double.MAX_VALUE;
        double part = warm > 0 ? Math.min(sentWork / warm, most) : known;
        double work = part * b.warmth() * (now - b.coldAt) * NANO;
        b.coldAt = now;
        return random.nextDouble() * job.cost() < work;
    }

    private void send(Job job, Backend backend) {
        sentWork = sentWork * Math.exp(-(now - sentWorkAt) * NANO / 4) + job.cost() / 4;
        sentWorkAt = now;
        if (job.attempts == 0) {
            retryTokens = Math.min(RETRY_MOST, retryTokens + RETRY_RATIO);
        }
        job.customer.open += job.open ? 0 : 1;
        job.open = true;
        job.attempts++;
        job.backend = backend;
        job.sentAt = now;
        backend.outstanding.add(job);
        inFlight++;
        if (inFlight >= control.level) {
            control.bound = true;
        }
        long startWithin = startWithin(job);
        if (startWithin == Long.MAX_VALUE) {
            out.send(job.request.id(), backend.id, patience(job));
        } else {
            out.send(job.request.id(), backend.id, patience(job), startWithin);
        }
    }

    /** For how long an attempt may begin: a keyed one that may have run only while its key is known. */
    private long startWithin(Job job) {
        boolean bound = job.spec.repeat() == Repeat.KEYED && job.mayHaveRunSince > 0;
        return bound ? job.mayHaveRunSince + job.spec.keyWindow() - HELD_UP - now : Long.MAX_VALUE;
    }

    /** How long to wait: no longer than an answer is worth something. */
    private long patience(Job job) {
        long until = job.spec.lateValue() <= 0 ? job.aimAt() : job.request.deadline();
        return Math.max(MS, until - now);
    }

    /** After an attempt that did not end the request: another one, or the final answer. */
    private void again(Job job, Backend failed, boolean neverRan) {
        RequestClass spec = job.spec;
        boolean mayRepeat = job.mayHaveRunSince == 0
                || spec.repeat() == Repeat.SAFE
                || spec.repeat() == Repeat.KEYED && startWithin(job) > 0;
        boolean inTime = now + (long) (job.lane.service * SECOND / 2) < job.aimAt();
        double price = neverRan ? 0 : 1;
        boolean may = mayRepeat && inTime && retryTokens >= price;
        // What fails in one zone must not flood the plan's others: each move is paid, and bounded by that.
        Backend left = retryTokens >= 1 ? failed : null;
        Backend backend = may && job.attempts < job.most ? choose(job, left) : null;
        if (backend == null) {
            giveUp(job);
        } else {
            boolean moves = job.lane.parts != null && backend.entry.zone() != failed.entry.zone();
            retryTokens = Math.max(0, retryTokens - (moves ? 1 : price));
            send(job, backend);
        }
    }

    /** The one final answer of a request that is not served: refused if that is true, else failed. */
    private void giveUp(Job job) {
        RequestClass spec = job.spec;
        if (job.mayHaveRunSince == 0
                || spec.repeat() == Repeat.SAFE
                || spec.repeat() == Repeat.KEYED && spec.group() == Group.ALL) {
            // By Little's law, when what is queued now will have been sent.
            Lane lane = job.lane;
            out.refuse(job.request.id(), advice(lane.service * (1 + lane.queue.size() / control.level)));
        } else {
            out.fail(job.request.id());
        }
        forget(job);
    }

    /**
     * When to come back, as long as a client may heed it. Said whether or not the settings promise that
     * clients look at it: who does not is no worse off, and who comes at once only finds the same queue.
     */
    private long advice(double seconds) {
        return (long) Math.max(0, Math.min(cfg.limits().maxRetryAfter(), seconds * SECOND));
    }

    /** The end of a request here; what it took is given back if it was never sent. */
    private void forget(Job job) {
        if (jobs.remove(job.request.id()) == null) {
            return;
        }
        job.customer.jobs--;
        if (job.attempts == 0 && job.taken) {
            job.customer.ceiling += job.request.units();
            if (job.inQuota) {
                job.customer.take(-job.request.units());
            }
        }
        job.customer.open -= job.open ? 1 : 0;
    }
}
