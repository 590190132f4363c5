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

/** Reads the table {@code [fleet]} of the operator's file. */
final class FleetTableReader {
    private static final int MIN_VOTERS = 3;
    private static final int MAX_VOTERS = 5;
    private static final int MAX_NAME_LENGTH = 64;
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long MAX_ERA = 1L << 20;
    /** One percent in millionths. */
    private static final int MILLIONTHS_PER_PERCENT = 10_000;
    /** One percent in thousandths. */
    private static final int THOUSANDTHS_PER_PERCENT = 10;

    private static final int MAX_REGIONS = 32;

    private static final String VOTER = "voter";
    private static final String LISTEN = "listen";
    private static final String STATE = "state";
    private static final String REGION = "region";
    private static final String ZONES = "zones";

    private FleetTableReader() {}

    static FleetConfig read(TableReader fleet, Path folder, Config platform) {
        String ownName = name(fleet, "name", false);
        String name = ownName == null && platform != null ? platform.name() : ownName;
        if (ownName == null && name != null && !isName(name)) {
            fleet.fault("name", "is missing, and the platform's, \"" + name + "\", is not allowed", allowedNames());
        }
        String zone = name(fleet, "zone", true);
        long era = fleet.whole("era", 1, 1, MAX_ERA);
        InetSocketAddress listen = address(fleet, LISTEN);
        String state = fleet.text(STATE, false);
        long lease = fleet.whole("lease-ms", 3_000, 300, 600_000);
        long effect = fleet.whole("effect-ms", 1_000, 0, 600_000);
        long drift = fleet.whole("drift-percent", 1, 0, 20);
        List<FleetConfig.Voter> voters = voters(fleet);
        // Either a name, or tables for all regions: then the region is the one that lists the process's zone.
        Geography geography = fleet.isText(REGION) ? new Geography(List.of()) : geography(fleet);
        String region = fleet.isText(REGION)
                ? name(fleet, REGION, false)
                : geography == null || zone == null ? null : region(fleet, geography, zone);
        Limits limits = limits(fleet.table(ZONES));
        List<GroupConfig> groups = GroupTableReader.read(fleet, lease);
        fleet.done();
        if (name != null && !voters.isEmpty()) {
            checkVoterKeys(
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
                (int) drift * MILLIONTHS_PER_PERCENT,
                voters,
                geography,
                limits,
                groups);
    }

    /** Reads the regions with their zones; null if there is a fault. */
    private static Geography geography(TableReader fleet) {
        List<Geography.Region> regions = new ArrayList<>();
        Map<String, String> zones = new HashMap<>();
        Map<String, String> names = new HashMap<>();
        boolean isValid = true;
        for (TableReader table : fleet.tables(REGION, MAX_REGIONS)) {
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
            isValid &= name != null && !listed.isEmpty();
            for (String zone : listed) {
                String region = name == null ? "another" : name;
                String other = zones.putIfAbsent(zone, region);
                if (!isName(zone)) {
                    table.fault(ZONES, "found \"" + zone + "\"", allowedNames());
                } else if (other != null) {
                    table.fault(
                            ZONES,
                            "zone " + zone + " stands in region " + other + " too",
                            "each zone once over all regions");
                }
                isValid &= other == null && isName(zone);
            }
            if (isValid) {
                regions.add(new Geography.Region(name, listed));
            }
        }
        if (zones.size() > Plan.MOST_ZONES) {
            fleet.fault(REGION, "has " + zones.size() + " zones over all regions", Plan.MOST_ZONES + " at most");
        }
        return isValid ? new Geography(regions) : null;
    }

    /** The region that lists the process's zone; null if there are no regions, or with a fault if none lists it. */
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

    /** Reads the table {@code [fleet.zones]}; absent keys have their defaults. */
    private static Limits limits(TableReader keys) {
        Limits defaults = Limits.USUAL;
        long reserve = keys.whole("reserve-percent", defaults.reserve() / THOUSANDTHS_PER_PERCENT, 0, 90);
        long left = keys.whole("most-left-percent", defaults.left() / THOUSANDTHS_PER_PERCENT, 1, 100);
        long hold = keys.whole("hold-s", defaults.hold() / SECOND, 1, 3_600);
        long step = keys.whole("step-s", defaults.step() / SECOND, 1, 600);
        keys.done();
        return defaults.with(
                (int) left * THOUSANDTHS_PER_PERCENT,
                (int) reserve * THOUSANDTHS_PER_PERCENT,
                hold * SECOND,
                step * SECOND);
    }

    /** Checks the keys that a voter must have and other processes must not have. */
    private static void checkVoterKeys(TableReader fleet, String name, boolean isVoter) {
        if (isVoter && !fleet.has(LISTEN)) {
            fleet.fault(LISTEN, "is missing and " + name + " is a voter", "host:port, where the others reach it");
        }
        if (isVoter && !fleet.has(STATE)) {
            fleet.fault(STATE, "is missing and " + name + " is a voter", "a folder that outlives the process");
        }
        for (String key : List.of(LISTEN, STATE)) {
            if (!isVoter && fleet.has(key)) {
                fleet.fault(key, "is there and " + name + " is no voter", "in the files of voters alone");
            }
        }
    }

    private static List<FleetConfig.Voter> voters(TableReader fleet) {
        List<TableReader> tables = fleet.tables(VOTER, MAX_VOTERS);
        if (tables.size() < MIN_VOTERS) {
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

    private static String allowedNames() {
        return "up to " + MAX_NAME_LENGTH + " of a-z, A-Z, 0-9, '.', '-', '_' and ':'";
    }

    private static boolean isName(String text) {
        return text.length() <= MAX_NAME_LENGTH && text.matches("[a-zA-Z0-9._:-]+");
    }

    /** Reads a name; names go into the replicated log, which allows only these characters. */
    static String name(TableReader table, String key, boolean isRequired) {
        String text = table.text(key, isRequired);
        if (text == null || isName(text)) {
            return text;
        }
        table.fault(key, "found \"" + text + "\"", allowedNames());
        return null;
    }

    private static InetSocketAddress address(TableReader table, String key) {
        String text = table.text(key, false);
        if (text == null) {
            return null;
        }
        try {
            InetSocketAddress address = ServerListReader.address(text, key);
            String host = address.getHostString();
            if (address.getPort() > 0) {
                // A host name is resolved by the caller at each attempt to connect.
                return host.matches("[0-9.]+|.*:.*")
                        ? address
                        : InetSocketAddress.createUnresolved(host, address.getPort());
            }
        } catch (ServerListReader.Malformed e) {
            // Reported below.
        }
        table.fault(key, "found \"" + text + "\"", "host:port with a port from 1 to 65535");
        return null;
    }
}
