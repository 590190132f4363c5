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

/** One address belongs to one pool. */
class AddressOwnersTest {
    private final AddressOwners claims = new AddressOwners();

    private static Member member(String id, int port, Readiness readiness) {
        return new Member(new Server(id, 1, 0, 0, 0, readiness, 0), InetSocketAddress.createUnresolved("h", port));
    }

    private static ServerListUpdate roll(Member... members) {
        return new ServerListUpdate(1, false, List.of(members));
    }

    private static Readiness of(AddressOwners.PoolUpdate told, int at) {
        return told.update().members().get(at).server().readiness();
    }

    @Test
    void theFirstKeepsItAndTheSecondGetsItWhenItIsLetGo() {
        claims.admit("a", roll(member("s", 1, Readiness.READY)), ListKind.FULL);
        AddressOwners.Admission second = claims.admit(
                "b", roll(member("s", 1, Readiness.READY), member("t", 2, Readiness.READY)), ListKind.FULL);
        assertEquals(1, second.conflicts().size());
        assertEquals(Readiness.GONE, of(second.updates().get(0), 0));
        assertEquals(Readiness.READY, of(second.updates().get(0), 1));
        AddressOwners.Admission drained = claims.admit("a", roll(member("s", 1, Readiness.DRAINING)), ListKind.DELTA);
        assertEquals(
                List.of("a", "b"),
                drained.updates().stream().map(AddressOwners.PoolUpdate::pool).toList());
        assertEquals(Readiness.READY, of(drained.updates().get(1), 0));
        AddressOwners.Admission back = claims.admit("a", roll(member("s", 1, Readiness.READY)), ListKind.DELTA);
        assertEquals(Readiness.GONE, of(back.updates().get(0), 0), "now the other one has it");
    }

    @Test
    void anAddressThatChangesHandsInOnePoolIsNoConflict() {
        claims.admit("a", roll(member("old", 1, Readiness.READY)), ListKind.FULL);
        assertEquals(
                List.of(),
                claims.admit("a", roll(member("new", 1, Readiness.READY)), ListKind.DELTA)
                        .conflicts());
        claims.admit("a", roll(member("old", 1, Readiness.GONE)), ListKind.DELTA);
        assertEquals(
                1,
                claims.admit("b", roll(member("x", 1, Readiness.READY)), ListKind.FULL)
                        .conflicts()
                        .size(),
                "the new one still holds it");
    }

    @Test
    void aPoolThatEndsLetsGoOfAll() {
        claims.admit("a", roll(member("s", 1, Readiness.READY)), ListKind.FULL);
        claims.admit("b", roll(member("s", 1, Readiness.READY)), ListKind.FULL);
        List<AddressOwners.PoolUpdate> told = claims.leave("a");
        assertEquals("b", told.get(0).pool());
        assertEquals(Readiness.READY, of(told.get(0), 0));
    }

    @Property
    void noAddressIsEverReadyInTwoPools(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AddressOwners all = new AddressOwners();
        // What each pool was told: server to address, if ready.
        Map<String, Map<String, Integer>> told = new TreeMap<>();
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
            AddressOwners.Admission outcome =
                    all.admit(pool, new ServerListUpdate(step, kind == ListKind.FULL, List.copyOf(members.values())), kind);
            for (AddressOwners.PoolUpdate one : outcome.updates()) {
                Map<String, Integer> ready = told.computeIfAbsent(one.pool(), p -> new TreeMap<>());
                if (one.kind() == ListKind.FULL) {
                    ready.clear();
                }
                for (Member m : one.update().members()) {
                    if (m.isReady()) {
                        int port = ((InetSocketAddress) m.address()).getPort();
                        // In one pool the newest server at an address has it, as in ServerPool.
                        ready.values().removeIf(p -> p == port);
                        ready.put(m.server().id(), port);
                    } else {
                        ready.remove(m.server().id());
                    }
                }
            }
            Map<Integer, String> holders = new TreeMap<>();
            told.forEach((p, ready) -> ready.values().forEach(port -> {
                String other = holders.put(port, p);
                assertTrue(other == null, "seed " + seed + ": " + port + " is ready in " + other + " and " + p);
            }));
        }
    }
}
