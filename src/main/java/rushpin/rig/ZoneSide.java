package rushpin.rig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import rushpin.judge.AccordEvent.Agreed;
import rushpin.judge.AccordEvent.Planned;
import rushpin.judge.Accords;
import rushpin.judge.Breach;
import rushpin.judge.Judge;
import rushpin.judge.Records.Attempt;
import rushpin.judge.Records.Exchange;
import rushpin.judge.Zones;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;
import rushpin.rig.TogetherFleet.Shape;

/**
 * One side of {@link ZonesScenario}: zones of app servers, edge nodes in each as real processes that decide in one way,
 * clients of each, and what is done to them. The other sides are made alike from the same seed.
 */
final class ZoneSide implements AutoCloseable {
    static final String POOL = "yard", PLANNER = "planner";
    /** One server's work at a time, its line, and what a request takes: 12 requests a second, when it is warm. */
    private static final AppServer.Work WORK =
            new AppServer.Work(1, 8, 60_000, 100_000, RigConfig.KEY_WINDOW_MS * 1_000_000);

    private static final int SERVERS = 2, VOTERS = 3, CUSTOMERS = 10;
    private static final long LEASE_MS = 3_000, EFFECT_MS = 1_000;
    /** Requests a second that enter at each process: half of what its zone can do. */
    private static final double RATE = 6;
    /** An attempt that is under way takes no longer to its server than a connection may, a delay on the link included. */
    private static final long OUT = 2_000_000_000L;
    /** How often a zone can be left in an hour where each time it is held back for 10 s, twice as long with each relapse. */
    private static final int LEAVES = 12;
    /** Whoever can hear is told a plan within its lease, or has no session any more. */
    private static final long LAG = 2 * LEASE_MS * 1_000_000;
    /** What one sum may find by chance once in so many. */
    private static final double ODDS = 1e-9;

    /** What was seen in a span. */
    record Seen(int asked, int served, int pushed, int first, int near, int moves) {
        static Seen sum(Seen one, Seen other) {
            return new Seen(
                    one.asked + other.asked,
                    one.served + other.served,
                    one.pushed + other.pushed,
                    one.first + other.first,
                    one.near + other.near,
                    one.moves + other.moves);
        }
    }

    final String name;
    final Yard yard = new Yard();
    final TogetherFleet fleet;
    private final Shape shape;
    private final List<RigConfig.Plan> plans = new ArrayList<>();
    private final Map<Member, Load> loads = new LinkedHashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final List<Zones.Trouble> troubles = new ArrayList<>();
    /** Zones at fault, and since when. */
    private final Map<String, Long> open = new TreeMap<>();

    private volatile double rate = RATE;

    ZoneSide(String name, boolean agrees, int processes, long seed) throws Exception {
        this.name = name;
        // Customers of each process are of a plan by its name, which says afterwards where a request came in.
        for (int i = 0; i < processes; i++) {
            plans.add(new RigConfig.Plan("n" + i, 1_000, 2_000, 0, 0, 0));
        }
        shape = new Shape(processes, VOTERS, LEASE_MS, EFFECT_MS, List.of(POOL), agrees);
        yard.pool(POOL, TogetherFleet.ZONES, SERVERS, WORK, seed);
        yard.servers(POOL).forEach(server -> zones.put(server.id, server.zone));
        fleet = new TogetherFleet(yard, shape, plans, seed);
        for (Member member : fleet.members) {
            loads.put(
                    member,
                    new Load(
                            yard.loop(),
                            new Load.Group(
                                    POOL,
                                    POOL + ".example.org",
                                    "/api?slot=1",
                                    0.35,
                                    CUSTOMERS,
                                    member.name,
                                    4_000,
                                    80,
                                    false),
                            fleet.front(member),
                            yard.records,
                            seed + member.number));
        }
    }

    boolean agrees() {
        return shape.agrees();
    }

    /** Starts the processes, and then the clients. */
    void begin() throws Exception {
        fleet.all(fleet.members, Member::start);
        if (agrees()) {
            fleet.await("all have sessions and the planner's plan", () -> fleet.isWell(PLANNER));
        }
        loads.values().forEach(load -> load.rate(rate));
    }

