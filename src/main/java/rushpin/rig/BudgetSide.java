package rushpin.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import rushpin.judge.AccordEvent.Permitted;
import rushpin.judge.Accords;
import rushpin.judge.Breach;
import rushpin.judge.Connections;
import rushpin.judge.Judge;
import rushpin.judge.Records.Attempt;
import rushpin.judge.Records.Exchange;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;
import rushpin.rig.TogetherFleet.Shape;

/**
 * One group of app servers that takes a number of connections, edge nodes as real processes that divide it, and for each
 * tenant and each process clients of its own.
 */
final class BudgetSide implements AutoCloseable {
    static final String POOL = "yard", PLANNER = "planner", DIVIDER = "divider";
    static final long MS = 1_000_000L;
    /** What servers bear in silence, the least that may be said; no request takes longer. */
    static final long HALF_OPEN_MS = 2_000, LONGEST_MS = 4_000;
    /** The lease of those that name none. */
    static final long LEASE_MS = 3_000;

    /**
     * Spans in milliseconds.
     *
     * @param lease of sessions
     * @param effect the longest pause of a process that is waited for
     * @param forget for so long who is cut off keeps its own part
     */
    record Spans(long lease, long effect, long forget) {
        /** So long after a process's last renewal it carries by its own part alone. */
        long alone() {
            return lease + LONGEST_MS;
        }
    }

    /** Servers of a zone: the module lets so much out to each that one process could use all connections. */
    private static final int SERVERS = 3;

    private static final int SHOWN = 40;
    private static final int VOTERS = 3, CUSTOMERS = 20;
    /** Servers bear far more than they are let: their connections are what is scarce. */
    private static final AppServer.Work WORK =
            new AppServer.Work(256, 256, 300_000, 400_000, RigConfig.KEY_WINDOW_MS * MS);
    /** What a request takes of a connection, on average. */
    private static final double WORK_S = 0.35;

    private static final int HALVINGS = 40;
    /** Of two requests on a connection the second one waits until it has rested, and for its client's node. */
    private static final double USE = 0.5;

    private static final long WINDOW = 1_000 * MS, SLACK = 50 * MS, LATE = 1_000 * MS;

    /** A tenant's floor and weight. */
    record Tenant(String name, int floor, int weight) {}

    final Yard yard = new Yard();
    final TogetherFleet fleet;
    final GroupDoor door = new GroupDoor(HALF_OPEN_MS * MS);
    final Spans spans;
    private final Shape shape;
    private final List<Tenant> tenants;
    private final int reserve;
    private final List<RigConfig.Plan> plans = new ArrayList<>();
    private final Map<Member, Map<String, Load>> loads = new LinkedHashMap<>();
    private final Map<String, Map<Member, Double>> rates = new HashMap<>();
    private final List<Connections.Number> numbers = new ArrayList<>();
    private final List<Connections.Asked> asked = new ArrayList<>();
    private final List<Connections.Trouble> troubles = new ArrayList<>();
    private final Map<String, Long> asks = new HashMap<>();
    private int most;

    /** {@code reserve} is for pauses that are longer than what is waited for. */
    BudgetSide(int processes, int most, int reserve, Spans spans, List<Tenant> tenants, long seed) throws Exception {
        this.spans = spans;
        this.most = most;
        this.reserve = reserve;
        this.tenants = tenants;
        tenants.forEach(tenant -> plans.add(new RigConfig.Plan(tenant.name, 100_000, 200_000, 0, 0, 0)));
        shape = new Shape(processes, VOTERS, spans.lease, spans.effect, List.of(POOL), true, group(most));
        yard.pool(POOL, TogetherFleet.ZONES, SERVERS, WORK, seed);
        yard.servers(POOL).forEach(server -> server.joins(door));
        fleet = new TogetherFleet(yard, shape, plans, seed);
        for (Member member : fleet.members) {
            for (Tenant tenant : tenants) {
                loads.computeIfAbsent(member, none -> new LinkedHashMap<>())
                        .put(
                                tenant.name,
                                new Load(
                                        yard.loop(),
                                        new Load.Group(
                                                POOL,
                                                POOL + ".example.org",
                                                "/api?slot=1",
                                                0.2,
                                                CUSTOMERS,
                                                tenant.name,
                                                (int) LONGEST_MS - 100,
                                                200,
                                                false),
                                        fleet.front(member),
                                        yard.records,
                                        seed * 31 + loads.size() * 7L + tenant.name.hashCode()));
            }
        }
        numbers.add(new Connections.Number(System.nanoTime(), most));
    }

