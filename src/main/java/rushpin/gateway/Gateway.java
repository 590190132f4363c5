package rushpin.gateway;

import java.util.*;
import java.util.stream.*;
import org.ejml.simple.SimpleMatrix;
import rushpin.gateway.Ports.*;

/**
 * Makes all decisions of one gateway: quotas, fair queueing, control loops, choice of server, attempts and
 * final answers. Its types, events and actions are declared in {@code Ports.java}. The mechanism follows the
 * Proteus paper, "Non-intrusive Performance Management for Computer Services"; where the code departs from
 * the paper, a comment states the failure that this prevents.
 */
public final class Gateway implements Ports.Events {
    /** Nanoseconds in a millisecond. */
    private static final long MS = 1_000_000L;

    private static final long SECOND = 1_000 * MS;
    /** Converts nanoseconds to seconds. */
    private static final double NANO = 1e-9;
    /** Interval of housekeeping: short compared with the aims, long enough to cost little CPU time. */
    private static final long TICK_INTERVAL = 10 * MS;
    /** How often a customer's fresh use is reported to the counter. */
    private static final long PUSH_INTERVAL = SECOND / 4;
    /** The counter counts as silent only if it has answered no call for this long. */
    private static final long COUNTER_SILENT_AFTER = SECOND / 2;
    /** A decision without a call keeps back what the others use in this time: it is not yet reported. */
    private static final long OTHERS_RESERVE_TIME = 2 * SECOND;
    /** Initial calls to the counter a second, all gateways together; too few leave quotas to chance. */
    private static final double INITIAL_CALL_RATE = 400;
    /** Lower bound of one gateway's initial calls a second. */
    private static final double MIN_CALL_RATE = 2;
    /** Increase of the call rate per second since the last slow call. */
    private static final double CALL_RATE_INCREASE = 0.02;
    /** Upper bound of one increase of the call rate. */
    private static final double MAX_CALL_RATE_INCREASE = 0.25;
    /** Factor on the call rate after a slow call. */
    private static final double CALL_RATE_DECREASE = 0.7;
    /** Increase of the call rate with each prompt answer while the rate is below its initial value. */
    private static final double CALL_RATE_RECOVERY = 0.5;
    /** The counter counts as silent only after this many unanswered calls in a row; fewer may be chance. */
    private static final int COUNTER_SILENT_CALLS = 3;
    /** Number of gateways up to which a fleet is small. */
    private static final double SMALL_FLEET = 3;
    /**
     * Number of gateways from which a fleet is large; mechanisms for large fleets phase in between the two.
     */
    private static final double LARGE_FLEET = 7;
    /** The part of a ceiling that a large fleet draws through the counter; a small fleet draws none. */
    private static final double POOLED_PART = 0.5;
    /** The longest time that the counter keeps a name, in seconds from its first call. */
    private static final double COUNT_LIFETIME_S = 60;
    /** The operator's limit on concurrency: requests in flight per listed server, over all gateways. */
    private static final double MAX_IN_FLIGHT_PER_SERVER = 6;
    /** Divides aim over latency, so that inverse latency has the same magnitude as the shares. */
    private static final double INVERSE_SCALE = 10;
    /** The paper's Q, the penalty on actuation, for the shares. */
    private static final double Q_SHARE = 0.3;
    /** The paper's Q for the concurrency level, whose loop is the slower one. */
    private static final double Q_LEVEL = 0.7;
    /** Lower bound of a class's share, so that no class starves. */
    private static final double MIN_SHARE = 0.02;
    /** Lower bound of the concurrency level, as a part of its limit, so that no class starves. */
    private static final double MIN_LEVEL = 0.25;
    /** Weight of one answer in a server's average latency. */
    private static final double LATENCY_WEIGHT = 0.12;
    /** Weight of one answer in a server's error rate. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Time constant, in seconds, with which a server's averages decay to those of its kind and zone. */
    private static final double SERVER_MEMORY_S = 4;
    /** Time constant, in seconds, of the average rate at which the other gateways use a quota. */
    private static final double OTHERS_MEMORY_S = 3;
    /** How long a customer is kept after its last use, and a server after it left the list. */
    private static final long RETENTION = 30 * SECOND;
    /**
     * Customers that are kept at most. Requests of further ones are refused: to forget one that was used would grant it
     * a fresh allowance.
     */
    static final int MAX_CUSTOMERS = 16_384;
    /** A server is held out for this long after an attempt in its zone last failed. */
    private static final long HOLD_OUT_TIME = 5 * SECOND;
    /**
     * Servers examined per request by each gateway if there are as many gateways as servers; at least two.
     */
    private static final int CANDIDATE_FACTOR = 3;
    /** Retry tokens earned by each first attempt. */
    private static final double RETRY_RATIO = 0.2;
    /** Upper bound of the saved retry tokens. */
    private static final double MAX_RETRY_TOKENS = 20;
    /** Average service times that a first attempt needs before its aim. */
    private static final double SERVICE_TIME_MARGIN = 1.5;
    /** Upper bound of the time reserved for a first attempt, as a part of the aim. */
    private static final double MAX_PART_OF_AIM = 0.8;
    /** Outcomes that say nothing about load: counted as slow, they would throttle all other requests. */
    private static final Set<Outcome> NOT_LOAD_RELATED = EnumSet.of(Outcome.RESET, Outcome.CANCELLED, Outcome.NOT_SENT);
    /** The longest pause of the process that is allowed for between a decision and the write that follows. */
    private static final long MAX_PROCESS_PAUSE = 160 * MS;
    /** An empty server list may be a mistake for this long; queued requests wait for the next list. */
    private static final long EMPTY_LIST_GRACE = SECOND / 4;
    /** The values of a load report that measure how busy a server is. */
    private static final Set<String> LOAD_VALUES = Set.of("waiting", "active", "cpu");
    /** Time constant, in seconds, with which a load report loses its weight. */
    private static final int REPORT_MEMORY_S = 1;
    /** How many of the servers that answered last are candidates for every request. */
    private static final int RECENT_BACKENDS = 6;

    private Settings cfg;
    private final Actions actions;
    private final SplittableRandom random;
    private final long createdAt;
    private long now;
    private long nextControlAt;
    /** When the counter last answered a call. */
    private long answeredAt;
    /** When {@link #callTokens} was last brought up to date. */
    private long callTokensAt;

    private long slowCallAt;
    private long sentWorkAt;
    /** No request is sent before this time. */
    private long pauseUntil;
    /** Since when the server list has been empty; 0 while it is not. */
    private long listEmptySince;
    /** How far the machines' clock is ahead of {@link #now}, in nanoseconds. */
    private long clockOffset;
    /** Since when the whole own zone has been held out; 0 while it is not. */
    private long ownZoneOutSince;

    private long nextTickAt;
    /** How late the last housekeeping was, in nanoseconds. */
    private long tickDelay;
    /** When the last housekeeping ran. */
    private long tickedAt;

    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<Long, Customer> customers = new LinkedHashMap<>();
    private final Map<String, Backend> servers = new LinkedHashMap<>();
    private List<Backend> readyBackends = List.of();
    /** The ready servers; {@link #candidates} shuffles them in place. */
    private Backend[] sampled = {};
    /** The ready servers by zone, filled as zone plans ask for them. */
    private final Map<Integer, Backend[]> backendsByZone = new HashMap<>();
    /** When an attempt in a zone last failed, if none was answered there since. */
    private final Map<Integer, Long> zoneFailedAt = new HashMap<>();

    private final Map<Integer, Double> kindLatency = new HashMap<>();
    private final Map<Integer, Double> zoneErrors = new HashMap<>();
    private final Backend[] recentBackends = new Backend[RECENT_BACKENDS];
    /** One flow for each class, followed by those of removed classes that still have requests. */
    private Flow[] flows;

    private Controller controller;
    private int inFlight;
    private int recentCount;
    private int processes = 1;
    private double retryTokens = MAX_RETRY_TOKENS;
    /** Start tag of the request that was sent last, as in start-time fair queueing. */
    private double virtualTime;

    /** Work sent a second, in seconds of service time, averaged over some four seconds. */
    private double sentWork;
    /** Work sent a second to each warm server when most servers were last warm. */
    private double warmWork;

    private double meanStake;
    private double meanLoad;
    private boolean counterSilent;
    /** Whether a call was denied a token since the call rate last grew. */
    private boolean callDenied;

    private final double initialCallRate;
    private double callRate;
    private double callTokens;
    private int unansweredCalls;
    /** For each plan the units taken recently. */
    private final double[] charged;
    /** For each plan how many of {@link #charged} were reported to the counter. */
    private final double[] reportedUnits;
    /** Customers with use to report. */
    private final Set<Customer> customersToPush = new LinkedHashSet<>();

    private final Map<Long, ArrayDeque<Call>> pendingCalls = new LinkedHashMap<>();

