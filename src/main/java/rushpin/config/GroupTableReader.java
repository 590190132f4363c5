package rushpin.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the tables {@code [[fleet.group]]} of the operator's file. */
final class GroupTableReader {
    private static final int MAX_GROUPS = 16;
    private static final int MAX_TENANTS = 63;
    private static final int MAX_PLANS = 64;
    private static final int MAX_CUSTOMERS = 64;
    private static final int MAX_CONNECTIONS = GroupConfig.MAX_CONNECTIONS;
    private static final long MS = 1_000_000L;
    /** The default of {@code half-open-ms}. */
    private static final long HALF_OPEN_MS = 10_000;
    /** The default of {@code forget-ms}, if the lease is no longer. */
    private static final long FORGET_MS = 60_000;
    /** The default of {@code longest-ms}. */
    private static final long LONGEST_MS = 30_000;

    private static final String CUSTOMERS = "customers";
    private static final String PLANS = "plans";

    private GroupTableReader() {}

    static List<GroupConfig> read(TableReader fleet, long leaseMs) {
        List<GroupConfig> groups = new ArrayList<>();
        Map<String, String> names = new HashMap<>();
        for (TableReader table : fleet.tables("group", MAX_GROUPS)) {
            String name = FleetTableReader.name(table, "name", true);
            if (name != null && names.putIfAbsent(name, name) != null) {
                table.fault("name", "group " + name + " stands there twice", "each name once");
            }
            int maxConnections = (int) table.whole("most-connections", 0, 1, MAX_CONNECTIONS);
            if (!table.has("most-connections")) {
                table.fault("most-connections", "is missing", "a whole number from 1 to " + MAX_CONNECTIONS);
            }
            int reserve = (int) table.whole("reserve", 1, 0, MAX_CONNECTIONS);
            if (maxConnections > 0 && reserve >= maxConnections) {
                table.fault("reserve", "found " + reserve, "less than most-connections, " + maxConnections);
            }
            int own = (int) table.whole("own", 1, 0, MAX_CONNECTIONS);
            long forget = table.whole("forget-ms", Math.max(FORGET_MS, leaseMs), leaseMs, 3_600_000);
            long longest = table.whole("longest-ms", LONGEST_MS, 1, 3_600_000);
            // The node closes idle connections well before this, by a check each second.
            long halfOpen = table.whole("half-open-ms", HALF_OPEN_MS, 2_000, 3_600_000);
            List<GroupConfig.Tenant> tenants = tenants(table);
            long floors = tenants.stream().mapToLong(GroupConfig.Tenant::floor).sum();
            if (maxConnections > 0 && floors > maxConnections - reserve) {
                table.fault(
                        "tenant",
                        "the floors add up to " + floors,
                        "most-connections less reserve, " + (maxConnections - reserve) + ", at most");
            }
            table.done();
            if (name != null) {
                groups.add(new GroupConfig(
                        name, maxConnections, reserve, own, forget * MS, longest * MS, halfOpen * MS, tenants));
            }
        }
        return groups;
    }

    private static List<GroupConfig.Tenant> tenants(TableReader group) {
        List<GroupConfig.Tenant> tenants = new ArrayList<>();
        Map<String, String> names = new HashMap<>();
        Map<String, String> plans = new HashMap<>();
        Map<Long, String> customers = new HashMap<>();
        for (TableReader table : group.tables("tenant", MAX_TENANTS)) {
            String name = FleetTableReader.name(table, "name", true);
            int floor = (int) table.whole("floor", 0, 0, MAX_CONNECTIONS);
            int weight = (int) table.whole("weight", 1, 1, 1_000);
            int cap = (int) table.whole("cap", MAX_CONNECTIONS, 1, MAX_CONNECTIONS);
            if (cap < floor) {
                table.fault("cap", "found " + cap, "its floor, " + floor + ", at least");
            }
            List<String> tenantPlans = table.texts(PLANS, MAX_PLANS);
            List<Long> tenantCustomers = new ArrayList<>();
            for (String customer : table.texts(CUSTOMERS, MAX_CUSTOMERS)) {
                if (customer.matches("[0-9a-f]{16}") && Long.parseUnsignedLong(customer, 16) >= 0) {
                    tenantCustomers.add(Long.parseUnsignedLong(customer, 16));
                } else {
                    table.fault(
                            CUSTOMERS,
                            "found \"" + customer + "\"",
                            "16 digits of 0-9 and a-f, as the cookie has them");
                }
            }
            if (!table.has(PLANS) && !table.has(CUSTOMERS) && name != null && !name.equals(GroupConfig.OTHERS)) {
                tenantPlans = List.of(name);
            }
            table.done();
            if (name == null) {
                continue;
            }
            if (names.putIfAbsent(name, name) != null) {
                table.fault("name", "tenant " + name + " stands there twice", "each name once");
            }
            for (String plan : tenantPlans) {
                String other = plans.putIfAbsent(plan, name);
                if (other != null) {
                    table.fault(PLANS, "plan " + plan + " is tenant " + other + "'s too", "each plan once in a group");
                }
            }
            for (Long customer : tenantCustomers) {
                String other = customers.putIfAbsent(customer, name);
                if (other != null) {
                    table.fault(CUSTOMERS, "a customer is tenant " + other + "'s too", "each customer once in a group");
                }
            }
            tenants.add(new GroupConfig.Tenant(name, floor, weight, cap, tenantPlans, tenantCustomers));
        }
        return tenants;
    }
}