    private String group(int number) {
        StringBuilder text = new StringBuilder("[[fleet.group]]\nname = \"" + POOL + "\"\nmost-connections = " + number
                + "\nreserve = " + reserve + "\nown = 1\nhalf-open-ms = " + HALF_OPEN_MS + "\nforget-ms = "
                + spans.forget
                + "\nlongest-ms = " + LONGEST_MS + "\n");
        for (Tenant tenant : tenants) {
            text.append("[[fleet.group.tenant]]\nname = \"")
                    .append(tenant.name)
                    .append("\"\nfloor = ")
                    .append(tenant.floor)
                    .append("\nweight = ")
                    .append(tenant.weight)
                    .append("\n");
        }
        return text.toString();
    }

    /** How many connections may be given to processes. */
    int divided() {
        return most - reserve;
    }

    /** Starts the processes, and waits until each has its part. */
    void begin() throws Exception {
        fleet.all(fleet.members, Member::start);
        await("all have sessions and the planner's plan", () -> fleet.isWell(PLANNER));
        await(
                "all have parts",
                () -> fleet.members.stream().allMatch(member -> permit(member).most() > 0));
    }

    /** A tenant's requests a second at a process from now on. */
    void load(String tenant, Member at, double rate) {
        rates.computeIfAbsent(tenant, none -> new HashMap<>()).put(at, rate);
        loads.get(at).get(tenant).rate(rate);
    }

    /** The same at each process. */
    void load(String tenant, double rate) {
        fleet.members.forEach(member -> load(tenant, member, rate));
    }

    /** No client comes to a process while it is away. */
    void away(Member member, boolean isAway) {
        loads.get(member)
                .forEach((tenant, load) -> load.rate(
                        isAway ? 0 : rates.getOrDefault(tenant, Map.of()).getOrDefault(member, 0.0)));
    }

    /** A tenant asks for more than its floor of connections from now on, until {@link #askedEnough}. */
    void asksForMore(String tenant) {
        asks.put(tenant, System.nanoTime());
    }

    void askedEnough() {
        long now = System.nanoTime();
        asks.forEach((tenant, from) -> asked.add(new Connections.Asked(
                tenant,
                tenants.stream()
                        .filter(each -> each.name.equals(tenant))
                        .findFirst()
                        .orElseThrow()
                        .floor,
                from,
                now)));
        asks.clear();
    }

    /** The last permit that a running process said; nothing for none. */
    Permitted permit(Member member) {
        List<Permitted> said = fleet.said(member.run(), Permitted.class);
        return said.isEmpty() ? new Permitted(POOL, 0, 0, 0, 0) : said.get(said.size() - 1);
    }

    /** The parts of those that run, by their last word. */
    int parts(List<Member> some) {
        return some.stream()
                .filter(Member::isAlive)
                .mapToInt(member -> permit(member).most())
                .sum();
    }

    /** Lowers or raises the number in all files; a lower one counts from when it is {@link #settled}, for which the caller waits. */
    void number(int next) throws Exception {
        // When all have heard of a lower one and closed what is over is a matter of the machine's speed.
        numbers.add(new Connections.Number(next < most ? Long.MAX_VALUE : System.nanoTime(), next));
        most = next;
        fleet.group(group(next));
    }

    /** From this moment on the lowered number must hold: all processes have said that they keep to it. */
    void settled() {
        Connections.Number last = numbers.remove(numbers.size() - 1);
        numbers.add(new Connections.Number(Math.min(last.from(), System.nanoTime()), last.most()));
    }

    /** What is done to a process, under whose requests connections may end. */
    void trouble(long from) {
        // The servers hear of it a little later.
        troubles.add(new Connections.Trouble(from, System.nanoTime() + LATE));
    }

    /** Cuts a process from the servers, or from the others, or lets all pass again. */
    void apart(Member member, Way fromOthers, Way fromServers) throws Exception {
        fleet.apart(member, fromOthers);
        for (String zone : TogetherFleet.ZONES) {
            fleet.links.set(member.name, Yard.zone(zone), fromServers);
        }
    }

    /** Ends the clients and waits for the last answers. */
    void end() throws Exception {
        askedEnough();
        for (Map<String, Load> each : loads.values()) {
            each.values().forEach(load -> load.rate(0));
        }
        for (Map<String, Load> each : loads.values()) {
            for (Load load : each.values()) {
                load.settle();
            }
        }
        yard.end();
    }

