package rushpin.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;

/** Tests that disabled servers drain whatever lists say. */
class DisabledServersTest {
    private final DisabledServers servers = new DisabledServers();

    private static Member member(String id, Readiness readiness, long startedAt) {
        return new Member(new Server(id, 1, 0, 0, 0, readiness, startedAt), new InetSocketAddress("127.0.0.1", 1));
    }

    private static ServerListUpdate update(Member... members) {
        return new ServerListUpdate(1, true, List.of(members));
    }

    private static Readiness readiness(ServerListUpdate update, String id) {
        return update.members().stream()
                .filter(m -> m.server().id().equals(id))
                .findFirst()
                .orElseThrow()
                .server()
                .readiness();
    }

    @Test
    void withoutDisabledServersTheListIsUnchanged() {
        ServerListUpdate update = update(member("a", Readiness.READY, 0));
        assertSame(update, servers.follow(update, true));
    }

    @Test
    void disabledServerDrainsAtOnceWhateverLaterListsSay() {
        servers.follow(update(member("a", Readiness.READY, 0), member("b", Readiness.READY, 0)), true);
        ServerListUpdate change = servers.set(Set.of("a"));
        assertEquals(1, change.members().size());
        assertEquals(Readiness.DRAINING, readiness(change, "a"));
        servers.follow(update(member("a", Readiness.GONE, 0)), false);
        assertEquals(
                Readiness.DRAINING, readiness(servers.follow(update(member("a", Readiness.READY, 77)), false), "a"));
        assertEquals(
                Readiness.DRAINING, readiness(servers.follow(update(member("a", Readiness.READY, 77)), true), "a"));
        ServerListUpdate back = servers.set(Set.of());
        assertEquals(Readiness.READY, readiness(back, "a"));
        assertEquals(
                77,
                back.members().get(0).server().startedAt(),
                "it restarted while it was disabled, and comes back cold");
    }

    @Test
    void serverThatDrainsByTheListStillDrainsWhenEnabled() {
        servers.follow(update(member("a", Readiness.DRAINING, 0)), true);
        assertTrue(servers.set(Set.of("a")).members().isEmpty());
        assertTrue(servers.set(Set.of()).members().isEmpty(), "the state in the list still applies");
    }

    @Test
    void idStaysKnownAfterTheServerIsGone() {
        assertFalse(servers.knows("a"));
        servers.follow(update(member("a", Readiness.READY, 0)), true);
        servers.follow(update(), true);
        assertTrue(servers.knows("a"));
        assertFalse(servers.knows("b"));
        servers.set(Set.of("b"));
        assertTrue(servers.knows("b"), "another process has listed it");
        assertEquals(0, servers.out(), "no listed server is disabled");
    }

    @Test
    void rememberedIdsAreBounded() {
        for (int i = 0; i < 20_000; i++) {
            servers.follow(update(member("s-" + i, Readiness.READY, 0)), true);
        }
        assertEquals(1, servers.listed());
        assertFalse(servers.knows("s-0"));
        assertTrue(servers.knows("s-19999"));
    }

    /** For any order of lists and commands, the pool's last state is the list with the disabled servers draining. */
    @Property(tries = 500)
    void poolsStateIsTheListWithDisabledServersDraining(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 39) Integer> steps) {
        DisabledServers tested = new DisabledServers();
        Map<String, Readiness> list = new HashMap<>();
        Map<String, Readiness> reported = new HashMap<>();
        Set<String> disabled = new HashSet<>();
        for (int step : steps) {
            String id = "s-" + step % 5;
            int action = step / 5;
            ServerListUpdate result;
            if (action < 3) {
                Readiness readiness = Readiness.values()[action];
                list.put(id, readiness);
                result = tested.follow(update(member(id, readiness, step)), false);
            } else if (action == 3) {
                list.keySet().retainAll(Set.of(id));
                reported.clear();
                result = tested.follow(
                        update(list.entrySet().stream()
                                .map(e -> member(e.getKey(), e.getValue(), 0))
                                .toArray(Member[]::new)),
                        true);
            } else {
                if (action < 6) {
                    disabled.add(id);
                } else {
                    disabled.remove(id);
                }
                result = tested.set(disabled);
            }
            result.members()
                    .forEach(m -> reported.put(m.server().id(), m.server().readiness()));
            list.forEach((server, readiness) -> assertEquals(
                    readiness == Readiness.READY && disabled.contains(server) ? Readiness.DRAINING : readiness,
                    reported.get(server),
                    "after " + steps));
        }
    }
}
