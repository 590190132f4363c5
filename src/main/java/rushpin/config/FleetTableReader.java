package rushpin.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rushpin.accord.Plan;
import rushpin.failover.Geography;
import rushpin.failover.Limits;
import rushpin.membership.discovery.ServerListReader;

/** The table {@code [fleet]} of the operator's file. */
final class FleetTableReader {
    private static final int LEAST_VOTERS = 3, MOST_VOTERS = 5, MOST_NAME = 64;
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, MOST_ERA = 1L << 20;
    /** A hundredth in millionths. */
    private static final int PERCENT = 10_000;
    /** A hundredth in thousandths. */
    private static final int TENTHS = 10, MOST_REGIONS = 32;

    private static final String VOTER = "voter", LISTEN = "listen", STATE = "state", REGION = "region", ZONES = "zones";

    private FleetTableReader() {}

    static FleetConfig read(TableReader fleet, Path folder, Config platform) {
        String said = name(fleet, "name", false);
        String name = said == null && platform != null ? platform.name() : said;
        if (said == null && name != null && !isName(name)) {
            fleet.fault("name", "is missing, and the platform's, \"" + name + "\", is none", names());
        }
        String zone = name(fleet, "zone", true);
        long era = fleet.whole("era", 1, 1, MOST_ERA);
        InetSocketAddress listen = address(fleet, LISTEN);
        String state = fleet.text(STATE, false);
        long lease = fleet.whole("lease-ms", 3_000, 300, 600_000);
        long effect = fleet.whole("effect-ms", 1_000, 0, 600_000);
        long drift = fleet.whole("drift-percent", 1, 0, 20);
        List<FleetConfig.Voter> voters = voters(fleet);
        // A word for one, or tables for all: then the process's own is the one that lists its zone.
        Geography geography = fleet.isText(REGION) ? new Geography(List.of()) : geography(fleet);
        String region = fleet.isText(REGION)
                ? name(fleet, REGION, false)
                : geography == null || zone == null ? null : region(fleet, geography, zone);
        Limits limits = limits(fleet.table(ZONES));
        List<GroupConfig> groups = GroupTableReader.read(fleet, lease);
        fleet.done();
        if (name != null && !voters.isEmpty()) {
            checkPlace(
                    fleet, name, voters.stream().anyMatch(voter -> voter.name().equals(name)));
        }
        return new FleetConfig(
                name,
                zone,
                region == null ? "local" : region,
                era,
                listen,
                state == null ? null : folder.resolve(state),
                lease * MS,
                effect * MS,
                (int) drift * PERCENT,
                voters,
                geography,
                limits,
                groups);
    }

    /** Regions with their zones; null with a fault. */
    private static Geography geography(TableReader fleet) {
        List<Geography.Region> regions = new ArrayList<>();
        Map<String, String> zones = new HashMap<>(), names = new HashMap<>();
        boolean whole = true;
        for (TableReader table : fleet.tables(REGION, MOST_REGIONS)) {
            String name = name(table, "name", true);
            if (name != null && names.putIfAbsent(name, name) != null) {
                table.fault("name", "region " + name + " stands there twice", "each name once");
                name = null;
            }
            List<String> listed = table.texts(ZONES, Plan.MOST_ZONES);
            if (!table.has(ZONES)) {
                table.fault(
                        ZONES, "is missing", "a list of 1 to " + Plan.MOST_ZONES + " zones, in order of preference");
            }
            table.done();
            whole &= name != null && !listed.isEmpty();
            for (String zone : listed) {
                String where = name == null ? "another" : name, other = zones.putIfAbsent(zone, where);
                if (!isName(zone)) {
                    table.fault(ZONES, "found \"" + zone + "\"", names());
                } else if (other != null) {
                    table.fault(
                            ZONES,
                            "zone " + zone + " stands in region " + other + " too",
                            "each zone once over all regions");
                }
                whole &= other == null && isName(zone);
            }
            if (whole) {
                regions.add(new Geography.Region(name, listed));
            }
        }
        if (zones.size() > Plan.MOST_ZONES) {
            fleet.fault(REGION, "has " + zones.size() + " zones over all", Plan.MOST_ZONES + " at most");
        }
        return whole ? new Geography(regions) : null;
    }

