package rushpin.net.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Server;
import rushpin.membership.Member;
import rushpin.membership.Names;

/** Tests the saved server list with torn files and a failing disk. */
class ServerListCacheTest {
    private static final Names NAMES = new Names(List.of("bulk"), List.of("basic"), List.of("z-0"), List.of("m"));

    @TempDir
    Path folder;

    private final List<String> log = new ArrayList<>();

    private static List<Member> members(String... ids) {
        return Stream.of(ids)
                .map(id -> new Member(
                        new Server(id, 1, 0, 0, 0, Readiness.READY, 0), new InetSocketAddress("127.0.0.1", 8_000)))
                .toList();
    }

    private List<String> ids() {
        return new ServerListCache(folder, "p", NAMES)
                .read(log::add).stream().map(member -> member.server().id()).toList();
    }

    @Test
    void aListThatCannotBeForcedToTheDiskDoesNotReplaceTheLastOne() {
        boolean[] failing = {false};
        ServerListCache list = new ServerListCache(folder, "p", NAMES, channel -> {
            if (failing[0]) {
                throw new IOException("force fails");
            }
        });
        list.save(members("s-0"), log::add);
        failing[0] = true;
        list.save(members("s-1"), log::add);
        list.save(members("s-1"), log::add);
        assertEquals(List.of("s-0"), ids());
        assertEquals(1, log.size(), log.toString());
        failing[0] = false;
        list.save(members("s-2"), log::add);
        assertEquals(List.of("s-2"), ids());
    }

    @Test
    void aFileCutAtAnyByteIsLoggedAndGivesNoList() throws Exception {
        new ServerListCache(folder, "p", NAMES).save(members("s-0", "s-1"), log::add);
        Path file = folder.resolve("xds-p.json");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut < whole.length; cut++) {
            Files.write(file, Arrays.copyOf(whole, cut));
            assertEquals(List.of(), ids(), "cut at " + cut);
            assertEquals(cut + 1, log.size(), "cut at " + cut);
            Files.write(file, Arrays.copyOf(Arrays.copyOf(whole, cut), whole.length));
            assertTrue(ids().isEmpty(), "zeros after " + cut);
            log.remove(log.size() - 1);
        }
    }
}
