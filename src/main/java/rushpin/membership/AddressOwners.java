package rushpin.membership;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushpin.gateway.Ports.ListKind;

/**
 * One address belongs to one pool. Pools don't know of each other's sends: two that had the same server would together
 * push it over while it is cold, each within its own measure. The pool that had the address first keeps it; the other
 * one is told that its server is gone, and gets it when the first lets go. No I/O; one thread at a time.
 *
 * <p>Bounds: one entry for each address that a pool's list holds ready.
 */
public final class AddressOwners {
    /** A list for a pool, in place of the one that its source told or on top of it. */
    public record PoolUpdate(String pool, ServerListUpdate update, ListKind kind) {}

    /** What comes of one list. */
    public record Admission(List<PoolUpdate> updates, List<String> conflicts) {}

    private record Holder(String pool, String server) {}

    private final Map<SocketAddress, Holder> holders = new HashMap<>();
    /** The other way round: a change of one entry must not cost a look at all. */
    private final Map<Holder, SocketAddress> places = new HashMap<>();

    private final Map<SocketAddress, Map<String, Member>> waiting = new HashMap<>();

    /** Takes a pool's list and says what that pool, and others, are told; the pool's own comes first. */
    public Admission admit(String pool, ServerListUpdate update, ListKind kind) {
        List<String> conflicts = new ArrayList<>();
        List<Member> own = new ArrayList<>();
        Set<SocketAddress> freed = new LinkedHashSet<>();
        if (kind != ListKind.DELTA) {
            freeAll(pool, freed);
        }
        for (Member member : update.members()) {
            free(pool, member.server().id(), freed);
        }
        for (Member member : update.members()) {
            if (!member.isReady()) {
                own.add(member);
                continue;
            }
            Holder holder = holders.get(member.address());
            if (holder == null || holder.pool().equals(pool)) {
                hold(member.address(), new Holder(pool, member.server().id()));
                own.add(member);
            } else {
                waiting.computeIfAbsent(member.address(), at -> new LinkedHashMap<>())
                        .put(pool, member);
                conflicts.add("server " + member.server().id() + " of pool " + pool + " has the address of "
                        + holder.server() + " of pool " + holder.pool() + " and is left out");
                own.add(member.gone());
            }
        }
        List<PoolUpdate> updates = new ArrayList<>();
        updates.add(new PoolUpdate(pool, new ServerListUpdate(update.revision(), update.complete(), own), kind));
        passOn(freed, updates);
        return new Admission(updates, conflicts);
    }

    /** A pool has ended. */
    public List<PoolUpdate> leave(String pool) {
        Set<SocketAddress> freed = new LinkedHashSet<>();
        freeAll(pool, freed);
        List<PoolUpdate> updates = new ArrayList<>();
        passOn(freed, updates);
        return updates;
    }

    private void hold(SocketAddress address, Holder holder) {
        Holder before = holders.put(address, holder);
        if (before != null) {
            places.remove(before);
        }
        places.put(holder, address);
    }

    private void freeAll(String pool, Set<SocketAddress> freed) {
        holders.entrySet().removeIf(e -> {
            boolean mine = e.getValue().pool().equals(pool);
            if (mine) {
                freed.add(e.getKey());
                places.remove(e.getValue());
            }
            return mine;
        });
        waiting.values().forEach(pools -> pools.remove(pool));
        waiting.values().removeIf(Map::isEmpty);
    }

    private void free(String pool, String server, Set<SocketAddress> freed) {
        SocketAddress place = places.remove(new Holder(pool, server));
        if (place != null) {
            holders.remove(place);
            freed.add(place);
        }
        for (Map<String, Member> pools : waiting.values()) {
            Member held = pools.get(pool);
            if (held != null && held.server().id().equals(server)) {
                pools.remove(pool);
            }
        }
        waiting.values().removeIf(Map::isEmpty);
    }

    /** An address that nobody holds any more goes to the pool that has waited for it longest. */
    private void passOn(Set<SocketAddress> freed, List<PoolUpdate> updates) {
        for (SocketAddress address : freed) {
            Map<String, Member> pools = waiting.get(address);
            if (holders.containsKey(address) || pools == null) {
                continue;
            }
            Map.Entry<String, Member> next = pools.entrySet().iterator().next();
            pools.remove(next.getKey());
            if (pools.isEmpty()) {
                waiting.remove(address);
            }
            hold(address, new Holder(next.getKey(), next.getValue().server().id()));
            updates.add(new PoolUpdate(next.getKey(), new ServerListUpdate(0, false, List.of(next.getValue())), ListKind.DELTA));
        }
    }
}