    /** Ends the clients and waits for the last answers. */
    void end() throws Exception {
        loads.values().forEach(load -> load.rate(0));
        for (Load load : loads.values()) {
            load.settle();
        }
        for (String zone : List.copyOf(open.keySet())) {
            over(zone, "");
        }
        yard.end();
    }

    /** So many times the usual load from now on. */
    void load(double times) {
        rate = times * RATE;
        loads.values().forEach(load -> load.rate(rate));
    }

    List<Member> in(String zone) {
        return fleet.members.stream().filter(member -> member.zone.equals(zone)).toList();
    }

    private List<AppServer> servers(String zone) {
        return yard.servers(POOL).stream()
                .filter(server -> server.zone.equals(zone))
                .toList();
    }

    private void begins(String zone, String process) {
        open.put(zone + "/" + process, System.nanoTime());
    }

    private void over(String zone, String process) {
        String key = zone.contains("/") ? zone : zone + "/" + process;
        Long from = open.remove(key);
        if (from != null) {
            int cut = key.indexOf('/');
            // Servers that refuse have no record of what was sent there: the first attempt that is seen may be a retry.
            troubles.add(new Zones.Trouble(key.substring(cut + 1), key.substring(0, cut), from, System.nanoTime()));
        }
    }

    /** A zone's servers take no connection and break those they have. */
    void dies(String zone) {
        begins(zone, "");
        servers(zone).forEach(AppServer::refuse);
    }

    /** They are back; cold, and said to be so, or as they were. */
    void returns(String zone, boolean cold) throws Exception {
        for (AppServer server : servers(zone)) {
            if (cold) {
                server.restart();
            }
            server.open();
            if (cold) {
                yard.discovery(POOL).set(server, "Ready", System.currentTimeMillis());
            }
        }
        if (!cold) {
            over(zone, "");
        }
        // A cold zone takes less than its part for as long as it warms: the trouble lasts to the end of the play.
    }

    /** A zone's servers take so many times as long; 1 for as usual. */
    void slower(String zone, double times) {
        if (times > 1) {
            begins(zone, "");
        }
        servers(zone).forEach(server -> server.slower(times));
        if (times <= 1) {
            over(zone, "");
        }
    }

    /** A zone's servers fail one class; null for none. */
    void fails(String zone, String className) {
        if (className != null) {
            begins(zone, "");
        }
        servers(zone).forEach(server -> server.fails(className));
        if (className == null) {
            over(zone, "");
        }
    }

    /** What is between a process and a zone's servers. */
    void way(Member member, String zone, Way way) throws Exception {
        if (way != Way.THROUGH) {
            begins(zone, member.name);
        }
        fleet.links.set(member.name, Yard.zone(zone), way);
        if (way == Way.THROUGH) {
            over(zone, member.name);
        }
    }

    /** No client comes to a process while it is away. */
    void away(Member member, boolean away) {
        loads.get(member).rate(away ? 0 : rate);
    }

    /** The process that plans, or the one that stands for it where none does. */
    Member planner() throws Exception {
        return agrees() ? fleet.await("a planner", () -> fleet.holder(PLANNER)) : fleet.members.get(0);
    }

    /** The plans agreed so far, in order, each once. */
    List<Agreed> agreed() {
        Map<Long, Agreed> all = new TreeMap<>();
        fleet.seen().forEach(one -> {
            if (one.event() instanceof Agreed plan) {
                all.putIfAbsent(plan.number(), plan);
            }
        });
        return List.copyOf(all.values());
    }

    /** A plan's part of what enters in a zone, of a class, that goes to a zone; thousandths. Without a way all stays near. */
    static int part(Agreed plan, String from, String of, String to) {
        int found = from.equals(to) ? 1_000 : 0;
        boolean own = false;
        for (var way : plan.ways()) {
            if (way.from().equals(from) && (way.of().equals(of) || way.of().isEmpty() && !own)) {
                own = way.of().equals(of);
                found = way.parts().getOrDefault(to, 0);
            }
        }
        return found;
    }

    /** Waits until all who are there go by a plan, later than a moment, as is asked for; when the last of them did. */
    long await(String what, long after, Predicate<Agreed> plan) throws Exception {
        long[] at = new long[1];
        fleet.await(what, () -> (at[0] = inForce(after, plan)) > 0);
        return at[0];
    }

