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

class DisabledServersTest {
    private final DisabledServers withheld = new DisabledServers();

    private static Member member(String id, Readiness readiness, long startedAt) {
        return new Member(new Server(id, 1, 0, 0, 0, readiness, startedAt), new InetSocketAddress("127.0.0.1", 1));
    }

    private static ServerListUpdate roll(Member... members) {
        return new ServerListUpdate(1, true, List.of(members));
    }

    private static Readiness said(ServerListUpdate roll, String id) {
        return roll.members().stream()
                .filter(m -> m.server().id().equals(id))
                .findFirst()
                .orElseThrow()
                .server()
                .readiness();
    }

    @Test
    void withNobodyOutAListStaysAsItIs() {
        ServerListUpdate roll = roll(member("a", Readiness.READY, 0));
        assertSame(roll, withheld.follow(roll, true));
    }

    @Test
    void whoIsOutDrainsAtOnceAndWhateverListsSayLater() {
        withheld.follow(roll(member("a", Readiness.READY, 0), member("b", Readiness.READY, 0)), true);
        ServerListUpdate change = withheld.set(Set.of("a"));
        assertEquals(1, change.members().size());
        assertEquals(Readiness.DRAINING, said(change, "a"));
        withheld.follow(roll(member("a", Readiness.GONE, 0)), false);
        assertEquals(Readiness.DRAINING, said(withheld.follow(roll(member("a", Readiness.READY, 77)), false), "a"));
        assertEquals(Readiness.DRAINING, said(withheld.follow(roll(member("a", Readiness.READY, 77)), true), "a"));
        ServerListUpdate back = withheld.set(Set.of());
        assertEquals(Readiness.READY, said(back, "a"));
        assertEquals(
                77, back.members().get(0).server().startedAt(), "it restarted while it was out, and comes back cold");
    }

    @Test
    void whoDrainsByTheListStaysSoWhenPutBack() {
        withheld.follow(roll(member("a", Readiness.DRAINING, 0)), true);
        assertTrue(withheld.set(Set.of("a")).members().isEmpty());
        assertTrue(withheld.set(Set.of()).members().isEmpty(), "the list's own word still holds");
    }

    @Test
    void anIdIsKnownOnceItWasListedEvenWhenGone() {
        assertFalse(withheld.knows("a"));
        withheld.follow(roll(member("a", Readiness.READY, 0)), true);
        withheld.follow(roll(), true);
        assertTrue(withheld.knows("a"));
        assertFalse(withheld.knows("b"));
        withheld.set(Set.of("b"));
        assertTrue(withheld.knows("b"), "another process has listed it");
        assertEquals(0, withheld.out(), "of those listed none is out");
    }

    @Test
    void whatIsRememberedHasABound() {
        for (int i = 0; i < 20_000; i++) {
            withheld.follow(roll(member("s-" + i, Readiness.READY, 0)), true);
        }
        assertEquals(1, withheld.listed());
        assertFalse(withheld.knows("s-0"));
        assertTrue(withheld.knows("s-19999"));
    }

    /** Whatever the order of lists and calls: what the pool was told last is the list with those out draining. */
    @Property(tries = 500)
    void thePoolsViewIsTheListLessThoseOut(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 39) Integer> steps) {
        DisabledServers deciding = new DisabledServers();
        Map<String, Readiness> list = new HashMap<>(), told = new HashMap<>();
        Set<String> out = new HashSet<>();
        for (int step : steps) {
            String id = "s-" + step % 5;
            int what = step / 5;
            ServerListUpdate heard;
            if (what < 3) {
                Readiness readiness = Readiness.values()[what];
                list.put(id, readiness);
                heard = deciding.follow(roll(member(id, readiness, step)), false);
            } else if (what == 3) {
                list.keySet().retainAll(Set.of(id));
                told.clear();
                heard = deciding.follow(
                        roll(list.entrySet().stream()
                                .map(e -> member(e.getKey(), e.getValue(), 0))
                                .toArray(Member[]::new)),
                        true);
            } else {
                if (what < 6) {
                    out.add(id);
                } else {
                    out.remove(id);
                }
                heard = deciding.set(out);
            }
            heard.members().forEach(m -> told.put(m.server().id(), m.server().readiness()));
            list.forEach((server, readiness) -> assertEquals(
                    readiness == Readiness.READY && out.contains(server) ? Readiness.DRAINING : readiness,
                    told.get(server),
                    "after " + steps));
        }
    }
}