    /** The region that the process's zone is listed in; null where none are listed, or with a fault. */
    private static String region(TableReader fleet, Geography geography, String zone) {
        String own = geography.regions().stream()
                .filter(each -> each.zones().contains(zone))
                .map(Geography.Region::name)
                .findFirst()
                .orElse(null);
        if (own == null && !geography.regions().isEmpty()) {
            fleet.fault(
                    "zone",
                    "found \"" + zone + "\", which no region lists",
                    "one of " + String.join(", ", geography.zones()));
        }
        return own;
    }

    /** The table {@code [fleet.zones]}; without it all is as usual. */
    private static Limits limits(TableReader keys) {
        Limits usual = Limits.USUAL;
        long reserve = keys.whole("reserve-percent", usual.reserve() / TENTHS, 0, 90);
        long left = keys.whole("most-left-percent", usual.left() / TENTHS, 1, 100);
        long hold = keys.whole("hold-s", usual.hold() / SECOND, 1, 3_600);
        long step = keys.whole("step-s", usual.step() / SECOND, 1, 600);
        keys.done();
        return usual.with((int) left * TENTHS, (int) reserve * TENTHS, hold * SECOND, step * SECOND);
    }

    /** What a voter must have, and who is none must not. */
    private static void checkPlace(TableReader fleet, String name, boolean votes) {
        if (votes && !fleet.has(LISTEN)) {
            fleet.fault(LISTEN, "is missing and " + name + " is a voter", "host:port, where the others reach it");
        }
        if (votes && !fleet.has(STATE)) {
            fleet.fault(STATE, "is missing and " + name + " is a voter", "a folder that outlives the process");
        }
        for (String key : List.of(LISTEN, STATE)) {
            if (!votes && fleet.has(key)) {
                fleet.fault(key, "is there and " + name + " is no voter", "in the files of voters alone");
            }
        }
    }

    private static List<FleetConfig.Voter> voters(TableReader fleet) {
        List<TableReader> tables = fleet.tables(VOTER, MOST_VOTERS);
        if (tables.size() < LEAST_VOTERS) {
            fleet.fault(
                    VOTER,
                    tables.isEmpty()
                            ? "there is none"
                            : "has " + tables.size() + (tables.size() == 1 ? " entry" : " entries"),
                    "3 or 5 tables [[fleet.voter]]; 4 on the way from one to the other");
        }
        List<FleetConfig.Voter> voters = new ArrayList<>();
        Map<String, Integer> names = new HashMap<>();
        Map<InetSocketAddress, String> addresses = new HashMap<>();
        for (TableReader table : tables) {
            String name = name(table, "name", true);
            InetSocketAddress address = address(table, "address");
            if (!table.has("address")) {
                table.fault("address", "is missing", "host:port, how this process reaches that voter");
            }
            table.done();
            if (name != null && names.putIfAbsent(name, table.line("name")) != null) {
                table.fault("name", "voter " + name + " stands there twice", "each name once");
            }
            String other = name == null || address == null ? null : addresses.putIfAbsent(address, name);
            if (other != null && !other.equals(name)) {
                table.fault("address", "voter " + other + " is reached at " + address + " too", "each address once");
            }
            if (name != null && address != null) {
                voters.add(new FleetConfig.Voter(name, address));
            }
        }
        return voters;
    }

    private static String names() {
        return "up to " + MOST_NAME + " of a-z, A-Z, 0-9, '.', '-', '_' and ':'";
    }

    private static boolean isName(String text) {
        return text.length() <= MOST_NAME && text.matches("[a-zA-Z0-9._:-]+");
    }

    /** Names go into what is agreed on, which takes these letters alone. */
    static String name(TableReader at, String key, boolean must) {
        String text = at.text(key, must);
        if (text == null || isName(text)) {
            return text;
        }
        at.fault(key, "found \"" + text + "\"", names());
        return null;
    }

    private static InetSocketAddress address(TableReader at, String key) {
        String text = at.text(key, false);
        if (text == null) {
            return null;
        }
        try {
            InetSocketAddress address = ServerListReader.address(text, key);
            String host = address.getHostString();
            if (address.getPort() > 0) {
                // A name is looked up by who connects, as often as it has to.
                return host.matches("[0-9.]+|.*:.*")
                        ? address
                        : InetSocketAddress.createUnresolved(host, address.getPort());
            }
        } catch (ServerListReader.Malformed e) {
            // Said below.
        }
        at.fault(key, "found \"" + text + "\"", "host:port with a port from 1 to 65535");
        return null;
    }
}