    /** What each tenant's requests used at the servers. */
    Map<String, List<Connections.Carried>> carried() {
        Map<String, String> plan = new HashMap<>();
        for (Exchange one : yard.records.exchanges()) {
            plan.put(one.id(), one.plan());
        }
        Map<String, List<Connections.Carried>> all = new HashMap<>();
        for (Attempt one : yard.records.attempts()) {
            String tenant = plan.get(one.id());
            if (tenant != null) {
                all.computeIfAbsent(tenant, none -> new ArrayList<>())
                        .add(new Connections.Carried(tenant, one.first(), one.until()));
            }
        }
        return all;
    }

    /** How many connections carried a request of each tenant on average in a span. */
    Map<String, Double> use(long from, long until) {
        Map<String, List<Connections.Carried>> all = carried();
        Map<String, Double> use = new TreeMap<>();
        tenants.forEach(tenant ->
                use.put(tenant.name, Connections.use(all.getOrDefault(tenant.name, List.of()), from, until)));
        return use;
    }

    /**
     * By how much the tenant that is the furthest below the exact weighted max-min of what is asked for now is below it, by
     * what it used.
     */
    double below(Map<String, Double> use) {
        Map<String, Double> wanted = new HashMap<>();
        tenants.forEach(tenant -> wanted.put(
                tenant.name,
                WORK_S
                        * rates.getOrDefault(tenant.name, Map.of()).entrySet().stream()
                                .filter(each -> each.getKey().isAlive())
                                .mapToDouble(Map.Entry::getValue)
                                .sum()));
        double
                sum =
                        Math.min(
                                divided(),
                                wanted.values().stream()
                                        .mapToDouble(each -> each)
                                        .sum()),
                low = 0,
                high = divided();
        for (int i = 0; i < HALVINGS; i++) {
            double level = (low + high) / 2;
            boolean isEnough = tenants.stream()
                            .mapToDouble(tenant -> exact(tenant, wanted, level))
                            .sum()
                    >= sum;
            low = isEnough ? low : level;
            high = isEnough ? level : high;
        }
        double level = high;
        return tenants.stream()
                .mapToDouble(tenant -> exact(tenant, wanted, level) - use.get(tenant.name))
                .max()
                .orElse(0);
    }

    private static double exact(Tenant tenant, Map<String, Double> wanted, double level) {
        return Math.min(wanted.get(tenant.name), Math.max(tenant.floor, level * tenant.weight));
    }

    /** How long a tenant's requests of a span waited until a server had their heads, nanoseconds, in order. */
    long[] waits(String tenant, long from, long until) {
        Map<String, Long> first = new HashMap<>();
        yard.records.attempts().forEach(one -> first.merge(one.id(), one.first(), Math::min));
        return yard.records.exchanges().stream()
                .filter(one -> one.plan().equals(tenant)
                        && one.at() >= from
                        && one.at() < until
                        && first.containsKey(one.id()))
                .mapToLong(one -> first.get(one.id()) - one.at())
                .sorted()
                .toArray();
    }

    /** Waits until as many are open at the group as asked; when that was seen. */
    long awaitOpen(int least) throws Exception {
        await(least + " open", () -> door.open() >= least);
        return System.nanoTime();
    }

    List<Breach<Connections.Rule>> judged() {
        Connections.Bounds bounds = new Connections.Bounds((LONGEST_MS + 3 * spans.lease) * MS, WINDOW, USE, SLACK);
        return Connections.judge(bounds, door.opens(), door.under(), numbers, asked, carried(), troubles);
    }

    /** What the rules of what is decided in common find; after the end. */
    List<Breach<Accords.Rule>> accords() {
        return fleet.accords.judge(shape.bounds(), List.of());
    }

    /** What the five rules find; after the end. */
    List<Judge.Breach> rules() {
        return Judge.judge(yard.records, RigConfig.rules(plans));
    }

    /** Waits until something is so; where it does not become so, prints what the processes said last. */
    void await(String what, BooleanSupplier so) throws Exception {
        try {
            fleet.await(what, so);
        } catch (TimeoutException e) {
            for (Member member : fleet.members) {
                List<String> lines = member.said().stream()
                        .filter(line -> !line.contains(" holds "))
                        .toList();
                lines.subList(Math.max(0, lines.size() - SHOWN), lines.size())
                        .forEach(line -> System.out.println(member + (member.isAlive() ? ": " : ", ended: ") + line));
            }
            throw e;
        }
    }

    /** Sleeps while clients go on. */
    static void pass(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
    }

    @Override
    public void close() throws Exception {
        fleet.close();
        yard.close();
    }
}
