package rushpin.membership.xds;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;

/**
 * A cluster and its endpoints as the one list that the pool knows: ready, draining or gone, with size, zone and start.
 * Only what has changed is told. No I/O; time is an argument; one thread at a time.
 *
 * <p>Bounds: the endpoints of one cluster, and {@value #MOST_LEFT} of those that updates took away, for
 * {@link Rules#remember}.
 */
public final class ClusterView {
    /**
     * The operator's rules.
     *
     * @param mostRemoved the part of the ready servers that one update may take away at once; 1 for all
     * @param guard nanoseconds for which an update that takes away more is held back; the next one counts at once
     * @param warming nanoseconds for which endpoints that never come are waited for
     * @param remember nanoseconds for which servers that went with a large update keep their start
     */
    public record Rules(double mostRemoved, long guard, long warming, long remember) {}

    /** What is to be told to the pool. */
    public interface Port {
        /** Changes to the list, or the whole list. */
        void list(ServerListUpdate roll, boolean whole);

        /** A line for the operators. */
        void log(String text);
    }

    /** An update that takes away so much at once is taken for a slip: what comes back is as it was. */
    private static final double LARGE = 0.5;
    /** However often a server replaces its whole list. */
    static final int MOST_LEFT = 20_000;

    private static final long MS = 1_000_000L;

    private record Left(Member member, long until) {}

    private final Names names;
    private final Rules rules;
    private final Port port;
    private final Map<String, Member> told = new LinkedHashMap<>();
    private final Map<String, Left> left = new HashMap<>();
    private ClusterSpec cluster;
    private Endpoints present, held;
    private boolean heard, stale;
    private long revision, heldUntil, freshUntil, warmUntil;
    private double norm = 1;

    /** Begins with the list as last known; nothing of that is new. */
    public ClusterView(Names names, Rules rules, List<Member> known, Port port) {
        this.names = names;
        this.rules = rules;
        this.port = port;
        known.forEach(member -> told.put(member.server().id(), member));
        heard = !known.isEmpty();
    }

    /** The cluster is so from now on; null if there is none. {@code wall} is Unix time, nanoseconds. */
    public void cluster(ClusterSpec next, long now, long wall) {
        boolean moved = next != null
                && cluster != null
                && next.edsName() != null
                && !next.edsName().equals(cluster.edsName());
        if (next == null && cluster != null) {
            port.log("cluster " + cluster.name() + " is there no more");
            cluster = null;
            propose(Endpoints.none(""), now, wall);
            return;
        }
        boolean first = cluster == null && next != null;
        cluster = next;
        if ((first || moved) && next.edsName() != null) {
            // Until its endpoints come, those that are known stay (warming).
            warmUntil = now + rules.warming;
        }
    }

    /** The endpoints are so from now on. */
    public void endpoints(Endpoints next, long now, long wall) {
        warmUntil = 0;
        propose(next, now, wall);
    }

    /** Time has passed: call it once a second or so. */
    public void time(long now, long wall) {
        if (held != null && now >= heldUntil) {
            port.log("no other update has come: what was held back is taken now");
            Endpoints taken = held;
            held = null;
            take(taken, now, wall);
        }
        if (warmUntil != 0 && now >= warmUntil) {
            warmUntil = 0;
            port.log("the endpoints of cluster " + cluster.name() + " do not come: it is taken to have none");
            take(Endpoints.none(cluster.name()), now, wall);
        }
        if (freshUntil != 0 && now >= freshUntil && !stale) {
            stale = true;
            port.log("endpoint_stale_after is over and no update has come: nothing new goes to these endpoints");
            tell(now, wall);
        }
        left.values().removeIf(one -> now >= one.until);
    }

    private void propose(Endpoints next, long now, long wall) {
        boolean second = held != null;
        held = null;
        if (!second && removes(next) > rules.mostRemoved && rules.guard > 0) {
            held = next;
            heldUntil = now + rules.guard;
            port.log(String.format(
                    java.util.Locale.ROOT,
                    "an update takes away %.0f%% of the ready servers, more than"
                            + " most-removed: held back for %d ms, or until the next one",
                    100 * removes(next),
                    rules.guard / MS));
            // A drain is no slip: it counts at once, whatever else the update says.
            drainWhatIsNamed(next, now, wall);
            return;
        }
        take(next, now, wall);
    }

