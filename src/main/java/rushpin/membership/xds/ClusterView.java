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
 * Converts an xDS cluster and its endpoints to the server list of a pool: ready, draining or gone, with size, zone and
 * start time. Only changes are reported. No I/O; time is passed in; not thread-safe.
 *
 * <p>Bounds: the endpoints of one cluster, and up to {@value #MAX_REMOVED} removed servers, each kept for
 * {@link Rules#remember}.
 */
public final class ClusterView {
    /**
     * The operator's rules.
     *
     * @param maxRemoved the largest part of the ready servers that one update may remove at once; 1 for all
     * @param guard nanoseconds for which an update that removes more is held back; the next update applies at once
     * @param warming nanoseconds to wait for the endpoints of a cluster before it is taken to have none
     * @param remember nanoseconds for which servers that a large update removed keep their start time
     */
    public record Rules(double maxRemoved, long guard, long warming, long remember) {}

    /** Receives the server list and log lines. */
    public interface Port {
        /** Reports the whole list, or changes to it. */
        void list(ServerListUpdate update, boolean whole);

        /** Writes a line for operators. */
        void log(String text);
    }

    /** A removal of at least this part of the ready servers may be a mistake: servers that return keep their start. */
    private static final double LARGE = 0.5;
    /** Bounds {@link #removed}, however often a management server replaces its whole list. */
    static final int MAX_REMOVED = 20_000;

    private static final long MS = 1_000_000L;

    private record Removed(Member member, long until) {}

    private final Names names;
    private final Rules rules;
    private final Port port;
    /** The list as last reported to the pool, by id. */
    private final Map<String, Member> reported = new LinkedHashMap<>();
    /** Servers that a large update removed, by id. */
    private final Map<String, Removed> removed = new HashMap<>();
    /** The cluster as last received; null if there is none. */
    private ClusterSpec cluster;
    /** The endpoints in force. */
    private Endpoints present;
    /** An update that the guard holds back; null for none. */
    private Endpoints held;
    /** Whether a list was ever reported, before the start of this process included. */
    private boolean hasReported;
    /** Whether {@code endpoint_stale_after} has passed without an update. */
    private boolean stale;

    private long revision;
    /** When the held update is applied. */
    private long heldUntil;
    /** When the endpoints become stale; 0 for never. */
    private long freshUntil;
    /** Until when endpoints are waited for; 0 if none are. */
    private long warmUntil;
    /** The weight that counts as size 1. */
    private double referenceWeight = 1;

    /** Begins with the list as last known before this start; its servers keep their start times. */
    public ClusterView(Names names, Rules rules, List<Member> known, Port port) {
        this.names = names;
        this.rules = rules;
        this.port = port;
        known.forEach(member -> reported.put(member.server().id(), member));
        hasReported = !known.isEmpty();
    }

    /** Replaces the cluster; null if it was removed. {@code wall} is Unix time in nanoseconds. */
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
            // Warming: the known endpoints stay in force until the cluster's own arrive.
            warmUntil = now + rules.warming;
        }
    }

    /** Replaces the endpoints. */
    public void endpoints(Endpoints next, long now, long wall) {
        warmUntil = 0;
        propose(next, now, wall);
    }

    /** Applies what is due by time; to be called about once a second. */
    public void time(long now, long wall) {
        if (held != null && now >= heldUntil) {
            port.log("no other update has come: what was held back is taken now");
            Endpoints next = held;
            held = null;
            apply(next, now, wall);
        }
        if (warmUntil != 0 && now >= warmUntil) {
            warmUntil = 0;
            port.log("the endpoints of cluster " + cluster.name() + " do not come: it is taken to have none");
            apply(Endpoints.none(cluster.name()), now, wall);
        }
        if (freshUntil != 0 && now >= freshUntil && !stale) {
            stale = true;
            port.log("endpoint_stale_after is over and no update has come: nothing new goes to these endpoints");
            report(now, wall);
        }
        removed.values().removeIf(entry -> now >= entry.until);
    }

    private void propose(Endpoints next, long now, long wall) {
        boolean second = held != null;
        held = null;
        if (!second && removedPart(next) > rules.maxRemoved && rules.guard > 0) {
            held = next;
            heldUntil = now + rules.guard;
            port.log(String.format(
                    java.util.Locale.ROOT,
                    "an update takes away %.0f%% of the ready servers, more than"
                            + " most-removed: held back for %d ms, or until the next one",
                    100 * removedPart(next),
                    rules.guard / MS));
            // A drain is deliberate: it applies at once, whatever else the update contains.
            applyDrains(next, now, wall);
            return;
        }
        apply(next, now, wall);
    }

    private void applyDrains(Endpoints next, long now, long wall) {
        List<Member> changed = new ArrayList<>();
        for (Endpoints.Endpoint endpoint : next.all()) {
            Member known = reported.get(endpoint.id());
            if (known != null && known.isReady() && endpoint.readiness() == Readiness.DRAINING) {
                Member drained = with(known, Readiness.DRAINING);
                reported.put(endpoint.id(), drained);
                changed.add(drained);
            }
        }
        if (!changed.isEmpty()) {
            port.list(new ServerListUpdate(++revision, false, changed), false);
        }
    }

    /** The part of the ready servers that an update would remove, 0 to 1. */
    private double removedPart(Endpoints next) {
        Set<String> staying = new LinkedHashSet<>();
        next.all().forEach(endpoint -> staying.add(endpoint.id()));
        int ready = 0;
        int gone = 0;
        for (Member member : reported.values()) {
            ready += member.isReady() ? 1 : 0;
            gone += member.isReady() && !staying.contains(member.server().id()) ? 1 : 0;
        }
        return ready == 0 ? 0 : gone / (double) ready;
    }

    private void apply(Endpoints next, long now, long wall) {
        present = next;
        stale = false;
        freshUntil = next.staleAfter() > 0 ? now + next.staleAfter() : 0;
        report(now, wall);
    }

    /** The lowest priority that has a ready endpoint: it gets all new requests, endpoints of the others drain. */
    private static int activePriority(Endpoints endpoints) {
        int lowest = Integer.MAX_VALUE;
        for (Endpoints.Endpoint endpoint : endpoints.all()) {
            if (endpoint.readiness() == Readiness.READY) {
                lowest = Math.min(lowest, endpoint.priority());
            }
        }
        return lowest;
    }

    private void report(long now, long wall) {
        int active = activePriority(present);
        updateReferenceWeight(active);
        boolean large = removedPart(present) >= LARGE;
        Map<String, Member> next = new LinkedHashMap<>();
        List<Member> changed = new ArrayList<>();
        for (Endpoints.Endpoint endpoint : present.all()) {
            boolean ready = endpoint.readiness() == Readiness.READY && endpoint.priority() == active && !stale;
            Member member = new Member(
                    new Server(
                            endpoint.id(),
                            endpoint.weight() / referenceWeight,
                            names.zones().indexOf(endpoint.zone()),
                            endpoint.cell(),
                            names.kinds().indexOf(endpoint.kind()),
                            ready ? Readiness.READY : Readiness.DRAINING,
                            startTime(endpoint, wall)),
                    endpoint.address());
            next.put(endpoint.id(), member);
            if (!member.equals(reported.get(endpoint.id()))) {
                changed.add(member);
            }
        }
        List<Member> changes = new ArrayList<>();
        for (Member before : reported.values()) {
            if (!next.containsKey(before.server().id())) {
                changes.add(before.gone());
                if (large && before.isReady() && rules.remember > 0 && removed.size() < MAX_REMOVED) {
                    removed.put(before.server().id(), new Removed(before, now + rules.remember));
                }
            }
        }
        next.keySet().forEach(removed::remove);
        reported.clear();
        reported.putAll(next);
        boolean first = !hasReported;
        hasReported = true;
        if (first) {
            port.list(new ServerListUpdate(++revision, true, List.copyOf(next.values())), true);
        } else if (!changed.isEmpty() || !changes.isEmpty()) {
            // Removals come first: the same update may give their address to another server.
            changes.addAll(changed);
            port.list(new ServerListUpdate(++revision, false, changes), false);
        }
    }

    /**
     * Keeps the weight that counts as size 1 near the mean of the active endpoints. It follows only when it is off by a
     * factor of 1.5: otherwise the change of one weight would change the size of every server.
     */
    private void updateReferenceWeight(int active) {
        double sum = 0;
        int count = 0;
        for (Endpoints.Endpoint endpoint : present.all()) {
            if (endpoint.priority() == active) {
                sum += endpoint.weight();
                count++;
            }
        }
        double mean = count == 0 ? referenceWeight : sum / count;
        if (mean < referenceWeight / 1.5 || mean > referenceWeight * 1.5) {
            referenceWeight = mean;
        }
    }

    /** The start in the metadata, else the known start; else long ago (0) in the first list, and now in later ones. */
    private long startTime(Endpoints.Endpoint endpoint, long wall) {
        if (endpoint.started() >= 0) {
            return endpoint.started();
        }
        Member known = reported.get(endpoint.id());
        if (known == null && removed.containsKey(endpoint.id())) {
            known = removed.get(endpoint.id()).member;
        }
        // A changed address means another process, even under the same id.
        if (known != null && known.address().equals(endpoint.address())) {
            return known.server().startedAt();
        }
        return hasReported ? wall : 0;
    }

    private static Member with(Member member, Readiness readiness) {
        Server server = member.server();
        return new Member(
                new Server(
                        server.id(),
                        server.size(),
                        server.zone(),
                        server.cell(),
                        server.kind(),
                        readiness,
                        server.startedAt()),
                member.address());
    }

    /** The number of removed servers that are remembered. */
    int remembered() {
        return removed.size();
    }

    /** The list as last reported. */
    public List<Member> members() {
        return List.copyOf(reported.values());
    }

    /** The part of requests to refuse, 0 to 1 ({@code drop_overloads}). */
    public double dropped() {
        return present == null ? 0 : present.dropped();
    }
}
