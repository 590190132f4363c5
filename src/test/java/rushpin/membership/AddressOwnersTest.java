package rushpin.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.ListKind;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** Tests that an address of an app server is ready in one pool at a time. */
class AddressOwnersTest {
    private final AddressOwners owners = new AddressOwners();

    private static Member member(String id, int port, Readiness readiness) {
        return new Member(new Server(id, 1, 0, 0, 0, readiness, 0), InetSocketAddress.createUnresolved("h", port));
    }

    private static ServerListUpdate update(Member... members) {
        return new ServerListUpdate(1, false, List.of(members));
    }

    private static Readiness readiness(AddressOwners.PoolUpdate update, int index) {
        return update.update().members().get(index).server().readiness();
    }

    @Test
    void firstPoolKeepsAddressAndSecondGetsItWhenReleased() {
        owners.admit("a", update(member("s", 1, Readiness.READY)), ListKind.FULL);
        AddressOwners.Admission second = owners.admit(
                "b", update(member("s", 1, Readiness.READY), member("t", 2, Readiness.READY)), ListKind.FULL);
        assertEquals(1, second.conflicts().size());
        assertEquals(Readiness.GONE, readiness(second.updates().get(0), 0));
        assertEquals(Readiness.READY, readiness(second.updates().get(0), 1));
        AddressOwners.Admission drained = owners.admit("a", update(member("s", 1, Readiness.DRAINING)), ListKind.DELTA);
        assertEquals(
                List.of("a", "b"),
                drained.updates().stream().map(AddressOwners.PoolUpdate::pool).toList());
        assertEquals(Readiness.READY, readiness(drained.updates().get(1), 0));
        AddressOwners.Admission back = owners.admit("a", update(member("s", 1, Readiness.READY)), ListKind.DELTA);
        assertEquals(Readiness.GONE, readiness(back.updates().get(0), 0), "the other pool owns it now");
    }

    @Test
    void addressThatChangesServerWithinAPoolIsNoConflict() {
        owners.admit("a", update(member("old", 1, Readiness.READY)), ListKind.FULL);
        assertEquals(
                List.of(),
                owners.admit("a", update(member("new", 1, Readiness.READY)), ListKind.DELTA)
                        .conflicts());
        owners.admit("a", update(member("old", 1, Readiness.GONE)), ListKind.DELTA);
        assertEquals(
                1,
                owners.admit("b", update(member("x", 1, Readiness.READY)), ListKind.FULL)
                        .conflicts()
                        .size(),
                "the new server still owns it");
    }

    @Test
    void poolThatEndsReleasesAllAddresses() {
        owners.admit("a", update(member("s", 1, Readiness.READY)), ListKind.FULL);
        owners.admit("b", update(member("s", 1, Readiness.READY)), ListKind.FULL);
        List<AddressOwners.PoolUpdate> updates = owners.leave("a");
        assertEquals("b", updates.get(0).pool());
        assertEquals(Readiness.READY, readiness(updates.get(0), 0));
    }

    @Property
    void noAddressIsReadyInTwoPools(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AddressOwners addressOwners = new AddressOwners();
        // By pool: the ports of its ready servers, by server.
        Map<String, Map<String, Integer>> readyByPool = new TreeMap<>();
        for (int step = 0; step < 200; step++) {
            String pool = "p" + random.nextInt(3);
            ListKind kind = random.nextInt(8) == 0 ? ListKind.FULL : ListKind.DELTA;
            Map<String, Member> members = new HashMap<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                String id = "s" + random.nextInt(4);
                members.put(
                        id,
                        member(
                                id,
                                1 + random.nextInt(4),
                                Readiness.values()[random.nextInt(Readiness.values().length)]));
            }
            AddressOwners.Admission outcome = addressOwners.admit(
                    pool, new ServerListUpdate(step, kind == ListKind.FULL, List.copyOf(members.values())), kind);
            for (AddressOwners.PoolUpdate update : outcome.updates()) {
                Map<String, Integer> ready = readyByPool.computeIfAbsent(update.pool(), p -> new TreeMap<>());
                if (update.kind() == ListKind.FULL) {
                    ready.clear();
                }
                for (Member m : update.update().members()) {
                    if (m.isReady()) {
                        int port = ((InetSocketAddress) m.address()).getPort();
                        // Within a pool the newest server at an address has it, as in ServerPool.
                        ready.values().removeIf(p -> p == port);
                        ready.put(m.server().id(), port);
                    } else {
                        ready.remove(m.server().id());
                    }
                }
            }
            Map<Integer, String> holders = new TreeMap<>();
            readyByPool.forEach((p, ready) -> ready.values().forEach(port -> {
                String other = holders.put(port, p);
                assertTrue(other == null, "seed " + seed + ": " + port + " is ready in " + other + " and " + p);
            }));
        }
    }
}