    private void drainWhatIsNamed(Endpoints next, long now, long wall) {
        List<Member> changed = new ArrayList<>();
        for (Endpoints.Endpoint one : next.all()) {
            Member known = told.get(one.id());
            if (known != null && known.isReady() && one.readiness() == Readiness.DRAINING) {
                Member drained = with(known, Readiness.DRAINING);
                told.put(one.id(), drained);
                changed.add(drained);
            }
        }
        if (!changed.isEmpty()) {
            port.list(new ServerListUpdate(++revision, false, changed), false);
        }
    }

    private double removes(Endpoints next) {
        Set<String> staying = new LinkedHashSet<>();
        next.all().forEach(one -> staying.add(one.id()));
        int ready = 0, gone = 0;
        for (Member member : told.values()) {
            ready += member.isReady() ? 1 : 0;
            gone += member.isReady() && !staying.contains(member.server().id()) ? 1 : 0;
        }
        return ready == 0 ? 0 : gone / (double) ready;
    }

    private void take(Endpoints next, long now, long wall) {
        present = next;
        stale = false;
        freshUntil = next.staleAfter() > 0 ? now + next.staleAfter() : 0;
        tell(now, wall);
    }

    /** The lowest priority with a ready endpoint has all that is new; the others wait as draining ones do. */
    private static int chosen(Endpoints of) {
        int chosen = Integer.MAX_VALUE;
        for (Endpoints.Endpoint one : of.all()) {
            if (one.readiness() == Readiness.READY) {
                chosen = Math.min(chosen, one.priority());
            }
        }
        return chosen;
    }

    private void tell(long now, long wall) {
        int chosen = chosen(present);
        normalise(chosen);
        boolean large = removes(present) >= LARGE;
        Map<String, Member> next = new LinkedHashMap<>();
        List<Member> changed = new ArrayList<>();
        for (Endpoints.Endpoint one : present.all()) {
            boolean ready = one.readiness() == Readiness.READY && one.priority() == chosen && !stale;
            Member member = new Member(
                    new Server(
                            one.id(),
                            one.weight() / norm,
                            names.zones().indexOf(one.zone()),
                            one.cell(),
                            names.kinds().indexOf(one.kind()),
                            ready ? Readiness.READY : Readiness.DRAINING,
                            started(one, wall)),
                    one.address());
            next.put(one.id(), member);
            if (!member.equals(told.get(one.id()))) {
                changed.add(member);
            }
        }
        List<Member> gone = new ArrayList<>();
        for (Member before : told.values()) {
            if (!next.containsKey(before.server().id())) {
                gone.add(before.gone());
                if (large && before.isReady() && rules.remember > 0 && left.size() < MOST_LEFT) {
                    left.put(before.server().id(), new Left(before, now + rules.remember));
                }
            }
        }
        next.keySet().forEach(left::remove);
        told.clear();
        told.putAll(next);
        boolean first = !heard;
        heard = true;
        if (first) {
            port.list(new ServerListUpdate(++revision, true, List.copyOf(next.values())), true);
        } else if (!changed.isEmpty() || !gone.isEmpty()) {
            // What goes comes first: its address may be another's in the same update.
            gone.addAll(changed);
            port.list(new ServerListUpdate(++revision, false, gone), false);
        }
    }

    /** A size of 1 is the usual one. It is measured anew only when it is far off: one change must not be everybody's. */
    private void normalise(int chosen) {
        double sum = 0;
        int count = 0;
        for (Endpoints.Endpoint one : present.all()) {
            if (one.priority() == chosen) {
                sum += one.weight();
                count++;
            }
        }
        double mean = count == 0 ? norm : sum / count;
        if (mean < norm / 1.5 || mean > norm * 1.5) {
            norm = mean;
        }
    }

    /** As its metadata says; else as it was; else, on the first list of all, long ago, and from then on as of now. */
    private long started(Endpoints.Endpoint one, long wall) {
        if (one.started() >= 0) {
            return one.started();
        }
        Member known = told.get(one.id());
        if (known == null && left.containsKey(one.id())) {
            known = left.get(one.id()).member;
        }
        // Under another address it is another process, even by the old name.
        if (known != null && known.address().equals(one.address())) {
            return known.server().startedAt();
        }
        return heard ? wall : 0;
    }

    private static Member with(Member of, Readiness readiness) {
        Server s = of.server();
        return new Member(
                new Server(s.id(), s.size(), s.zone(), s.cell(), s.kind(), readiness, s.startedAt()), of.address());
    }

    /** How many that have left are remembered. */
    int remembered() {
        return left.size();
    }

    /** The list as it was told last. */
    public List<Member> members() {
        return List.copyOf(told.values());
    }

    /** The part of requests that is to be turned away, 0 to 1. */
    public double dropped() {
        return present == null ? 0 : present.dropped();
    }
}