    /** Waits until all who are there go by the newest plan, and that is as is asked for; when the last of them did. */
    long awaitNow(String what, Predicate<Agreed> plan) throws Exception {
        long[] at = new long[1];
        fleet.await(what, () -> {
            List<Agreed> all = agreed();
            Agreed last = all.isEmpty() ? null : all.get(all.size() - 1);
            return last != null && plan.test(last) && (at[0] = inForce(last.at() - 1, last::equals)) > 0;
        });
        return at[0];
    }

    private long inForce(long after, Predicate<Agreed> asked) {
        long number = agreed().stream()
                .filter(plan -> plan.at() > after && asked.test(plan))
                .mapToLong(Agreed::number)
                .findFirst()
                .orElse(Long.MAX_VALUE);
        long last = 0;
        for (Member member : fleet.members) {
            if (member.isAlive() && fleet.isConnected(member)) {
                long at = fleet.said(member.run(), Planned.class).stream()
                        .filter(plan -> plan.number() >= number)
                        .mapToLong(Planned::at)
                        .findFirst()
                        .orElse(0);
                if (at == 0) {
                    return 0;
                }
                last = Math.max(last, at);
            }
        }
        return last;
    }

    /** What was asked for in a span. */
    Seen seen(long from, long until) {
        int asked = 0, served = 0, near = 0;
        Map<String, String> entered = new HashMap<>();
        for (Exchange one : yard.records.exchanges()) {
            if (one.at() >= from && one.at() < until) {
                entered.put(one.id(), zone(one.plan()));
                asked++;
                served += one.status() == 200 ? 1 : 0;
            }
        }
        Set<String> tried = new HashSet<>();
        for (Attempt one : attempts()) {
            String zone = entered.get(one.id());
            if (zone != null && tried.add(one.id()) && zone.equals(zones.get(one.server()))) {
                near++;
            }
        }
        int pushed = (int) yard.records.falls().stream()
                .filter(fall -> fall.at() >= from && fall.at() < until)
                .count();
        int moves = 0;
        Agreed before = null;
        for (Agreed plan : agreed()) {
            moves += plan.at() >= from
                            && plan.at() < until
                            && before != null
                            && !parts(plan).equals(parts(before))
                    ? 1
                    : 0;
            before = plan;
        }
        return new Seen(asked, served, pushed, tried.size(), near, moves);
    }

    private static List<Map<String, Integer>> parts(Agreed plan) {
        return plan.ways().stream().map(way -> way.parts()).toList();
    }

    private String zone(String process) {
        return fleet.members.stream()
                .filter(member -> member.name.equals(process))
                .findFirst()
                .orElseThrow()
                .zone;
    }

    /** In the order in which they reached servers. */
    private List<Attempt> attempts() {
        return yard.records.attempts().stream()
                .sorted(Comparator.comparingLong(Attempt::first))
                .toList();
    }

    /** What the rules of plans find; after the end. */
    List<Breach<Zones.Rule>> judged() {
        Map<String, Exchange> exchanges = new HashMap<>();
        yard.records.exchanges().forEach(one -> exchanges.put(one.id(), one));
        Set<String> tried = new HashSet<>();
        List<Zones.Sent> sent = new ArrayList<>();
        for (Attempt one : attempts()) {
            Exchange asked = exchanges.get(one.id());
            Member member = fleet.members.stream()
                    .filter(each -> each.name.equals(asked.plan()))
                    .findFirst()
                    .orElseThrow();
            Accords.Run by = member.runs.stream()
                    .filter(run -> run.endedAt() > one.first() - OUT)
                    .findFirst()
                    .orElseThrow();
            sent.add(new Zones.Sent(
                    by,
                    POOL,
                    member.zone,
                    POOL + "." + asked.kind(),
                    zones.get(one.server()),
                    one.first(),
                    tried.add(one.id())));
        }
        return Zones.judge(
                new Zones.Bounds(OUT, LAG, LEAVES, ODDS), fleet.accords.said(), sent, troubles, System.nanoTime());
    }

    /** What the rules of what is decided in common find; after the end. */
    List<Breach<Accords.Rule>> accords() {
        return fleet.accords.judge(shape.bounds(), List.of());
    }

    /** What the five rules find; after the end. */
    List<Judge.Breach> rules() {
        return Judge.judge(yard.records, RigConfig.rules(plans));
    }

    @Override
    public void close() throws Exception {
        fleet.close();
        yard.close();
    }
}
