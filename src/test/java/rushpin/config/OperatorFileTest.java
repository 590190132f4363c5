package rushpin.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushpin.failover.Geography;
import rushpin.failover.Limits;
import rushpin.membership.xds.XdsVariant;

/** Tests that the operator's file is read, or that all its faults are reported together. */
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
        String json = Files.readString(Path.of("src/test/resources/node.json"))
                .replace("DISCOVERY", "127.0.0.1:1")
                .replace("COUNTER", "127.0.0.1:2")
                .replace("MEMBERS", members);
        Files.writeString(folder.resolve("a.json"), json);
        Files.writeString(folder.resolve("b.json"), json);
    }

    private List<String> faults(String text) {
        return assertThrows(OperatorConfig.Faulty.class, () -> OperatorFile.parse(text, folder, null)).faults().stream()
                .map(OperatorConfig.Fault::toString)
                .toList();
    }

    /** Asserts that a file has one fault, whose message contains the parts. */
    private void assertOnlyFault(String text, String... parts) {
        List<String> found = faults(text);
        assertEquals(1, found.size(), found.toString());
        for (String part : parts) {
            assertTrue(found.get(0).contains(part), found.get(0));
        }
    }

    @Test
    void exampleIsValid() throws Exception {
        OperatorConfig read = OperatorFile.read(Path.of("deploy/rushpin.toml"), null);
        assertEquals(
                List.of("lookups", "bookings", "gates", "cranes"),
                read.pools().stream().map(PoolConfig::name).toList());
        assertEquals(6, read.routes().size());
        assertEquals(2, read.pools().get(2).xds().servers().size());
        assertEquals(
                "cranes.yaml", read.pools().get(3).xds().path().getFileName().toString());
        assertEquals(new ResourceLimits(800, 300, 4_194_304, 64), read.total());
        assertEquals(80, read.pools().get(0).guaranteed().connections());
        assertEquals("lookups.", read.pools().get(0).upstream().countPrefix());
    }

    @Test
    void defaultGuaranteeIsHalfOfAnEvenShare() throws Exception {
        OperatorConfig read = OperatorFile.parse("[process]\nrequests = 100\nconnections = 40\n" + POOLS, folder, null);
        for (PoolConfig pool : read.pools()) {
            assertEquals(25, pool.guaranteed().requests());
            assertEquals(10, pool.guaranteed().connections());
            assertEquals(false, pool.ownLoop());
        }
    }

    @Test
    void allFaultsAreReportedInTheOrderOfTheFile() {
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
        for (String part : List.of(
                "line 2: process.conections: is no key here; did you mean connections?",
                "line 3: process.requests: found \"many\"; allowed: a whole number from 1",
                "line 5: pool[1].name: found \"Not a name\"",
                "line 6: pool[1].settings: nowhere.json: ",
                "line 7: pool[1].loop: found \"onw\"; did you mean own?; allowed: shared, own",
                "line 8: pool[2].name: is missing",
                "line 10: pool[2].surprise: is no key here",
                "line 12: route[1].pool: no [[pool]] is called b",
                "line 13: route[1].host: found \"A.example:80\"",
                "line 14: route[1].prefix: found \"/a/\"",
                "line 15: route[1].method: found \"get\"")) {
            assertTrue(all.contains(part), part + " is not among\n" + all);
        }
        assertEquals(11, found.size(), all);
    }

    @Test
    void invalidTomlIsReportedByLine() {
        assertTrue(faults("[process]\nrequests = = 1\n").get(0).startsWith("line 2: this is not TOML"));
        assertTrue(faults(POOLS.substring(0, POOLS.length() / 2)).size() >= 1, "a truncated file");
    }

    @Test
    void unreadableFileIsOneFault() {
        assertThrows(OperatorConfig.Faulty.class, () -> OperatorFile.read(folder.resolve("none.toml"), null));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
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
                "[process]\\nconnections = 8\\n[pool.x]\\n | is no key here"
            })
    void addedTablesHaveFault(String tables, String part) {
        String text = POOLS + tables.replace("\\n", "\n");
        assertTrue(faults(text).stream().anyMatch(fault -> fault.contains(part)), part + " is not in " + faults(text));
    }

    @Test
    void guaranteesMayNotExceedTheTotal() {
        assertOnlyFault(
                POOLS.replace("[[route]]\npool = \"a\"", "[pool.guaranteed]\nrequests = 90\n[[route]]\npool = \"a\"")
                                .replace(
                                        "settings = \"a.json\"\n",
                                        "settings = \"a.json\"\n[pool.guaranteed]\nrequests = 20\n")
                        + "[process]\nrequests = 100\n",
                "add up to 110",
                "100 at most");
    }

    @Test
    void addressListedInTwoPoolsIsAFault() throws Exception {
        settings("{\"id\": \"s\", \"host_port\": \"127.0.0.1:9\", \"locality\": \"a\", \"flavor\": \"m\", \"cell\": 1, "
                + "\"phase\": \"Ready\"}");
        String text = POOLS.replace(".json\"\n", ".json\"\ndiscovery = \"none\"\n");
        assertOnlyFault(text, "belongs to pool a too");
    }

    @Test
    void allFaultsOfASettingsFileAreReported() throws Exception {
        Path at = folder.resolve("a.json");
        Files.writeString(
                at, Files.readString(at).replace("\"my-zone\": 0,", "").replace("\"siblings\": 2", "\"siblings\": -2"));
        assertOnlyFault(POOLS, "settings.siblings is not a number from 0: -2", "settings.my-zone is missing");
    }

    private static String xds(String keys) {
        return "[[pool]]\nname = \"a\"\nsettings = \"a.json\"\n[pool.xds]\n" + keys + "\n[[route]]\npool = \"a\"\n";
    }

    @Test
    void poolMayGetItsServersFromManagementServersOrAFile() throws Exception {
        PoolConfig streamed = OperatorFile.parse(
                        xds(
                                "servers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nform = \"sotw\"\n"
                                        + "cluster = \"c\"\nsubscribe = \"all\"\nnode = \"n\"\nmost-removed-percent = 40\nguard-ms = 5000\n"),
                        folder,
                        null)
                .pools()
                .get(0);
        assertEquals(XdsVariant.SOTW, streamed.xds().form());
        assertEquals("c", streamed.xds().cluster());
        assertEquals(0.4, streamed.xds().rules().maxRemoved());
        assertEquals(5_000_000_000L, streamed.xds().rules().guard());
        assertNull(streamed.upstream().discovery());
        PoolConfig fromFile = OperatorFile.parse(xds("path = \"x.yaml\"\n"), folder, null)
                .pools()
                .get(0);
        assertEquals(folder.resolve("x.yaml"), fromFile.xds().path());
        assertEquals("a", fromFile.xds().cluster(), "the pool's own name by default");
        assertEquals(0, fromFile.xds().rules().guard(), "no guard by default: servers must drain promptly");
        assertFalse(fromFile.differsOnlyInAddresses(streamed));
    }

    @Test
    void faultsOfXdsNameKeyAndAllowedValues() {
        assertOnlyFault(xds("form = \"delta\"\n"), "pool[1].xds.servers", "one of them");
        assertOnlyFault(xds("servers = [\"127.0.0.1:1\"]\npath = \"x\"\n"), "servers and path are both there");
        assertOnlyFault(xds("servers = [\"127.0.0.1\"]\n"), "host:port");
        assertOnlyFault(xds("servers = \"127.0.0.1:1\"\n"), "a list of 1 to 8 texts");
        assertOnlyFault(xds("path = \"x\"\nform = \"deltas\"\n"), "did you mean delta?");
        assertOnlyFault(xds("path = \"x\"\nca = \"nowhere.pem\"\n"), "pool[1].xds.ca", "cannot be read");
        assertOnlyFault(xds("path = \"x\"\nmost-removed-percent = 0\n"), "from 1 to 100");
        assertOnlyFault(xds("path = \"x\"\nclutser = \"c\"\n"), "did you mean cluster?");
        assertOnlyFault(
                "[[pool]]\nname = \"a\"\nsettings = \"a.json\"\ndiscovery = \"127.0.0.1:1\"\n[pool.xds]\npath = \"x\"\n"
                        + "[[route]]\npool = \"a\"\n",
                "discovery",
                "one source of servers");
    }

    @Test
    void recordsNeedAFolderAndALongEnoughKey() throws Exception {
        assertNull(OperatorFile.parse(POOLS, folder, null).records());
        Files.writeString(folder.resolve("key"), "0123456789abcdef");
        String records = "[records]\nfolder = \"records\"\npseudonym-key = \"key\"\n";
        assertEquals(
                new rushpin.traffic.RecordingConfig(
                        folder.resolve("records"), folder.resolve("key"), 8 << 20, 64 << 20, 2_000),
                OperatorFile.parse(records + POOLS, folder, null).records());
        Files.writeString(folder.resolve("key"), "0123456789abcde");
        assertOnlyFault(records + POOLS, "records.pseudonym-key", "has 15 bytes", "16 bytes or more");
        assertOnlyFault("[records]\nfolder = \"records\"\n" + POOLS, "records.pseudonym-key", "is missing");
        Files.writeString(folder.resolve("key"), "0123456789abcdef");
        assertOnlyFault(
                records + "most-bytes = 1000000\nfile-bytes = 500000\n" + POOLS, "records.most-bytes", "1500000");
        assertOnlyFault(records + "keep-days = 3\n" + POOLS, "records.keep-days", "is no key here");
    }

    private static String fleet(String keys, int voters) {
        StringBuilder text = new StringBuilder("[fleet]\n").append(keys);
        for (int i = 0; i < voters; i++) {
            text.append("[[fleet.voter]]\nname = \"n")
                    .append(i)
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(7_000 + i)
                    .append("\"\n");
        }
        return text + POOLS;
    }

    @Test
    void fleetHasDefaultsAndVotersHaveAStateFolder() throws Exception {
        assertNull(OperatorFile.parse(POOLS, folder, null).fleet());
        String own = "name = \"n0\"\nzone = \"a\"\nlisten = \"127.0.0.1:7000\"\nstate = \"s\"\n";
        FleetConfig voter = OperatorFile.parse(fleet(own, 3), folder, null).fleet();
        assertTrue(voter.votes());
        assertEquals(List.of("n0", "n1", "n2"), List.copyOf(voter.addresses().keySet()));
        assertEquals(folder.resolve("s"), voter.state());
        FleetConfig other = OperatorFile.parse(fleet("name = \"n9\"\nzone = \"a\"\n", 5), folder, null)
                .fleet();
        assertFalse(other.votes());
        assertEquals(
                new FleetConfig(
                        "n9",
                        "a",
                        "local",
                        1,
                        null,
                        null,
                        3_000_000_000L,
                        1_000_000_000L,
                        10_000,
                        other.voters(),
                        new Geography(List.of()),
                        Limits.USUAL,
                        List.of()),
                other);
    }

    @Test
    void groupNeedsAPoolAndFittingTenants() throws Exception {
        String group = "[[fleet.group]]\nname = \"book\"\nmost-connections = 10\n";
        String tenant = "[[fleet.group.tenant]]\nname = \"big\"\nfloor = 9\nweight = 2\nplans = [\"bulk\"]\n";
        String own = "name = \"n9\"\nzone = \"a\"\n";
        String pooled = fleet(own + group + tenant, 3)
                .replace("name = \"a\"\nsettings", "name = \"a\"\ngroup = \"book\"\nsettings");
        GroupConfig read = OperatorFile.parse(pooled, folder, null).fleet().group("book");
        assertEquals(
                new GroupConfig(
                        "book",
                        10,
                        1,
                        1,
                        60_000_000_000L,
                        30_000_000_000L,
                        10_000_000_000L,
                        List.of(new GroupConfig.Tenant(
                                "big", 9, 2, GroupConfig.MAX_CONNECTIONS, List.of("bulk"), List.of()))),
                read);
        assertOnlyFault(
                pooled.replace("floor = 9", "floor = 10"),
                "fleet.group[1].tenant",
                "the floors add up to 10",
                "9, at most");
        assertOnlyFault(
                pooled.replace("\"bulk\"]", "\"bluk\"]"), "pool[1].group", "tenant big of group book names plan bluk");
        assertOnlyFault(pooled.replace("most-connections = 10\n", ""), "most-connections", "is missing");
        assertOnlyFault(
                pooled.replace("group = \"book\"", "group = \"look\""),
                "pool[1].group",
                "no [[fleet.group]] is called look");
        assertOnlyFault(pooled.replace("weight = 2", "longest = 2"), "longest", "is no key here");
        assertOnlyFault(
                pooled.replace("most-connections = 10", "most-connections = 10\nlongest-ms = 29000"),
                "pool[1].group",
                "a request may take 30000 ms");
    }

    private static final String REGIONS = """
        [[fleet.region]]
        name = "east"
        zones = ["b", "a"]
        [[fleet.region]]
        name = "west"
        zones = ["c"]
        """;

    @Test
    void regionsKeepTheirOrderAndTheProcessGetsTheRegionOfItsZone() throws Exception {
        String zones = "[fleet.zones]\nreserve-percent = 20\nmost-left-percent = 50\nhold-s = 60\nstep-s = 1\n";
        FleetConfig next = OperatorFile.parse(fleet("name = \"n9\"\nzone = \"a\"\n" + REGIONS + zones, 3), folder, null)
                .fleet();
        assertEquals("east", next.region());
        assertEquals(List.of("b", "a", "c"), next.geography().zones());
        assertEquals(
                List.of(500, 200, 60_000_000_000L, 1_000_000_000L),
                List.of(
                        next.limits().left(),
                        next.limits().reserve(),
                        next.limits().hold(),
                        next.limits().step()));
        // Regions and limits apply at once; other changes are for the next start.
        FleetConfig old = OperatorFile.parse(
                        fleet("name = \"n9\"\nzone = \"c\"\nregion = \"north\"\n", 3), folder, null)
                .fleet();
        FleetConfig taken = old.taking(next);
        assertEquals(next.geography(), taken.geography());
        assertEquals(next.limits(), taken.limits());
        assertEquals("c north", taken.zone() + " " + taken.region());
        assertEquals(List.of("fleet.zone", "fleet.region"), old.forNextStart(next));
    }

    @Test
    void allFaultsOfRegionsAndZonesAreReported() {
        assertOnlyFault(
                fleet("name = \"n9\"\nzone = \"d\"\n" + REGIONS, 3),
                "line 3: fleet.zone: found \"d\", which no region lists",
                "one of b, a, c");
        List<String> found = faults(fleet("name = \"n9\"\nzone = \"a\"\n" + REGIONS + """
            [[fleet.region]]
            name = "west"
            zones = ["d", "a", "e/f"]
            [[fleet.region]]
            names = "south"
            [fleet.zones]
            reserve-percent = 95
            most-left-percent = 0
            hold-s = "10"
            step = 3
            """, 3));
        String all = String.join("\n", found);
        for (String part : List.of(
                "fleet.region[3].name: region west stands there twice; allowed: each name once",
                "fleet.region[3].zones: zone a stands in region east too; allowed: each zone once over all regions",
                "fleet.region[3].zones: found \"e/f\"; allowed: up to 64 of",
                "fleet.region[4].name: is missing",
                "fleet.region[4].zones: is missing; allowed: a list of 1 to 64 zones, in order of preference",
                "fleet.region[4].names: is no key here; did you mean name?",
                "fleet.zones.reserve-percent: found 95; allowed: a whole number from 0 to 90",
                "fleet.zones.most-left-percent: found 0; allowed: a whole number from 1 to 100",
                "fleet.zones.hold-s: found \"10\"",
                "fleet.zones.step: is no key here; did you mean step-s?")) {
            assertTrue(all.contains(part), part + " is not among\n" + all);
        }
        assertEquals(10, found.size(), all);
    }

    @Test
    void allFaultsOfAFleetAreReported() {
        List<String> found = faults("""
            [fleet]
            name = "n0"
            region = "a/b"
            era = 0
            listen = "127.0.0.1:0"
            lease-ms = 100
            drift-percent = "1"
            effects-ms = 7
            [[fleet.voter]]
            name = "n0"
            address = "127.0.0.1:7000"
            [[fleet.voter]]
            name = "n0"
            address = "nowhere"
            [[fleet.voter]]
            name = "n2"
            address = "127.0.0.1:7000"
            [[fleet.voter]]
            adress = "127.0.0.1:7003"
            """ + POOLS);
        String all = String.join("\n", found);
        for (String part : List.of(
                "line 1: fleet.zone: is missing",
                "line 1: fleet.state: is missing and n0 is a voter",
                "line 3: fleet.region: found \"a/b\"; allowed: up to 64 of a-z",
                "line 4: fleet.era: found 0; allowed: a whole number from 1 to 1048576",
                "line 5: fleet.listen: found \"127.0.0.1:0\"; allowed: host:port",
                "line 6: fleet.lease-ms: found 100",
                "line 7: fleet.drift-percent: found \"1\"",
                "line 8: fleet.effects-ms: is no key here; did you mean effect-ms?",
                "line 13: fleet.voter[2].name: voter n0 stands there twice",
                "line 14: fleet.voter[2].address: found \"nowhere\"",
                "line 17: fleet.voter[3].address: voter n0 is reached at",
                "line 18: fleet.voter[4].name: is missing",
                "line 18: fleet.voter[4].address: is missing",
                "line 19: fleet.voter[4].adress: is no key here; did you mean address?")) {
            assertTrue(all.contains(part), part + " is not among\n" + all);
        }
        assertEquals(14, found.size(), all);
    }

    @Test
    void fleetHasThreeToFiveVotersAndOthersNoVoterKeys() {
        assertOnlyFault(fleet("name = \"n9\"\nzone = \"a\"\n", 2), "fleet.voter: has 2 entries", "3 or 5");
        assertOnlyFault(fleet("name = \"n9\"\nzone = \"a\"\n", 6), "fleet.voter: has 6 entries", "5 at most");
        assertOnlyFault(
                fleet("name = \"n9\"\nzone = \"a\"\nlisten = \"127.0.0.1:7\"\n", 3),
                "fleet.listen: is there and n9 is no voter");
    }

    @Test
    void runningFleetChangesOneVoterAtATime() throws Exception {
        String keys = "name = \"n9\"\nzone = \"a\"\n";
        FleetConfig three = OperatorFile.parse(fleet(keys, 3), folder, null).fleet();
        FleetConfig four = OperatorFile.parse(fleet(keys, 4), folder, null).fleet();
        FleetConfig five = OperatorFile.parse(fleet(keys, 5), folder, null).fleet();
        String moved = fleet(keys, 3).replace("n2", "n5").replace("zone = \"a\"", "zone = \"b\"");
        FleetConfig other = OperatorFile.parse(moved, folder, null).fleet();
        three.checkNext(four);
        five.checkNext(four);
        three.checkNext(other);
        assertTrue(assertThrows(OperatorConfig.Faulty.class, () -> three.checkNext(five))
                .getMessage()
                .contains("at a time"));
        assertThrows(OperatorConfig.Faulty.class, () -> five.checkNext(three));
        assertEquals(List.of("fleet.zone"), three.forNextStart(other));
    }
}
