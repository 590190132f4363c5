package rushpin.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushpin.membership.xds.Form;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operator's file: good, or all that is wrong with it at once. */
class OperatorFileTest {
    private static final String POOLS = "[[pool]]\nname = \"a\"\nsettings = \"a.json\"\n[[pool]]\nname = \"b\"\n"
        + "settings = \"b.json\"\n[[route]]\npool = \"a\"\nhost = \"a.example\"\n[[route]]\npool = \"b\"\n";
    @TempDir
    Path folder;

    @BeforeEach
    void settings() throws IOException {
        settings("");
    }

    private void settings(String members) throws IOException {
        String json = Files.readString(Path.of("src/test/resources/node.json")).replace("DISCOVERY", "127.0.0.1:1")
            .replace("COUNTER", "127.0.0.1:2").replace("MEMBERS", members);
        Files.writeString(folder.resolve("a.json"), json);
        Files.writeString(folder.resolve("b.json"), json);
    }

    private List<String> faults(String text) {
        return assertThrows(Operator.Faulty.class, () -> OperatorFile.parse(text, folder, null)).faults().stream()
            .map(Operator.Fault::toString).toList();
    }

    private void only(String text, String... parts) {
        List<String> found = faults(text);
        assertEquals(1, found.size(), found.toString());
        for (String part : parts) {
            assertTrue(found.get(0).contains(part), found.get(0));
        }
    }

    @Test
    void theExampleIsGood() throws Exception {
        Operator read = OperatorFile.read(Path.of("deploy/rushpin.toml"), null);
        assertEquals(List.of("lookups", "bookings", "gates", "cranes"), read.pools().stream().map(PoolPlan::name).toList());
        assertEquals(6, read.routes().size());
        assertEquals(2, read.pools().get(2).xds().servers().size());
        assertEquals("cranes.yaml", read.pools().get(3).xds().path().getFileName().toString());
        assertEquals(new Grants(800, 300, 4_194_304, 64), read.total());
        assertEquals(80, read.pools().get(0).guaranteed().connections());
        assertEquals("lookups.", read.pools().get(0).upstream().countPrefix());
    }

    @Test
    void defaultsAreHalfOfAnEvenPart() throws Exception {
        Operator read = OperatorFile.parse("[process]\nrequests = 100\nconnections = 40\n" + POOLS, folder, null);
        for (PoolPlan pool : read.pools()) {
            assertEquals(25, pool.guaranteed().requests());
            assertEquals(10, pool.guaranteed().connections());
            assertEquals(false, pool.ownLoop());
        }
    }

    @Test
    void allFaultsComeAtOnceInTheOrderOfTheFile() {
        List<String> found = faults("""
            [process]
            conections = 7
            requests = "many"
            [[pool]]
            name = "Not a name"
            settings = "nowhere.json"
            loop = "onw"
            [[pool]]
            settings = "a.json"
            surprise = 1
            [[route]]
            pool = "b"
            host = "A.example:80"
            prefix = "/a/"
            method = "get"
            """);
        String all = String.join("\n", found);
        for (String part : List.of("line 2: process.conections: is no key here; did you mean connections?",
            "line 3: process.requests: found \"many\"; allowed: a whole number from 1",
            "line 5: pool[1].name: found \"Not a name\"", "line 6: pool[1].settings: nowhere.json: ",
            "line 7: pool[1].loop: found \"onw\"; did you mean own?; allowed: shared, own",
            "line 8: pool[2].name: is missing", "line 10: pool[2].surprise: is no key here",
            "line 12: route[1].pool: no [[pool]] is called b", "line 13: route[1].host: found \"A.example:80\"",
            "line 14: route[1].prefix: found \"/a/\"", "line 15: route[1].method: found \"get\"")) {
            assertTrue(all.contains(part), part + " is not among\n" + all);
        }
        assertEquals(11, found.size(), all);
    }

