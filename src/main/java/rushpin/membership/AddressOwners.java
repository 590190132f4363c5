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
 * Assigns each app server address to at most one pool. Pools don't know of each other's requests: two pools that send
 * to the same server, each within its own limit, would together overload it while it is cold. The pool that listed the
 * address first owns it. Other pools are notified that their server is gone, and get it when the owner releases it. No
 * I/O; not thread-safe.
 *
 * <p>Bounds: one entry for each address that a pool's list holds ready.
 */
public final class AddressOwners {
    /** An update for one pool: the pool's own list after conflicts were taken out, or a released address. */
    public record PoolUpdate(String pool, ServerListUpdate update, ListKind kind) {}

    /** The result of one list: updates for pools, and a log line for each address that another pool owns. */
    public record Admission(List<PoolUpdate> updates, List<String> conflicts) {}

    private record Owner(String pool, String server) {}

    private final Map<SocketAddress, Owner> owners = new HashMap<>();
    /** The inverse of {@link #owners}, so that a change of one entry needs no scan of all owners. */
    private final Map<Owner, SocketAddress> addresses = new HashMap<>();
    /** Members that wait for an address that another pool owns: by address, then by pool in order of arrival. */
    private final Map<SocketAddress, Map<String, Member>> waiting = new HashMap<>();

    /** Takes a pool's list; returns the updates that follow for this pool, which comes first, and for other pools. */
    public Admission admit(String pool, ServerListUpdate update, ListKind kind) {
        List<String> conflicts = new ArrayList<>();
        List<Member> admitted = new ArrayList<>();
        Set<SocketAddress> released = new LinkedHashSet<>();
        if (kind != ListKind.DELTA) {
            releaseAll(pool, released);
        }
        for (Member member : update.members()) {
            release(pool, member.server().id(), released);
        }
        for (Member member : update.members()) {
            if (!member.isReady()) {
                admitted.add(member);
                continue;
            }
            Owner owner = owners.get(member.address());
            if (owner == null || owner.pool().equals(pool)) {
                assign(member.address(), new Owner(pool, member.server().id()));
                admitted.add(member);
            } else {
                waiting.computeIfAbsent(member.address(), address -> new LinkedHashMap<>())
                        .put(pool, member);
                conflicts.add("server " + member.server().id() + " of pool " + pool + " has the address of "
                        + owner.server() + " of pool " + owner.pool() + " and is left out");
                admitted.add(member.gone());
            }
        }
        List<PoolUpdate> updates = new ArrayList<>();
        updates.add(new PoolUpdate(pool, new ServerListUpdate(update.revision(), update.complete(), admitted), kind));
        reassign(released, updates);
        return new Admission(updates, conflicts);
    }

    /** Releases all addresses of a pool that has ended; returns the updates for the pools that get them. */
    public List<PoolUpdate> leave(String pool) {
        Set<SocketAddress> released = new LinkedHashSet<>();
        releaseAll(pool, released);
        List<PoolUpdate> updates = new ArrayList<>();
        reassign(released, updates);
        return updates;
    }

    private void assign(SocketAddress address, Owner owner) {
        Owner before = owners.put(address, owner);
        if (before != null) {
            addresses.remove(before);
        }
        addresses.put(owner, address);
    }

    private void releaseAll(String pool, Set<SocketAddress> released) {
        owners.entrySet().removeIf(entry -> {
            boolean mine = entry.getValue().pool().equals(pool);
            if (mine) {
                released.add(entry.getKey());
                addresses.remove(entry.getValue());
            }
            return mine;
        });
        waiting.values().forEach(pools -> pools.remove(pool));
        waiting.values().removeIf(Map::isEmpty);
    }

    private void release(String pool, String server, Set<SocketAddress> released) {
        SocketAddress address = addresses.remove(new Owner(pool, server));
        if (address != null) {
            owners.remove(address);
            released.add(address);
        }
        for (Map<String, Member> pools : waiting.values()) {
            Member member = pools.get(pool);
            if (member != null && member.server().id().equals(server)) {
                pools.remove(pool);
            }
        }
        waiting.values().removeIf(Map::isEmpty);
    }

    /** Gives each released address that has no owner to the pool that has waited for it longest. */
    private void reassign(Set<SocketAddress> released, List<PoolUpdate> updates) {
        for (SocketAddress address : released) {
            Map<String, Member> pools = waiting.get(address);
            if (owners.containsKey(address) || pools == null) {
                continue;
            }
            Map.Entry<String, Member> next = pools.entrySet().iterator().next();
            pools.remove(next.getKey());
            if (pools.isEmpty()) {
                waiting.remove(address);
            }
            assign(address, new Owner(next.getKey(), next.getValue().server().id()));
            updates.add(new PoolUpdate(
                    next.getKey(), new ServerListUpdate(0, false, List.of(next.getValue())), ListKind.DELTA));
        }
    }
}