    /** Creates a gateway that starts at {@code now}; {@code seed} is its only source of randomness. */
    public Gateway(Settings settings, long seed, long now, Actions actions) {
        cfg = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        createdAt = now;
        this.now = now;
        flows = new Flow[cfg.classes().size()];
        for (int i = 0; i < flows.length; i++) {
            flows[i] = new Flow(cfg.classes().get(i));
        }
        charged = new double[cfg.plans().size()];
        reportedUnits = new double[charged.length];
        controller = new Controller(null);
        answeredAt = now;
        callTokensAt = now;
        initialCallRate = Math.max(MIN_CALL_RATE, INITIAL_CALL_RATE / cfg.siblings());
        callRate = initialCallRate;
        callTokens = random.nextDouble(callRate);
        nextControlAt = now + SECOND;
        nextTickAt = now + TICK_INTERVAL;
        this.actions.timer(0, TICK_INTERVAL);
        if (cfg.limits().subscribeToList()) {
            this.actions.watchList();
        }
    }

    @Override
    public void list(long at, ListKind kind, List<Server> entries) {
        now = at;
        if (kind == ListKind.FAILED) {
            actions.watchList();
        } else if (kind != ListKind.DELTA) {
            Set<String> ids = entries.stream().map(Server::id).collect(Collectors.toSet());
            servers.values().stream().filter(b -> !ids.contains(b.id)).forEach(Backend::markGone);
        }
        for (Server entry : entries) {
            Backend known = servers.get(entry.id());
            if (entry.readiness() == Readiness.GONE) {
                if (known != null) {
                    known.markGone();
                }
                continue;
            }
            boolean restarted = known == null || known.entry.startedAt() != entry.startedAt();
            if (known != null) {
                known.ready = false;
            }
            Backend backend = restarted ? new Backend(entry) : known;
            servers.put(entry.id(), backend);
            backend.entry = entry;
            backend.ready = entry.readiness() == Readiness.READY;
            backend.goneAt = 0;
        }
        // Server ids are never reused: without this the map would grow for as long as the process runs.
        servers.values().removeIf(Backend::isExpired);
        readyBackends = servers.values().stream().filter(b -> b.ready).toList();
        // An empty list that was saved before this start is no reason to reject requests.
        boolean conclusive =
                kind == ListKind.FULL || kind == ListKind.DELTA || !entries.isEmpty() || listEmptySince > 0;
        listEmptySince = !conclusive || !readyBackends.isEmpty() ? 0 : listEmptySince > 0 ? listEmptySince : now;
        sampled = readyBackends.toArray(Backend[]::new);
        backendsByZone.clear();
        controller.boundLevel();
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
            actions.refuse(request.id(), 0);
        }
        if (!known || jobs.containsKey(request.id())) {
            return;
        }
        if (customers.size() >= MAX_CUSTOMERS && !customers.containsKey(request.customer())) {
            actions.refuse(request.id(), retryAfterNanos(1));
            return;
        }
        Customer customer = customers.computeIfAbsent(
                request.customer(), key -> new Customer(key, request.plan(), request.setSize()));
        Flow flow = flows[request.requestClass()];
        flow.arrivals++;
        Job job = new Job(request, customer, flow);
        jobs.put(request.id(), job);
        customer.jobs++;
        if (job.isTooLate()) {
            // Some arrive with hardly any time left: the next check of the queue would be too late.
            giveUp(job);
        } else {
            customer.admit(job);
        }
        dispatch();
    }

    private void enqueue(Job job) {
        job.flow.queue.add(job);
        shedLoad(job.flow);
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
        // A level below one is kept on average: one request in flight at each of hundreds of gateways may
        // be too many for a small fleet of servers.
        pauseUntil = now + (long) (result.took() * Math.max(0, 1 / controller.level - 1));
        backend.recordResult(job, result);
        job.flow.observe(job, result);
        boolean corrected = cfg.counter().reportsTrueUnits() && result.trueUnits() > 0;
        if (corrected && result.outcome() == Outcome.OK && job.inQuota) {
            job.customer.take(result.trueUnits() - job.request.units());
        }
        if (!result.outcome().provesNeverRan() && job.mayHaveRunSince == 0) {
            job.mayHaveRunSince = job.sentAt;
            job.keyBackend = backend;
        }
        if (result.complete() || job.abandoned) {
            finish(job);
        } else {
            retryOrGiveUp(job, backend, result.outcome().provesNeverRan());
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
            job.attemptLimit = job.attempts;
        }
    }

    @Override
    public void clientGone(long at, String id) {
        now = at;
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.abandoned = true;
        if (job.backend == null && job.pendingCall == null) {
            job.flow.queue.remove(job);
            finish(job);
        }
    }

    @Override
    public void counted(long at, long name, Outcome outcome, double total) {
        now = at;
        ArrayDeque<Call> pending = pendingCalls.get(name);
        Call call = pending == null ? null : pending.poll();
        if (call == null) {
            return;
        }
        if (pending.isEmpty()) {
            pendingCalls.remove(name);
        }
        boolean answered = outcome == Outcome.OK;
        // A delay of this process itself, busy or not scheduled, says nothing about the counter.
        long late = Math.max(tickedAt >= call.at ? tickDelay : 0, Math.max(0, now - nextTickAt));
        boolean slow = now - call.at - late > cfg.counter().timeout() / 3 || outcome == Outcome.FULL;
        // A full queue at the counter outlasts the timeout, and no call is answered: reduce the rate at the
        // first slow call, but not to nothing while answers come. A broken connection says nothing about
        // load.
        if (slow && now - slowCallAt > PUSH_INTERVAL) {
            callRate = Math.max(answered ? initialCallRate / 4 : 1, callRate * CALL_RATE_DECREASE);
            slowCallAt = now;
        } else if (answered && !slow && callDenied) {
            callDenied = false;
            // There are callRate calls a second: an increase in proportion to the rate with each call would
            // grow faster than 100 gateways can observe its effect.
            callRate += Math.min(MAX_CALL_RATE_INCREASE, CALL_RATE_INCREASE * (now - slowCallAt) * NANO);
            callRate = Math.max(callRate, Math.min(initialCallRate, callRate + CALL_RATE_RECOVERY));
        }
        answeredAt = answered ? now : answeredAt;
        unansweredCalls = answered ? 0 : unansweredCalls + 1;
        if (counterSilent != (unansweredCalls >= COUNTER_SILENT_CALLS && now - answeredAt > COUNTER_SILENT_AFTER)) {
            counterSilent = !counterSilent;
            actions.log(counterSilent ? "counter silent: quotas divided over gateways" : "counter answers again");
        }
        call.customer.counted(call, outcome, total);
        dispatch();
    }

    /**
     * Takes a token for a call to the counter if the call is worth it.
     *
     * @param stake what the call may save, as a multiple of the mean; the fewer tokens, the more it takes
     */
    private boolean takeCallToken(double stake) {
        double rate = counterSilent ? 1 : callRate;
        double maxTokens = Math.max(2 * MIN_CALL_RATE, rate);
        callTokens = Math.min(maxTokens, callTokens + rate * (now - callTokensAt) * NANO);
        callTokensAt = now;
        boolean granted = callTokens >= 1 && stake >= 2 * (1 - callTokens / maxTokens);
        callTokens -= granted ? 1 : 0;
        callDenied |= !granted;
        return granted;
    }

    @Override
    public void probed(long at, String id, Outcome how, long took, List<Double> report) {
        now = at;
        Backend backend = servers.get(id);
        if (backend == null) {
            return;
        }
        // A server that reports no load, or does not answer, must not be taken for an idle one.
        double load = report.isEmpty() ? 1 + 2 * meanLoad : 0;
        for (int i = 0; i < Math.min(report.size(), cfg.reports().size()); i++) {
            load += LOAD_VALUES.contains(cfg.reports().get(i)) ? report.get(i) : 0;
        }
        meanLoad += 0.05 * (load - meanLoad);
        backend.load = load;
        backend.reportedAt = now;
        recentBackends[recentCount++ % RECENT_BACKENDS] = backend;
    }

    /** Probes a random server if, on average, each server gives less than one answer a second here. */
    private void probe(Job job) {
        boolean rare = sentWork < job.cost() * readyBackends.size();
        if (rare && cfg.limits().probes() && !cfg.reports().isEmpty()) {
            actions.probe(readyBackends.get(random.nextInt(readyBackends.size())).id);
        }
    }

    @Override
    public void timer(long at, long token) {
        now = at;
        tickDelay = now - nextTickAt;
        tickedAt = now;
        nextTickAt = now + TICK_INTERVAL;
        actions.timer(0, TICK_INTERVAL);
        for (Flow flow : flows) {
            answerExpired(flow.queue);
        }
        // A request must be answered even if the host never reports the end of its call.
        long madeBefore = now - 2 * cfg.counter().timeout();
        // A copy, as a request that waited for its ceiling may next call the counter about its quota.
        for (ArrayDeque<Call> sameName : List.copyOf(pendingCalls.values())) {
            for (Call call : sameName) {
                if (call.at < madeBefore) {
                    call.customer.resume(call, false);
                }
            }
        }
        List.copyOf(customersToPush).forEach(Customer::push);
        if (now >= nextControlAt) {
            nextControlAt += SECOND;
            controller.endInterval();
            customers.values().removeIf(Customer::isExpired);
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
        customer.quotaTokens -= units;
        customer.unreported += units;
        customer.usedAt = now;
        if (customer.shared) {
            customersToPush.add(customer);
        }
    }

    @Override
    public void releaseCeiling(long at, double part) {
        now = at;
        for (Customer customer : customers.values()) {
            customer.refill();
            double units = Math.max(0, customer.ceilingTokens) * Math.max(0, Math.min(1, part));
            if (customer.plan.ceilingRate() <= 0 || units <= 0) {
                continue;
            }
            customer.ceilingTokens -= units;
            actions.ceilingReleased(customer.key, customer.planIndex, customer.gatewayCount, units);
        }
    }

    @Override
    public void acquireCeiling(long at, long key, int plan, int setSize, double units) {
        now = at;
        if (plan < 0 || plan >= cfg.plans().size() || !(units > 0)) {
            return;
        }
        Customer customer = customers.computeIfAbsent(key, k -> new Customer(k, plan, setSize));
        if (customer.planIndex != plan) {
            return;
        }
        customer.ceilingTokens += units;
        // Caps the sum at what the customer may hold here.
        customer.refill();
    }

    @Override
    public void processes(long at, int count) {
        now = at;
        // Credits the time until now at the previous number of processes.
        customers.values().forEach(Customer::refill);
        processes = Math.max(1, count);
    }

    @Override
    public void settings(long at, Settings next, int[] previous) {
        now = at;
        List<Flow> nextFlows = new ArrayList<>();
        for (int i = 0; i < previous.length; i++) {
            RequestClass spec = next.classes().get(i);
            Flow flow = previous[i] < 0 ? new Flow(spec) : flows[previous[i]];
            flow.spec = spec;
            nextFlows.add(flow);
        }
        for (Flow flow : flows) {
            boolean inUse = jobs.values().stream().anyMatch(job -> job.flow == flow);
            if (inUse && !nextFlows.contains(flow)) {
                nextFlows.add(flow);
            }
        }
        boolean changed = !nextFlows.equals(Arrays.asList(flows));
        cfg = next;
        flows = nextFlows.toArray(Flow[]::new);
        controller = changed ? new Controller(controller) : controller;
        dispatch();
    }

    @Override
    public void zones(long at, int[][] parts) {
        zones(at, parts, null);
    }

    @Override
    public void zones(long at, int[][] parts, int[][] overflow) {
        now = at;
        // A removed class keeps its last parts for as long as there is a plan.
        for (int i = 0; i < flows.length; i++) {
            flows[i].zoneParts = parts == null ? null : i < parts.length ? parts[i] : flows[i].zoneParts;
            flows[i].overflowParts = overflow == null || i >= overflow.length ? null : overflow[i];
        }
        dispatch();
    }

    /** Returns how many ready servers are avoided for their failures. */
    public int ejected() {
        return (int) readyBackends.stream().filter(b -> b.ejected).count();
    }

    /**
     * Returns whether a server is avoided while attempts in its zone failed recently and none succeeded
     * since.
     */
    public boolean isServerHeldOut(String id) {
        return servers.containsKey(id) && servers.get(id).isHeldOut();
    }

    /** Returns whether attempts in a zone fail more often than not. */
    public boolean isZoneFailing(int zone) {
        return zoneErrors.getOrDefault(zone, 0.0) > 0.5;
    }

    @Override
    public void clock(long at, long ahead) {
        now = at;
        clockOffset = ahead;
    }

    /** Returns 0 for a small fleet, 1 for a large one, and a value between them in between. */
    private double fleetFactor() {
        return Math.max(0, Math.min(1, (cfg.siblings() - SMALL_FLEET) / (LARGE_FLEET - SMALL_FLEET)));
    }

    /** Returns how many customers and servers are kept in memory. */
    int trackedCount() {
        return customers.size() + servers.size();
    }

    /**
     * A pending call to the counter.
     *
     * @param window number of the counting window that the call names
     * @param job the request that waits for the answer; null if none
     * @param at when the call was made
     * @param pool whether it asks for units of the ceiling's pool instead of adding use to the quota's count
     */
    private record Call(Customer customer, long window, double amount, Job job, long at, boolean pool) {}

    /** Hashes neighbouring numbers to values spread over the whole range of long. */
    private static long mix(long value) {
        return new SplittableRandom(value).nextLong();
    }

    /** A customer's quota and ceiling as this gateway knows them. */
    private final class Customer {
        private final long key;
        /** Length of a counting window of the quota, in nanoseconds. */
        private final long period;
        /**
         * Shift of the customer's windows, so that windows of different customers begin at different times.
         */
        private final long periodOffset;

        private final Plan plan;
        /** How many gateways this customer's requests come through. */
        private final int gatewayCount;

        private final int planIndex;
        /** Whether its use is counted together with other gateways. */
        private final boolean shared;
        /** Number of the present counting window. */
        private long window = Long.MIN_VALUE;
        /** When the token buckets were last brought up to date. */
        private long refilledAt;
        /** When a total last came from the counter. */
        private long heardAt;

        private long nextPushAt;
        private long usedAt;
        /** This gateway's part of the present window's count. */
        private double ownCount;
        /** The other gateways' part of the present window's count. */
        private double othersCount;
        /** Estimate of the units left in the quota's token bucket. */
        private double quotaTokens;
        /** Average use of the other gateways, in units a second. */
        private double othersRate;
        /** Use of the other gateways that was subtracted in advance since the last total. */
        private double predictedUse;
        /** Use that was not reported to the counter yet. */
        private double unreported;
        /** Units left of the part of the ceiling that this gateway holds. */
        private double ceilingTokens;

        /** Whether the quota is divided among the gateways, for want of totals. */
        private boolean divided;
        /** Unfinished requests with at least one attempt sent. */
        private int started;

        /** Unfinished requests. */
        private int jobs;

        private int pendingCallCount;
        /** Units a second of the ceiling that are this gateway's own. */
        private final double ownCeilingRate;
        /** The burst of the ceiling that is this gateway's own. */
        private final double ownCeilingBurst;
        /** Units that the pool grants to all gateways in one of its windows. */
        private final double poolLimit;
        /** Length of the pool's windows, in nanoseconds; 0 without a pool. */
        private final long poolPeriod;

        private long poolWindow;
        /** Units granted in the pool's present window, as last reported. */
        private double poolUsed;

        Customer(long key, int plan, int setSize) {
            this.key = key;
            planIndex = plan;
            this.plan = cfg.plans().get(planIndex);
            gatewayCount = Math.max(1, Math.min(setSize, cfg.siblings()));
            shared = gatewayCount > 1 && cfg.counter().present();
            quotaTokens = this.plan.burst();
            // A steady customer uses just one burst in the time that refills one, so the total of one window is
            // enough for a gateway that knows nothing of it. Windows of different customers begin at different
            // times.
            double full = this.plan.rate() > 0 ? quotaTokens / this.plan.rate() : 1;
            period = (long) (Math.min(30, Math.max(1, full)) * SECOND);
            periodOffset = Math.floorMod(mix(key), period);
            // If the whole ceiling were divided, each gateway would start with none of it, and what one does
            // not need would be lost to the others. So a part is a pool, drawn before the send. In n windows,
            // which last more than (n - 2) window lengths, and over one loss of the counter, (n + 1) times
            // poolLimit are granted: with 3 poolLimit + divided burst = burst the ceiling is kept.
            double ceilingBurst = this.plan.ceilingBurst();
            double ceilingRate = this.plan.ceilingRate();
            boolean pooled = cfg.counter().present() && ceilingRate > 0 && ceilingBurst > 0 && fleetFactor() > 0;
            double ownPart = pooled ? 1 - POOLED_PART * fleetFactor() : 1;
            ownCeilingRate = ceilingRate * ownPart / gatewayCount;
            ownCeilingBurst = ceilingBurst * ownPart / gatewayCount;
            // No window is longer than its name is kept: a count forgotten within it would be granted again.
            poolPeriod = pooled ? (long) (Math.min(COUNT_LIFETIME_S, ceilingBurst / ceilingRate / 3) * SECOND) : 0;
            poolLimit = ceilingRate * (1 - ownPart) * poolPeriod * NANO;
            // A restarted gateway cannot know what it used under the ceiling, so it starts with none of it.
            refilledAt = createdAt;
            heardAt = now - 2 * period;
            // Reports are spread in time: sent together they would overflow the counter's queue.
            nextPushAt = now + random.nextLong(PUSH_INTERVAL);
        }

        void refill() {
            double seconds = (now - refilledAt) * NANO;
            refilledAt = now;
            // Between totals the others are taken to go on as before; without totals the rate is divided.
            double predicted = seconds
                    * Math.min(
                            plan.rate() * (divided ? 1 - 1.0 / gatewayCount : 1), divided ? plan.rate() : othersRate);
            predictedUse += predicted;
            quotaTokens = Math.min(plan.burst(), quotaTokens + seconds * plan.rate() - predicted);
            ceilingTokens = Math.min(ownCeilingBurst / processes, ceilingTokens + seconds * ownCeilingRate / processes);
        }

        /**
         * Returns whether the customer is idle with full buckets, so that it may be forgotten. New customers
         * keep coming, many of them only once, and the map would grow without bound.
         */
        boolean isExpired() {
            long idle = now - Math.max(usedAt, heardAt);
            if (jobs + pendingCallCount > 0 || idle < 2 * period + RETENTION || customersToPush.contains(this)) {
                return false;
            }
            refill();
            boolean full = idle * NANO * plan.rate() >= plan.burst() && ceilingTokens >= ownCeilingBurst / processes;
            if (full) {
                dropUnreported();
            }
            return full;
        }

        /**
         * Decides immediately on a recent total; otherwise reports the units first and decides on the new total.
         */
        void admit(Job job) {
            refill();
            double units = job.request.units();
            // The ceiling holds whatever the others do: each keeps to its part unless it is granted more.
            if (plan.ceilingRate() > 0 && ceilingTokens < units) {
                if (!requestPoolGrant(job, units - ceilingTokens)) {
                    refuse(job, (units - ceilingTokens) / ownCeilingRate);
                }
                return;
            }
            admitUnderCeiling(job, units);
        }

        /**
         * Asks the counter for more units under the ceiling; false if that is impossible or not worth a call.
         */
        private boolean requestPoolGrant(Job job, double missing) {
            // A request that the quota would refuse anyway is not worth a call.
            boolean spent = plan.rate() > 0 && quotaTokens < 0 && !divided && plan.beyondEarns() <= plan.beyondCosts();
            boolean late = now + 2 * cfg.counter().timeout() >= job.aimAt();
            if (poolPeriod < SECOND / 10 || spent || late) {
                return false;
            }
            long index = Math.floorDiv(now + clockOffset + periodOffset, poolPeriod);
            if (poolWindow != index) {
                poolUsed = 0;
            }
            poolWindow = index;
            if (poolUsed + missing > poolLimit || !takeCallToken(2)) {
                return false;
            }
            double amount = Math.ceil(Math.max(missing, poolLimit / gatewayCount) * 1e6) * 1e-6;
            long name = mix(mix(~key) + index) >>> 1;
            Call call = new Call(this, index, amount, job, now, true);
            job.pendingCall = call;
            pendingCalls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
            pendingCallCount++;
            actions.count(key, name, amount, 2 * poolPeriod);
            return true;
        }

        /** Adds what was left in the pool's window to the ceiling, up to the amount that was asked for. */
        private void applyPoolGrant(Call call, double total) {
            long index = Math.floorDiv(now + clockOffset + periodOffset, poolPeriod);
            if (call.window != poolWindow || call.window != index) {
                return;
            }
            // A total that lacks counts seen before is not used: a counter that was emptied knows less.
            poolUsed = Math.max(total, poolUsed + call.amount);
            ceilingTokens += Math.max(0, Math.min(call.amount, poolLimit - (poolUsed - call.amount)));
        }

        private void admitUnderCeiling(Job job, double units) {
            ceilingTokens -= units;
            take(units);
            job.charged = true;
            job.inQuota = true;
            boolean costly = plan.rate() > 0 && plan.beyondEarns() <= plan.beyondCosts();
            boolean outdated = costly && now - heardAt > period / 4 && shared && !counterSilent;
            // Scarce calls go where most can be lost and where own traffic says least about the others. A
            // repeat counts for less, as it follows a refusal.
            double stake = job.spec.worth()
                    * plan.price()
                    * plan.beyondCosts()
                    * units
                    * gatewayCount
                    / cfg.siblings()
                    * (job.request.repeat() ? 0.3 : 1);
            meanStake += 0.02 * (stake - meanStake);
            stake /= Math.max(1e-9, meanStake);
            boolean first = cfg.counter().first() && shared && plan.rate() > 0 && !counterSilent;
            if (first || outdated && now + 2 * cfg.counter().timeout() < job.aimAt() && takeCallToken(stake)) {
                callCounter(job);
            } else {
                divideQuota();
                boolean doubtful = divided && job.request.repeat() && plan.burst() / gatewayCount < units;
                decide(job, doubtful ? Double.MAX_VALUE : othersReserve());
            }
        }

        /**
         * Divides the quota among the gateways if no total came within a window. A part keeps room for one
         * largest request: a smaller one would refuse every request of a customer that comes rarely.
         */
        private void divideQuota() {
            if (gatewayCount <= 1 || now - heardAt <= period) {
                return;
            }
            if (!divided && quotaTokens > 0) {
                quotaTokens = Math.max(
                        quotaTokens / gatewayCount,
                        Math.min(quotaTokens, cfg.counter().largest()));
            }
            divided = true;
        }

        /** Returns what the others may have used but not reported, as reports are up to a second late. */
        private double othersReserve() {
            return othersRate * OTHERS_RESERVE_TIME * NANO;
        }

        private void decide(Job job, double reserve) {
            double units = job.request.units();
            job.inQuota = plan.rate() <= 0 || quotaTokens >= reserve;
            if (!job.inQuota) {
                take(-units);
            }
            if (job.inQuota || plan.beyondEarns() > plan.beyondCosts()) {
                enqueue(job);
            } else {
                refuse(job, (units - quotaTokens) / plan.rate());
            }
        }

        private void refuse(Job job, double retryAfter) {
            actions.refuse(job.request.id(), retryAfterNanos(retryAfter));
            finish(job);
        }

        void take(double units) {
            if (plan.rate() > 0) {
                charged[planIndex] = Math.max(0, 0.99 * charged[planIndex] + units);
                reportedUnits[planIndex] *= 0.99;
                addUnreported(units);
                quotaTokens -= units;
            }
        }

        /** Adds use that was not reported to the counter yet. */
        void addUnreported(double units) {
            // Use that is not shared is never reported, and is void once the bucket had time to refill.
            if (!shared && now - usedAt >= period) {
                dropUnreported();
            }
            unreported += units;
            usedAt = now;
            if (shared) {
                customersToPush.add(this);
            }
            actions.useChanged(key, planIndex, gatewayCount, units);
        }

        private void dropUnreported() {
            if (unreported != 0) {
                actions.useChanged(key, planIndex, gatewayCount, -unreported);
            }
            unreported = 0;
        }

        /** Reports fresh use to the counter, more often while the quota runs low. */
        void push() {
            boolean fresh = Math.abs(unreported) > 1e-6 && now - usedAt < period && shared;
            if (!fresh) {
                dropUnreported();
                customersToPush.remove(this);
            } else if (now >= nextPushAt && takeCallToken(1)) {
                callCounter(null);
            }
        }

        private void callCounter(Job job) {
            // All gateways must name the window alike, so it follows the clock that the machines share.
            long index = Math.floorDiv(now + clockOffset + periodOffset, period);
            if (window != index) {
                ownCount = othersCount = 0;
            }
            window = index;
            double amount = Math.rint(unreported * 1e6) * 1e-6;
            reportedUnits[planIndex] += amount;
            nextPushAt = now + (quotaTokens < plan.burst() / 2 ? PUSH_INTERVAL : SECOND);
            unreported = 0;
            long name = mix(mix(key) + index) >>> 1;
            Call call = new Call(this, window, amount, job, now, false);
            if (job != null) {
                job.pendingCall = call;
            }
            pendingCalls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
            pendingCallCount++;
            actions.count(key, name, amount, 2 * period);
        }

        void counted(Call call, Outcome outcome, double total) {
            pendingCallCount--;
            refill();
            if (call.pool) {
                if (outcome == Outcome.OK) {
                    applyPoolGrant(call, total);
                }
                resume(call, outcome == Outcome.OK);
                return;
            }
            if (outcome.provesNeverRan()) {
                unreported += call.amount;
                reportedUnits[planIndex] -= call.amount;
                customersToPush.add(this);
            } else if (call.window == window) {
                // Without an answer it may have been added; if it was not, the next total looks like lost
                // counts.
                ownCount += call.amount;
            }
            if (outcome == Outcome.OK && call.window == window) {
                applyTotal(call, total);
            }
            resume(call, outcome == Outcome.OK);
        }

        private void resume(Call call, boolean answered) {
            Job job = call.job;
            // A pool call that ends after it was given up must not admit its request a second time while that
            // waits for the quota's call.
            if (job == null || job.pendingCall != call) {
                return;
            }
            job.pendingCall = null;
            if (job.abandoned) {
                finish(job);
            } else if (call.pool) {
                double units = job.request.units();
                if (ceilingTokens < units || job.isTooLate()) {
                    refuse(job, (units - ceilingTokens) / ownCeilingRate);
                } else {
                    admitUnderCeiling(job, units);
                }
            } else {
                if (!answered) {
                    divideQuota();
                }
                decide(job, answered ? 0 : othersReserve());
            }
        }

        private void applyTotal(Call call, double total) {
            double othersNow = total - ownCount;
            // The counter lost counts: its total holds only what was added since the loss.
            if (othersNow < -1e-3 || othersNow < othersCount - plan.burst() / 2) {
                ownCount = call.amount;
                othersCount = 0;
                othersNow = Math.max(0, total - call.amount);
            }
            // Where calls are scarce only part of the use is reported; the others are taken to report the
            // same part as this gateway.
            double prior = 2 * cfg.counter().largest();
            double part = (Math.max(0, reportedUnits[planIndex]) + prior) / (charged[planIndex] + prior);
            if (now - heardAt > period) {
                // The estimate is older than a window: a full bucket less the window's total is more
                // accurate.
                quotaTokens = plan.burst() - ownCount - unreported;
                predictedUse = 0;
            }
            double othersUse = (othersNow - othersCount) / Math.min(1, Math.max(0.1, part));
            othersCount = othersNow;
            divided = false;
            long since = Math.max(heardAt, window * period - periodOffset - clockOffset);
            double seconds = Math.max(0.05, (now - since) * NANO);
            heardAt = now;
            double rate = Math.max(0, Math.min(othersUse / seconds, 2 * plan.rate()));
            othersRate += (1 - Math.exp(-seconds / OTHERS_MEMORY_S)) * (rate - othersRate);
            // What was sent beyond the quota took nothing from the bucket, so it cannot be far below zero.
            quotaTokens = Math.max(
                    Math.min(plan.burst(), quotaTokens - othersUse + predictedUse),
                    -cfg.counter().largest());
            predictedUse = 0;
        }
    }

    /** A request that was accepted and is not yet finished. */
    private final class Job {
        private final Request request;
        private final Customer customer;
        private final Flow flow;
        /** The class as it was when the request came: changed settings apply to later requests. */
        private final RequestClass spec;

        private int attemptLimit = cfg.limits().maxAttempts();
        private final long arrivedAt = now;
        private final double virtualArrival = virtualTime;
        /** Whether its units were taken from the ceiling. */
        private boolean charged;
        /** Whether its units were taken from the quota. */
        private boolean inQuota;
        /** Whether it is in its customer's {@link Customer#started}. */
        private boolean started;
        /** Whether the client has left, so that no answer is owed. */
        private boolean abandoned;
        /** The call whose answer the request waits for; null if none. */
        private Call pendingCall;

        private int attempts;
        /** The server of the attempt in flight; null if none. */
        private Backend backend;

        private long sentAt;
        /** When the first attempt that may have run was sent; 0 if none may have. */
        private long mayHaveRunSince;
        /** The server of that attempt; its group knows the key. */
        private Backend keyBackend;

        Job(Request request, Customer customer, Flow flow) {
            this.request = request;
            this.customer = customer;
            this.flow = flow;
            spec = flow.spec;
        }

        double worth() {
            double part = inQuota ? 1 : customer.plan.beyondEarns() - customer.plan.beyondCosts();
            return spec.worth() * customer.plan.price() * part;
        }

        long aimAt() {
            return Math.min(arrivedAt + spec.aim(), request.deadline());
        }

        /**
         * Returns whether the plan's limit on concurrency allows a start. The other gateways' number is
         * unknown, so the limit is divided among them, with at least one for each.
         */
        boolean mayStart() {
            int planLimit = customer.plan.maxConcurrent();
            return planLimit <= 0 || customer.started < Math.max(1, planLimit / customer.gatewayCount);
        }

        /**
         * Returns whether it is too late to send the request for the first time and be answered within its
         * aim.
         */
        boolean isTooLate() {
            // The estimate is capped: one that let no request be sent would get no answers to correct it.
            double estimate = Math.min(SERVICE_TIME_MARGIN * flow.serviceTime, MAX_PART_OF_AIM * spec.aim() * NANO);
            long needed = attempts == 0 ? (long) (estimate * relativeSize() * SECOND) : 0;
            return now + Math.max(needed, 2 * TICK_INTERVAL + cfg.tick()) >= aimAt();
        }

        double cost() {
            return flow.serviceTime * relativeSize();
        }

        private double relativeSize() {
            return Math.max(0.3, Math.min(3, request.units() / Math.max(1e-9, flow.units)));
        }
    }

    /**
     * A class of requests in the fair queue: its requests, share and tags, and figures of the last interval.
     */
    private final class Flow {
        private RequestClass spec;
        private final ArrayDeque<Job> queue = new ArrayDeque<>();
        private double share;
        private double finishTag;
        /** Average service time, in seconds. */
        private double serviceTime;

        /** Average units of a request. */
        private double units = 1;

        /** Average of a request's price times its units. */
        private double price = 1;
        /** Sum of the latencies in this interval, in seconds. */
        private double latencySum;
        /** Sum of the times in the queue in this interval, in seconds. */
        private double waitSum;

        private int arrivals;
        /** Requests answered well in this interval. */
        private int served;
        /** For each zone the part of this class that goes there, in thousandths; null without a plan. */
        private int[] zoneParts;
        /** For each zone the part that may overflow there, in thousandths; null for none. */
        private int[] overflowParts;

        /** Whether no server could be chosen for it in this round of {@link #dispatch}. */
        private boolean blocked;

        private final List<Double> serviceTimes = new ArrayList<>();

        Flow(RequestClass spec) {
            this.spec = spec;
            serviceTime = spec.aim() * NANO / 8;
        }

        /**
         * Returns the start tag of the head, computed at release so that a changed share affects queued
         * requests.
         */
        double startTag() {
            return Math.max(head().virtualArrival, finishTag);
        }

        Job head() {
            for (Job job : queue) {
                if (job.mayStart()) {
                    return job;
                }
            }
            return null;
        }

        void observe(Job job, Result result) {
            double seconds = result.took() * NANO;
            if (result.outcome() == Outcome.OK) {
                served++;
                serviceTime += 0.02 * (seconds - serviceTime);
                units += 0.02 * (job.request.units() - units);
                price += 0.02 * (job.customer.plan.price() * job.request.units() - price);
                latencySum += (now - job.arrivedAt) * NANO;
                waitSum += (job.sentAt - job.arrivedAt) * NANO;
                serviceTimes.add(seconds);
            } else if (!NOT_LOAD_RELATED.contains(result.outcome())) {
                // A failure counts as slow, never as fast: errors must not raise the concurrency level.
                serviceTimes.add(Math.max(seconds, 2 * spec.aim() * NANO));
            }
        }
    }

    /** Answers queued requests that are too late, anywhere in the queue as deadlines differ. */
    private void answerExpired(ArrayDeque<Job> waiting) {
        if (waiting.isEmpty()) {
            return;
        }
        for (Job job : List.copyOf(waiting)) {
            if (job.isTooLate()) {
                waiting.remove(job);
                giveUp(job);
            }
        }
    }

    /**
     * Refuses the least valuable requests of a queue that, by Little's law, cannot be answered within its
     * aim.
     */
    private void shedLoad(Flow flow) {
        if (inFlight < controller.level || flow.queue.size() <= 1) {
            return;
        }
        double backlogged = 0;
        for (Flow other : flows) {
            backlogged += other.queue.isEmpty() ? 0 : other.share;
        }
        double rate = controller.level / flow.serviceTime * flow.share / Math.max(MIN_SHARE, backlogged);
        double budget = Math.max(flow.spec.aim() * NANO - 2 * flow.serviceTime, flow.spec.aim() * NANO / 4);
        while (flow.queue.size() > 1 && flow.queue.size() / rate > budget) {
            Job least = flow.queue.peek();
            for (Job job : flow.queue) {
                least = job.worth() <= least.worth() ? job : least;
            }
            flow.queue.remove(least);
            giveUp(least);
        }
    }

    /** Sends queued requests in the order of their start tags while fewer than the level are in flight. */
    private void dispatch() {
        if (listEmptySince > 0 && now - listEmptySince >= EMPTY_LIST_GRACE) {
            // The list has been empty too long for a mistake: waiting longer would only cost clients time.
            for (Flow flow : flows) {
                while (!flow.queue.isEmpty()) {
                    giveUp(flow.queue.poll());
                }
            }
        }
        for (Flow flow : flows) {
            flow.blocked = false;
        }
        while (inFlight < controller.level && now >= pauseUntil) {
            Flow next = null;
            for (Flow flow : flows) {
                boolean may = !flow.blocked && !flow.queue.isEmpty() && flow.head() != null;
                next = may && (next == null || flow.startTag() < next.startTag()) ? flow : next;
            }
            if (next == null) {
                return;
            }
            Job job = next.head();
            if (job.isTooLate()) {
                next.queue.remove(job);
                giveUp(job);
                continue;
            }
            Backend backend = chooseBackend(job, null);
            // With a zone plan no server may be left for this class while other classes still have some.
            next.blocked = backend == null;
            if (next.blocked && next.zoneParts == null) {
                return;
            }
            if (next.blocked) {
                continue;
            }
            double start = next.startTag();
            next.queue.remove(job);
            virtualTime = start;
            next.finishTag = start + 1 / next.share;
            send(job, backend);
        }
    }

    /**
     * The paper's control law, u(k) = (B0'W'WB0 + Q'Q)^-1 (B0'W'W(yref - r) + Q'Q u(k-1)), with W and Q
     * diagonal.
     *
     * @param b0 B0, the effect of the inputs on the outputs
     * @param w W, the weights of the outputs
     * @param q the diagonal of Q, the penalty on changes of the inputs
     * @param yref the reference outputs
     * @param r the outputs that the model predicts for zero inputs
     * @param last u(k-1), the present inputs
     */
    static SimpleMatrix controlLaw(
            SimpleMatrix b0, SimpleMatrix w, double q, SimpleMatrix yref, SimpleMatrix r, SimpleMatrix last) {
        SimpleMatrix bw = b0.transpose().mult(w.transpose()).mult(w);
        SimpleMatrix left =
                bw.mult(b0).plus(SimpleMatrix.identity(last.getNumRows()).scale(q * q));
        return left.solve(bw.mult(yref.minus(r)).plus(last.scale(q * q)));
    }

    /** Clips shares to {@link #MIN_SHARE} at least and rescales them to the sum 1. */
    static double[] rescale(double[] shares) {
        double[] clipped = Arrays.stream(shares)
                .map(u -> Double.isFinite(u) ? Math.max(MIN_SHARE, Math.min(1, u)) : MIN_SHARE)
                .toArray();
        double sum = Arrays.stream(clipped).sum();
        return Arrays.stream(clipped).map(u -> u / sum).toArray();
    }

    private static SimpleMatrix column(double... values) {
        return new SimpleMatrix(values.length, 1, true, values);
    }

    /** The share loop, the slower concurrency loop and the optimizer that sets the references. */
    private final class Controller {
        /** Number of classes. */
        private final int count = flows.length;

        private final RecursiveLeastSquares shareModel = new RecursiveLeastSquares(2 * count, 3 * count);
        private final RecursiveLeastSquares levelModel;
        /** Outputs y of the last interval: for each class the requests served, then the inverse latencies. */
        private double[] lastY;

        /** Inverse latency of the last interval. */
        private double lastInverse;
        /** The level of the last interval, as a part of the limit. */
        private double lastLevel;
        /** Change of the inverse latency in the last interval. */
        private double lastChange;
        /** Requests answered well in an interval, averaged. */
        private double meanServed = 1;
        /** How many requests may be in flight; below 1 it is kept on average. */
        private double level = 1;
        /** Upper bound of the level by the operator's limit. */
        private double levelLimit = 1;
        /** Whether the level was reached in this interval. */
        private boolean levelReached;

        /**
         * Starts with shares in proportion to worth; the level's loop continues from {@code before}, if not
         * null.
         */
        Controller(Controller before) {
            levelModel = before == null ? new RecursiveLeastSquares(1, 2) : before.levelModel;
            if (before != null) {
                lastInverse = before.lastInverse;
                lastLevel = before.lastLevel;
                lastChange = before.lastChange;
                meanServed = before.meanServed;
                level = before.level;
                levelLimit = before.levelLimit;
            }
            double sum = Math.max(
                    1e-9,
                    Arrays.stream(flows).mapToDouble(flow -> flow.spec.worth()).sum());
            setShares(Arrays.stream(flows)
                    .mapToDouble(flow -> flow.spec.worth() / sum)
                    .toArray());
        }

        private void setShares(double[] shares) {
            double[] rescaled = rescale(shares);
            for (int i = 0; i < count; i++) {
                flows[i].share = rescaled[i];
            }
        }

        private double[] shares() {
            return Arrays.stream(flows).mapToDouble(flow -> flow.share).toArray();
        }

        void boundLevel() {
            double before = levelLimit;
            double part = Math.max(MIN_LEVEL, MAX_IN_FLIGHT_PER_SERVER * readyBackends.size() / cfg.siblings());
            levelLimit = part > 1 ? Math.rint(part) : part;
            level = levelModel.updates() == 0 || level >= before ? levelLimit : Math.min(level, levelLimit);
        }

        void endInterval() {
            double total = Arrays.stream(flows).mapToInt(flow -> flow.served).sum();
            meanServed += 0.2 * (Math.max(1, total) - meanServed);
            double[] y = new double[2 * count];
            double[] observed = new double[2 * count];
            for (int i = 0; i < count; i++) {
                Flow flow = flows[i];
                boolean active = flow.served > 0;
                y[i] = flow.served / meanServed;
                double inverse = flow.spec.aim() * NANO * flow.served / Math.max(1e-6, flow.latencySum);
                y[count + i] = active ? Math.min(1, inverse / INVERSE_SCALE) : lastY == null ? 0 : lastY[count + i];
                observed[i] = active ? y[i] : Double.NaN;
                observed[count + i] = active ? y[count + i] : Double.NaN;
            }
            if (lastY != null && total > 0) {
                shareModel.update(regressor(lastY, shares()), observed);
            }
            lastY = y;
            if (shareModel.updates() >= 3 * count) {
                updateShares(y, observed);
            }
            updateLevel();
            for (Flow flow : flows) {
                flow.arrivals = flow.served = 0;
                flow.latencySum = flow.waitSum = 0;
                flow.serviceTimes.clear();
            }
        }

        private SimpleMatrix regressor(double[] y, double[] shares) {
            double[] phi = Arrays.copyOf(y, 3 * count);
            System.arraycopy(shares, 0, phi, 2 * count, count);
            return column(phi);
        }

        /**
         * Returns the worth a second of class i that the model y = r + B0 s predicts, with late answers
         * discounted.
         */
        private double utility(SimpleMatrix r, SimpleMatrix b0, double[] s, int i, double grant) {
            double[] tried = s.clone();
            tried[i] += grant;
            SimpleMatrix x = r.plus(b0.mult(column(tried)));
            Flow flow = flows[i];
            double served = Math.min(Math.max(0, x.get(i)) * meanServed, flow.arrivals);
            double late = flow.spec.lateValue();
            double timely = late + (1 - late) * (1 - Math.exp(-INVERSE_SCALE * Math.max(0, x.get(count + i))));
            return flow.spec.worth() * flow.price * served * timely;
        }

        /** Computes the references yref by the greedy optimizer of the paper's figure 4, for one gateway. */
        private SimpleMatrix optimize(SimpleMatrix r, SimpleMatrix b0) {
            double[] s = new double[count];
            double[] current = new double[count];
            Arrays.fill(current, Double.NEGATIVE_INFINITY);
            double step = Math.max(MIN_SHARE, 1 / Math.max(1, meanServed));
            for (double granted = 0; granted < 1 - 1e-9; ) {
                int best = 0;
                double bestGain = Double.NEGATIVE_INFINITY;
                double bestGrant = step;
                for (int i = 0; i < count; i++) {
                    double grant = step;
                    while (utility(r, b0, s, i, grant) <= current[i] && granted + grant <= 1) {
                        grant += step;
                    }
                    grant = granted + grant > 1 ? step : grant;
                    double gain = (utility(r, b0, s, i, grant) - Math.max(0, current[i])) / grant;
                    if (gain > bestGain) {
                        best = i;
                        bestGain = gain;
                        bestGrant = grant;
                    }
                }
                s[best] += bestGrant;
                granted += bestGrant;
                current[best] = utility(r, b0, s, best, 0);
            }
            return r.plus(b0.mult(column(rescale(s))));
        }

        private void updateShares(double[] y, double[] observed) {
            double[] u = shares();
            SimpleMatrix b0 = shareModel.parameters().cols(2 * count, 3 * count).copy();
            SimpleMatrix r = shareModel.predict(regressor(y, new double[count]));
            SimpleMatrix w = new SimpleMatrix(2 * count, 2 * count);
            double maxWorth = Arrays.stream(flows)
                    .mapToDouble(flow -> flow.spec.worth() * flow.price)
                    .max()
                    .orElse(1);
            for (int i = 0; i < 2 * count; i++) {
                if (b0.get(i, i % count) <= 0) {
                    // Noise, or an input that never varied: until the fit has the expected sign, the output
                    // is taken to be proportional to the share.
                    for (int j = 0; j < count; j++) {
                        b0.set(i, j, j == i % count ? y[i] / u[j] : 0);
                    }
                    r.set(i, 0, 0);
                }
                Flow flow = flows[i % count];
                double weight = Math.sqrt(flow.spec.worth() * flow.price / Math.max(1e-9, maxWorth));
                w.set(i, i, Double.isNaN(observed[i]) ? 0 : weight);
            }
            setShares(controlLaw(b0, w, Q_SHARE, optimize(r, b0), r, column(u))
                    .getDDRM()
                    .getData());
        }

        /**
         * Sets the concurrency level so that slow answers, the 90th percentile, of the class with the
         * shortest aim come within the aim less the time in the queue.
         */
        private void updateLevel() {
            Flow tightest = Arrays.stream(flows)
                    .filter(flow -> !flow.serviceTimes.isEmpty())
                    .min(Comparator.comparingLong(flow -> flow.spec.aim()))
                    .orElse(null);
            if (tightest == null) {
                return;
            }
            double[] sorted =
                    tightest.serviceTimes.stream().mapToDouble(x -> x).sorted().toArray();
            double aim = tightest.spec.aim() * NANO;
            double inverse = aim / sorted[(int) (0.9 * (sorted.length - 1))];
            double u = level / levelLimit;
            if (lastInverse > 0 && levelReached && u != lastLevel) {
                levelModel.update(column(lastChange, u - lastLevel), inverse - lastInverse);
            }
            lastChange = lastInverse > 0 ? inverse - lastInverse : 0;
            lastLevel = u;
            double wait = tightest.waitSum / Math.max(1, tightest.served);
            // The model is fitted on changes, as a constant level carries no information. Until the fit has
            // the expected sign, Little's law gives the slope: latency is proportional to requests in flight.
            double fit = levelModel.parameters().cols(1, 2).get(0);
            SimpleMatrix b0 = column(levelModel.updates() >= 3 && fit < 0 ? fit : -inverse / u);
            SimpleMatrix yref = column(aim / Math.max(aim / 4, aim - wait));
            SimpleMatrix r = column(inverse - b0.get(0) * u);
            SimpleMatrix current = column(u);
            // A level that was not reached carries no information; it drifts back to the operator's limit.
            u = levelReached
                    ? controlLaw(b0, column(1), Q_LEVEL, yref, r, current).get(0)
                    : (u + 1) / 2;
            lastInverse = inverse;
            levelReached = false;
            u = Double.isFinite(u) ? Math.max(MIN_LEVEL, Math.min(1, u)) : 1;
            level = u * levelLimit > 1 ? Math.rint(u * levelLimit) : u * levelLimit;
        }
    }

    /** A server as this gateway knows it. */
    private final class Backend {
        private final String id;
        private Server entry;
        private boolean ready;
        /** Whether it is avoided, as its error rate is above one half. */
        private boolean ejected;
        /** Whether the last attempt failed for another reason than a full server. */
        private boolean lastFailed;

        private final LinkedHashSet<Job> outstanding = new LinkedHashSet<>();
        /** Average latency, as a multiple of what the requests should take. */
        private double latency;

        private double errorRate;
        private double load;
        private long heardAt = now;
        /** When its allowance as a cold server was last drawn. */
        private long coldAt = now;

        private long reportedAt = createdAt;
        /** When it left the server list; 0 while it is listed. */
        private long goneAt;

        Backend(Server entry) {
            id = entry.id();
            this.entry = entry;
            latency = kindLatency.getOrDefault(entry.kind(), 1.0);
            errorRate = zoneErrors.getOrDefault(entry.zone(), 0.0);
        }

        void markGone() {
            ready = false;
            goneAt = goneAt > 0 ? goneAt : now;
        }

        boolean isExpired() {
            return goneAt > 0 && now - goneAt >= RETENTION && outstanding.isEmpty();
        }

        /**
         * Returns whether it is avoided and its zone failed recently; without attempts it may have recovered.
         */
        boolean isHeldOut() {
            return ejected
                    && lastFailed
                    && now - zoneFailedAt.getOrDefault(entry.zone(), now - HOLD_OUT_TIME) < HOLD_OUT_TIME;
        }

        boolean isCold() {
            return entry.startedAt() > 0
                    && now - entry.startedAt() < cfg.rules().coldDuration();
        }

        double capacityPart() {
            double age = Math.max(0, now - entry.startedAt())
                    / (double) Math.max(1, cfg.rules().coldDuration());
            return cfg.rules().coldFrom() + (1 - cfg.rules().coldFrom()) * Math.min(1, age);
        }

        /** Decays the own average to that of its kind or zone with the time since the last answer. */
        private double decayed(double own, double typical) {
            return typical + (own - typical) * Math.exp(-(now - heardAt) * NANO / SERVER_MEMORY_S);
        }

        double currentErrorRate() {
            return decayed(errorRate, zoneErrors.getOrDefault(entry.zone(), 0.0));
        }

        boolean groupedWith(Job job) {
            Server other = job.keyBackend.entry;
            return job.spec.group() == Group.ZONE ? entry.zone() == other.zone() : entry.cell() == other.cell();
        }

        double score() {
            double expected = decayed(latency, kindLatency.getOrDefault(entry.kind(), 1.0));
            if (!outstanding.isEmpty()) {
                // An overdue answer shows a slow server before the attempt ends.
                Job oldest = outstanding.iterator().next();
                expected = Math.max(expected, (now - oldest.sentAt) * NANO / oldest.cost() / 2);
            }
            double safe = 1 - Math.min(0.97, currentErrorRate());
            double weight = cfg.sizesAreWeights() && entry.size() > 0 ? entry.size() : 1;
            expected *= 1 + (load - meanLoad) / (1 + meanLoad) * Math.exp(-(now - reportedAt) * NANO / REPORT_MEMORY_S);
            double score = expected * (1 + outstanding.size() / weight) / (safe * safe);
            return entry.zone() == cfg.zone() ? score : score * 1.05;
        }

        void recordResult(Job job, Result result) {
            outstanding.remove(job);
            Outcome outcome = result.outcome();
            if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
                return;
            }
            boolean ok = outcome == Outcome.OK;
            // A fast failure must not count as low latency.
            double ratio = Math.min(20, result.took() * NANO / job.cost());
            ratio = ok ? ratio : Math.max(3, ratio);
            double failure = ok ? 0 : outcome == Outcome.FULL ? 0.5 : 1;
            // One gateway of many gets few answers from each server, so it uses those of similar servers too.
            double peerWeight = 2 * LATENCY_WEIGHT / Math.max(1, readyBackends.size());
            kindLatency.merge(entry.kind(), ratio, (average, one) -> average + peerWeight * (one - average));
            zoneErrors.merge(
                    entry.zone(), peerWeight * failure, (average, one) -> average + peerWeight * (failure - average));
            latency = decayed(latency, kindLatency.get(entry.kind()));
            errorRate = currentErrorRate();
            heardAt = now;
            lastFailed = !ok && outcome != Outcome.FULL;
            zoneFailedAt.compute(entry.zone(), (zone, at) -> lastFailed ? (Long) now : ok ? null : at);
            if (ok) {
                recentBackends[recentCount++ % RECENT_BACKENDS] = this;
            }
            latency += LATENCY_WEIGHT * (ratio - latency);
            errorRate += (outcome == Outcome.CONNECT_FAILED ? 1 : ok ? ERROR_WEIGHT : 2 * ERROR_WEIGHT)
                    * (failure - errorRate);
            if (ejected != errorRate > 0.5) {
                ejected = !ejected;
                actions.log((ejected ? "server shunned: " : "server back: ") + id + " after " + outcome);
            }
        }
    }

    /**
     * Returns the servers to choose from: the group that drops repeats of a bound request, else a random
     * sample. If all gateways ranked all servers, a few servers would get most of the requests.
     */
    private List<Backend> candidates(Job job, boolean bound, Backend[] from) {
        if (bound) {
            return readyBackends.stream().filter(b -> b.groupedWith(job)).toList();
        }
        int wanted = Math.max(2, CANDIDATE_FACTOR * readyBackends.size() / cfg.siblings());
        int all = from.length;
        if (wanted >= all) {
            return from == sampled ? readyBackends : Arrays.asList(from);
        }
        List<Backend> sample = new ArrayList<>(wanted + RECENT_BACKENDS);
        for (int i = 0; i < wanted; i++) {
            // A partial Fisher-Yates shuffle.
            int j = i + random.nextInt(all - i);
            Backend drawn = from[j];
            from[j] = from[i];
            from[i] = drawn;
            sample.add(drawn);
        }
        for (Backend b : recentBackends) {
            boolean inScope = from == sampled || b != null && b.entry.zone() == from[0].entry.zone();
            if (b != null && b.ready && inScope) {
                sample.add(b);
            }
        }
        return sample;
    }

    /** Chooses a server, with a plan only in the zones that it names; null if none may be used now. */
    private Backend chooseBackend(Job job, Backend failed) {
        RequestClass spec = job.spec;
        boolean bound = job.mayHaveRunSince > 0 && spec.repeat() == Repeat.KEYED && spec.group() != Group.ALL;
        if (bound || job.flow.zoneParts == null) {
            return fastest(job, candidates(job, bound, sampled));
        }
        int[] left = job.flow.zoneParts.clone();
        Backend best = failed == null && job.flow.overflowParts != null ? chooseOverflow(job) : null;
        for (int zone; best == null && (zone = drawZone(left, failed == null ? -1 : failed.entry.zone())) >= 0; ) {
            best = fastest(job, candidates(job, false, backendsIn(zone)));
            left[zone] = 0;
        }
        return best;
    }

    private Backend[] backendsIn(int zone) {
        return backendsByZone.computeIfAbsent(
                zone,
                z -> readyBackends.stream().filter(b -> b.entry.zone() == z).toArray(Backend[]::new));
    }

    private boolean isHeldOut(int zone) {
        return Arrays.stream(backendsIn(zone)).allMatch(Backend::isHeldOut);
    }

    /**
     * Chooses a server of another zone while the own zone is held out; null if the request stays with its
     * parts. A fifth of the overflow that the plan allows is used at first, and twice as much each second.
     */
    private Backend chooseOverflow(Job job) {
        ownZoneOutSince = !isHeldOut(cfg.zone()) ? 0 : ownZoneOutSince > 0 ? ownZoneOutSince : now;
        double ramp = Math.min(1, 0.2 * Math.pow(2, (now - ownZoneOutSince) * NANO));
        double point = random.nextDouble() / ramp;
        int zone = -1;
        while (point >= 0 && ++zone < job.flow.overflowParts.length) {
            point -= job.flow.overflowParts[zone] / 1e3;
        }
        return ownZoneOutSince == 0 || point >= 0 || isHeldOut(zone)
                ? null
                : fastest(job, candidates(job, false, backendsIn(zone)));
    }

    /** Draws a zone by the parts that are left, {@code avoid} only if no other has any; -1 if none has. */
    private int drawZone(int[] left, int avoid) {
        int others = 0;
        int zone = -1;
        for (int i = 0; i < left.length; i++) {
            others += i == avoid ? 0 : left[i];
        }
        if (others == 0) {
            return avoid >= 0 && avoid < left.length && left[avoid] > 0 ? avoid : -1;
        }
        for (int point = random.nextInt(others); point >= 0; ) {
            point -= ++zone == avoid ? 0 : left[zone];
        }
        return zone;
    }

    /** Returns the candidate that is expected to answer first; null if none may be used now. */
    private Backend fastest(Job job, List<Backend> candidates) {
        Backend best = null;
        double bestScore = Double.MAX_VALUE;
        for (Backend b : candidates) {
            // A random factor, as gateways that know nothing yet must not all choose the first of the list.
            double score = b.score() * (1 + 0.1 * random.nextDouble());
            if (score < bestScore && (!b.isCold() || admitsCold(b, job))) {
                best = b;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Draws at random whether a cold server takes a request, so that all gateways together send it a warm
     * server's work times its present part of capacity, and never a burst.
     */
    private boolean admitsCold(Backend b, Job job) {
        int warm = 0;
        for (Backend other : readyBackends) {
            warm += other.isCold() ? 0 : 1;
        }
        if (2 * warm >= readyBackends.size()) {
            warmWork = sentWork / warm;
        }
        // Few warm servers say little about all: use what one took when most were warm, but half a request in
        // flight over all gateways at least.
        double known = Math.max(warmWork, 0.5 / cfg.siblings());
        double maxPart = warmWork > 0 ? Math.max(1, cfg.rules().overloadFactor()) * known : Double.MAX_VALUE;
        double part = warm > 0 ? Math.min(sentWork / warm, maxPart) : known;
        double work = part * b.capacityPart() * (now - b.coldAt) * NANO;
        b.coldAt = now;
        return random.nextDouble() * job.cost() < work;
    }

    private void send(Job job, Backend backend) {
        sentWork = sentWork * Math.exp(-(now - sentWorkAt) * NANO / 4) + job.cost() / 4;
        sentWorkAt = now;
        if (job.attempts == 0) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_RATIO);
        }
        job.customer.started += job.started ? 0 : 1;
        job.started = true;
        job.attempts++;
        job.backend = backend;
        job.sentAt = now;
        backend.outstanding.add(job);
        inFlight++;
        if (inFlight >= controller.level) {
            controller.levelReached = true;
        }
        long startWithin = startWithin(job);
        if (startWithin == Long.MAX_VALUE) {
            actions.send(job.request.id(), backend.id, attemptTimeout(job));
        } else {
            actions.send(job.request.id(), backend.id, attemptTimeout(job), startWithin);
        }
    }

    /**
     * Returns for how long an attempt may begin: a keyed one that may have run, only while its key is known.
     */
    private long startWithin(Job job) {
        boolean bound = job.spec.repeat() == Repeat.KEYED && job.mayHaveRunSince > 0;
        return bound ? job.mayHaveRunSince + job.spec.keyWindow() - MAX_PROCESS_PAUSE - now : Long.MAX_VALUE;
    }

    /** Returns the timeout of an attempt: no longer than an answer is worth anything. */
    private long attemptTimeout(Job job) {
        long until = job.spec.lateValue() <= 0 ? job.aimAt() : job.request.deadline();
        return Math.max(MS, until - now);
    }

    /** Whether another attempt would be made if the present one failed now, having perhaps run. */
    public boolean wouldRetry(long at, String id) {
        now = at;
        Job job = jobs.get(id);
        return job != null
                && !job.abandoned
                && (job.spec.repeat() == Repeat.SAFE
                        || job.spec.repeat() == Repeat.KEYED
                                && now
                                        < (job.mayHaveRunSince > 0 ? job.mayHaveRunSince : job.sentAt)
                                                + job.spec.keyWindow()
                                                - MAX_PROCESS_PAUSE)
                && mayRetry(job, false);
    }

    private boolean mayRetry(Job job, boolean neverRan) {
        RequestClass spec = job.spec;
        boolean mayRepeat = job.mayHaveRunSince == 0
                || spec.repeat() == Repeat.SAFE
                || spec.repeat() == Repeat.KEYED && startWithin(job) > 0;
        boolean inTime = now + (long) (job.flow.serviceTime * SECOND / 2) < job.aimAt();
        return mayRepeat && inTime && retryTokens >= (neverRan ? 0 : 1) && job.attempts < job.attemptLimit;
    }

    /** Retries after an attempt that did not complete the request, or gives the final answer. */
    private void retryOrGiveUp(Job job, Backend failed, boolean neverRan) {
        double tokens = neverRan ? 0 : 1;
        boolean retry = mayRetry(job, neverRan);
        // Failures in one zone must not flood the plan's other zones: each move to one costs a retry token.
        Backend avoided = retryTokens >= 1 ? failed : null;
        Backend backend = retry ? chooseBackend(job, avoided) : null;
        if (backend == null) {
            giveUp(job);
        } else {
            boolean changesZone = job.flow.zoneParts != null && backend.entry.zone() != failed.entry.zone();
            retryTokens = Math.max(0, retryTokens - (changesZone ? 1 : tokens));
            send(job, backend);
        }
    }

    /**
     * Answers a request that is not served: refused if it surely had no effect or may be repeated, else
     * failed.
     */
    private void giveUp(Job job) {
        RequestClass spec = job.spec;
        if (job.mayHaveRunSince == 0
                || spec.repeat() == Repeat.SAFE
                || spec.repeat() == Repeat.KEYED && spec.group() == Group.ALL) {
            // By Little's law, the time until all that is queued now will have been sent.
            Flow flow = job.flow;
            actions.refuse(
                    job.request.id(), retryAfterNanos(flow.serviceTime * (1 + flow.queue.size() / controller.level)));
        } else {
            actions.fail(job.request.id());
        }
        finish(job);
    }

    /**
     * Returns when to try again, in nanoseconds, up to the longest time that clients respect. It is given
     * even if the settings do not promise that clients read it: others are no worse off, and a client that
     * returns immediately finds the same queue.
     */
    private long retryAfterNanos(double seconds) {
        return (long) Math.max(0, Math.min(cfg.limits().maxRetryAfter(), seconds * SECOND));
    }

    /** Forgets a finished request; its units are given back if it was never sent. */
    private void finish(Job job) {
        if (jobs.remove(job.request.id()) == null) {
            return;
        }
        job.customer.jobs--;
        if (job.attempts == 0 && job.charged) {
            job.customer.ceilingTokens += job.request.units();
            if (job.inQuota) {
                job.customer.take(-job.request.units());
            }
        }
        job.customer.started -= job.started ? 1 : 0;
    }
}