    @Test
    void whatIsNotTomlIsToldByLine() {
        assertTrue(faults("[process]\nrequests = = 1\n").get(0).startsWith("line 2: this is not TOML"));
        assertTrue(faults(POOLS.substring(0, POOLS.length() / 2)).size() >= 1, "a file that is half written");
    }

    @Test
    void aFileThatCannotBeReadIsOneFault() {
        assertThrows(Operator.Faulty.class, () -> OperatorFile.read(folder.resolve("none.toml"), null));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "[[route]]\\npool = \"b\"\\n | ties with the route at line 10",
        "[[route]]\\npool = \"b\"\\nhost = \"a.example\"\\n | ties with the route at line 7",
        "[[route]]\\npool = \"a\"\\npath = \"/x\"\\nprefix = \"/x\"\\n | path and prefix are both there",
        "[[route]]\\npool = \"a\"\\npath = \"/x/../y\"\\n | the path has a dot segment",
        "[[route]]\\npool = \"a\"\\npath = \"x\"\\n | it does not begin with '/'",
        "[[route]]\\npool = \"a\"\\nclass = \"ordre\"\\n | did you mean order?",
        "[[route]]\\npool = \"a\"\\n[route.headers]\\nx-a = 1\\n | a text that is not blank",
        "[[route]]\\npool = \"a\"\\n[route.headers]\\nx-a = \"1\"\\nX-A = \"2\"\\n | stands there twice",
        "[[pool]]\\nname = \"c\"\\nsettings = \"a.json\"\\n | no [[route]] leads to pool c",
        "[[pool]]\\nname = \"a\"\\nsettings = \"a.json\"\\n | stands there twice",
        "[[pool]]\\nname = \"c\"\\nsettings = \"platform\"\\n[[route]]\\npool = \"c\"\\nhost = \"c\"\\n | GW_CONFIG",
        "[[pool]]\\nname = \"c\"\\nsettings = \"a.json\"\\ncounter-space = \"b\"\\n[[route]]\\npool = \"c\"\\nhost = \"c\"\\n "
            + "| another pool counts under the same names",
        "[[pool]]\\nname = \"c\"\\nsettings = \"a.json\"\\ndiscovery = \"none\"\\n[[route]]\\npool = \"c\"\\nhost = \"c\"\\n "
            + "| no server that is ready",
        "[[pool]]\\nname = \"c\"\\nsettings = \"a.json\"\\ncounter = \"none\"\\n[[route]]\\npool = \"c\"\\nhost = \"c\"\\n "
            + "| no address is given",
        "[[pool]]\\nname = \"c\"\\nsettings = \"a.json\"\\ndiscovery = \"h:70000\"\\n[[route]]\\npool = \"c\"\\nhost = \"c\"\\n "
            + "| a port from 1 to 65535",
        "[process]\\nconnections = 8\\n[pool.x]\\n | is no key here"})
    void oneFault(String more, String part) {
        String text = POOLS + more.replace("\\n", "\n");
        assertTrue(faults(text).stream().anyMatch(fault -> fault.contains(part)), part + " is not in " + faults(text));
    }

    @Test
    void guaranteesAddUpToNoMoreThanThereIs() {
        only(POOLS.replace("[[route]]\npool = \"a\"", "[pool.guaranteed]\nrequests = 90\n[[route]]\npool = \"a\"")
            .replace("settings = \"a.json\"\n", "settings = \"a.json\"\n[pool.guaranteed]\nrequests = 20\n")
            + "[process]\nrequests = 100\n", "add up to 110", "100 at most");
    }

    @Test
    void oneAddressInTwoPoolsIsAFaultWhereTheListsSayIt() throws Exception {
        settings("{\"id\": \"s\", \"host_port\": \"127.0.0.1:9\", \"locality\": \"a\", \"flavor\": \"m\", \"cell\": 1, "
            + "\"phase\": \"Ready\"}");
        String text = POOLS.replace(".json\"\n", ".json\"\ndiscovery = \"none\"\n");
        only(text, "belongs to pool a too");
    }

    @Test
    void allFaultsOfASettingsFileComeAtOnce() throws Exception {
        Path at = folder.resolve("a.json");
        Files.writeString(at, Files.readString(at).replace("\"my-zone\": 0,", "").replace("\"siblings\": 2", "\"siblings\": -2"));
        only(POOLS, "settings.siblings is not a number from 0: -2", "settings.my-zone is missing");
    }

    private static String xds(String keys) {
        return "[[pool]]\nname = \"a\"\nsettings = \"a.json\"\n[pool.xds]\n" + keys + "\n[[route]]\npool = \"a\"\n";
    }

    @Test
    void aPoolMayTakeItsServersFromManagementServersOrFromAFile() throws Exception {
        PoolPlan streamed = OperatorFile.parse(xds("servers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nform = \"sotw\"\n"
            + "cluster = \"c\"\nsubscribe = \"all\"\nnode = \"n\"\nmost-removed-percent = 40\nguard-ms = 5000\n"), folder, null)
            .pools().get(0);
        assertEquals(Form.SOTW, streamed.xds().form());
        assertEquals("c", streamed.xds().cluster());
        assertEquals(0.4, streamed.xds().rules().mostRemoved());
        assertEquals(5_000_000_000L, streamed.xds().rules().guard());
        assertNull(streamed.upstream().discovery());
        PoolPlan filed = OperatorFile.parse(xds("path = \"x.yaml\"\n"), folder, null).pools().get(0);
        assertEquals(folder.resolve("x.yaml"), filed.xds().path());
        assertEquals("a", filed.xds().cluster(), "the pool's own name unless said");
        assertEquals(0, filed.xds().rules().guard(), "no guard unless said: the rule on drains comes first");
        assertFalse(filed.differsOnlyInAddresses(streamed));
    }

    @Test
    void faultsOfXdsNameTheKeyAndWhatIsAllowed() {
        only(xds("form = \"delta\"\n"), "pool[1].xds.servers", "one of them");
        only(xds("servers = [\"127.0.0.1:1\"]\npath = \"x\"\n"), "servers and path are both there");
        only(xds("servers = [\"127.0.0.1\"]\n"), "host:port");
        only(xds("servers = \"127.0.0.1:1\"\n"), "a list of 1 to 8 texts");
        only(xds("path = \"x\"\nform = \"deltas\"\n"), "did you mean delta?");
        only(xds("path = \"x\"\nca = \"nowhere.pem\"\n"), "pool[1].xds.ca", "cannot be read");
        only(xds("path = \"x\"\nmost-removed-percent = 0\n"), "from 1 to 100");
        only(xds("path = \"x\"\nclutser = \"c\"\n"), "did you mean cluster?");
        only("[[pool]]\nname = \"a\"\nsettings = \"a.json\"\ndiscovery = \"127.0.0.1:1\"\n[pool.xds]\npath = \"x\"\n"
            + "[[route]]\npool = \"a\"\n", "discovery", "one source of servers");
    }

    @Test
    void recordsWantAFolderAndAKeyThatIsLongEnough() throws Exception {
        assertNull(OperatorFile.parse(POOLS, folder, null).records());
        Files.writeString(folder.resolve("key"), "0123456789abcdef");
        String records = "[records]\nfolder = \"records\"\npseudonym-key = \"key\"\n";
        assertEquals(new rushpin.traffic.Keeping(folder.resolve("records"), folder.resolve("key"), 8 << 20, 64 << 20, 2_000),
            OperatorFile.parse(records + POOLS, folder, null).records());
        Files.writeString(folder.resolve("key"), "0123456789abcde");
        only(records + POOLS, "records.pseudonym-key", "has 15 bytes", "16 bytes or more");
        only("[records]\nfolder = \"records\"\n" + POOLS, "records.pseudonym-key", "is missing");
        Files.writeString(folder.resolve("key"), "0123456789abcdef");
        only(records + "most-bytes = 1000000\nfile-bytes = 500000\n" + POOLS, "records.most-bytes", "1500000");
        only(records + "keep-days = 3\n" + POOLS, "records.keep-days", "is no key here");
    }
}
