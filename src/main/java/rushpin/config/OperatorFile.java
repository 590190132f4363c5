package rushpin.config;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import rushpin.config.OperatorConfig.Fault;
import rushpin.gateway.Ports.Counter;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Member;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.discovery.ServerListReader;
import rushpin.net.ByteBudget;
import rushpin.net.Descriptors;
import rushpin.net.Upstream;
import rushpin.net.xds.XdsPlan;
import rushpin.route.Reading;
import rushpin.route.Route;
import rushpin.route.RouteTable;
import rushpin.traffic.Keeping;
import rushpin.traffic.Recorder;

/**
 * Reads the operator's file (TOML 1.0) and the settings it names, whole: all faults are told at once, and with one of
 * them nothing of the file is taken.
 */
public final class OperatorFile {
    /** Bounds that keep a slip of the pen from becoming a process that never starts. */
    private static final int MOST_POOLS = 32, MOST_ROUTES = 1_000, MOST_NAME = 32;

    private static final long MOST = 1L << 40;
    private static final String PLATFORM = "platform", NONE = "none";

    private final Path folder;
    private final Config platform;
    private final List<Fault> faults = new ArrayList<>();
    private final Map<String, TableReader> pools = new LinkedHashMap<>();
    private final Map<String, Config> settings = new HashMap<>();

    private OperatorFile(Path folder, Config platform) {
        this.folder = folder;
        this.platform = platform;
    }

    /**
     * Reads the file.
     *
     * @param platform the platform's JSON; null where a file is only checked and none is at hand
     */
    public static OperatorConfig read(Path file, Config platform) throws OperatorConfig.Faulty {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new OperatorConfig.Faulty(List.of(
                    new Fault("", 0, "the operator's file " + file + " cannot be read: " + e.getMessage(), "")));
        }
        Path folder = file.toAbsolutePath().getParent();
        return parse(text, folder, platform);
    }

    /** Reads the file's text; other files are named from {@code folder}. */
    public static OperatorConfig parse(String text, Path folder, Config platform) throws OperatorConfig.Faulty {
        return new OperatorFile(folder, platform).read(text);
    }

    private OperatorConfig read(String text) throws OperatorConfig.Faulty {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            throw new OperatorConfig.Faulty(toml.errors().stream()
                    .map(e -> new Fault(
                            "",
                            e.position().line(),
                            "this is not TOML: " + e.getMessage().replace('\n', ' '),
                            ""))
                    .toList());
        }
        TableReader root = new TableReader(toml, "", 0, faults);
        TableReader process = root.table("process");
        int sockets = platform == null ? 1024 : platform.sockets();
        long memory = platform == null ? 128L << 20 : platform.memory();
        ResourceLimits total = grants(
                process,
                new ResourceLimits(
                        sockets,
                        Descriptors.of(sockets).servers(),
                        ByteBudget.most(memory) / 2,
                        Math.max(8, sockets / 16)),
                new ResourceLimits(MOST, MOST, MOST, MOST));
        OperatorConfig.Listener listener =
                OperatorConfig.Listener.valueOf(process.word("listener", "own", List.of("own", "reuseport", "inherited"))
                        .toUpperCase(Locale.ROOT));
        String state = process.text("state", false);
        process.done();
        Keeping records = root.has("records") ? records(root.table("records")) : null;
        FleetConfig fleet = root.has("fleet") ? FleetTableReader.read(root.table("fleet"), folder, platform) : null;
        List<TableReader> tables = root.tables("pool", MOST_POOLS);
        if (tables.isEmpty()) {
            root.fault("pool", "there is none", "one table [[pool]] for each service, " + MOST_POOLS + " at most");
        }
        List<PoolConfig> plans = new ArrayList<>();
        for (TableReader pool : tables) {
            PoolConfig plan = pool(pool, total, Math.max(1, tables.size()));
            if (plan != null) {
                plans.add(plan);
            }
        }
        List<Route> routes = routes(root);
        root.done();
        checkSums(process, total, plans);
        checkApart(plans);
        checkGroups(plans, fleet);
        for (Map.Entry<String, TableReader> pool : pools.entrySet()) {
            if (routes.stream().noneMatch(route -> route.pool().equals(pool.getKey()))) {
                pool.getValue().fault("name", "no [[route]] leads to pool " + pool.getKey(), "one at least");
            }
        }
        if (!faults.isEmpty()) {
            faults.sort((a, b) -> Integer.compare(a.line(), b.line()));
            throw new OperatorConfig.Faulty(faults);
        }
        return new OperatorConfig(
                listener,
                state == null ? null : folder.resolve(state),
                total,
                List.copyOf(plans),
                List.copyOf(routes),
                records,
                fleet);
    }

    /** Where traffic is written down; faults are told of a key that pseudonyms can't be made with. */
    private Keeping records(TableReader at) {
        String to = at.text("folder", true), key = at.text("pseudonym-key", true);
        long file = at.whole("file-bytes", Keeping.FILE_BYTES, 1L << 16, 1L << 30);
        long most = at.whole("most-bytes", Keeping.MOST_BYTES, 1L << 18, MOST);
        int perSecond = (int) at.whole("most-per-second", Keeping.MOST_PER_SECOND, 1, 1_000_000);
        if (most < 3 * file) {
            at.fault("most-bytes", "found " + most, "three times records.file-bytes, " + 3 * file + ", or more");
        }
        String why = key == null ? null : Recorder.fault(folder.resolve(key));
        if (why != null) {
            at.fault("pseudonym-key", key + " " + why, "a file of 16 bytes or more, the same at all nodes");
        }
        at.done();
        return to == null || key == null
                ? null
                : new Keeping(folder.resolve(to), folder.resolve(key), file, most, perSecond);
    }

    private static ResourceLimits grants(TableReader at, ResourceLimits otherwise, ResourceLimits most) {
        return new ResourceLimits(
                at.whole("requests", otherwise.requests(), 1, most.requests()),
                at.whole("connections", otherwise.connections(), 1, most.connections()),
                at.whole("body-bytes", otherwise.bytes(), 1, most.bytes()),
                at.whole("connects", otherwise.connects(), 1, most.connects()));
    }

    private PoolConfig pool(TableReader pool, ResourceLimits total, int count) {
        int before = faults.size();
        String name = pool.text("name", true);
        if (name != null && (!name.matches("[a-z0-9][a-z0-9-]*") || name.length() > MOST_NAME)) {
            pool.fault(
                    "name",
                    "found \"" + name + "\"",
                    "up to " + MOST_NAME + " of a-z, 0-9 and '-', a letter or digit first");
        } else if (name != null && pools.putIfAbsent(name, pool) != null) {
            pool.fault("name", "pool " + name + " stands there twice", "each name once");
        }
        String from = pool.text("settings", true);
        Config config = from == null ? null : settings(pool, from);
        String discovery = pool.text("discovery", false);
        String counter = pool.text("counter", false);
        String space = pool.text("counter-space", false);
        if (space != null && (!space.matches("[A-Za-z0-9-]*") || space.length() > MOST_NAME)) {
            pool.fault("counter-space", "found \"" + space + "\"", "up to " + MOST_NAME + " letters, digits and '-'");
        }
        String host = pool.text("host", false);
        String loop = pool.word("loop", "shared", List.of("shared", "own"));
        String group = pool.text("group", false);
        boolean first = pool.flag("count-first");
        boolean inXds = pool.has("xds");
        XdsPlan xds = inXds && name != null ? XdsTableReader.read(pool.table("xds"), name, folder, platform) : null;
        TableReader guaranteed = pool.table("guaranteed");
        ResourceLimits part = grants(
                guaranteed,
                new ResourceLimits(
                        half(total.requests(), count),
                        half(total.connections(), count),
                        half(total.bytes(), count),
                        half(total.connects(), count)),
                total);
        guaranteed.done();
        SocketAddress watched = config == null ? null : address(pool, "discovery", discovery, config.discovery());
        SocketAddress counts = config == null ? null : address(pool, "counter", counter, config.counter());
        if (inXds && discovery != null) {
            pool.fault("discovery", "there is an [xds] table too", "one source of servers");
        }
        pool.done();
        if (config == null || name == null || faults.size() > before) {
            return null;
        }
        if (config.settings().counter().present() && counts == null) {
            pool.fault("counter", "the settings have a counter and no address is given", "host:port");
            return null;
        }
        if (inXds) {
            watched = null;
        } else if (watched == null && config.known().members().stream().noneMatch(Member::isReady)) {
            pool.fault(
                    "discovery",
                    "there is none and the settings list no server that is ready",
                    "host:port, or a list under \"known\" in the settings");
            return null;
        }
        Upstream upstream = new Upstream(
                watched,
                config.settings().counter().present() ? counts : null,
                config.settings().counter().timeout(),
                config.connectTimeout(),
                config.keepAlive(),
                config.settings().counter().largest(),
                config.names(),
                (space == null ? name : space) + ".",
                host);
        return new PoolConfig(
                name,
                upstream,
                first ? countingFirst(config.settings()) : config.settings(),
                seed(config, name),
                config.known(),
                loop.equals("own"),
                part,
                xds,
                group);
    }

    private static Settings countingFirst(Settings of) {
        Counter counter = new Counter(
                of.counter().present(),
                of.counter().timeout(),
                of.counter().settles(),
                of.counter().largest(),
                true);
        return new Settings(
                of.me(),
                of.siblings(),
                of.zone(),
                of.tick(),
                of.sizesTell(),
                of.reports(),
                of.classes(),
                of.plans(),
                of.limits(),
                counter,
                of.rules());
    }

    /** Chance of its own for each pool of each node and each start: the platform's seed is new with each. */
    private long seed(Config config, String name) {
        return (platform == null ? config : platform).seed() ^ name.hashCode() * 0x9E3779B97F4A7C15L;
    }

    private static long half(long total, int count) {
        return Math.max(1, total / 2 / count);
    }

    private Config settings(TableReader pool, String from) {
        if (from.equals(PLATFORM)) {
            if (platform == null) {
                pool.fault(
                        "settings",
                        "GW_CONFIG names no file to take the platform's settings from",
                        "GW_CONFIG, or the path of a JSON file of the platform's form");
            }
            return platform;
        }
        Config known = settings.get(from);
        if (known == null) {
            try {
                known = Config.readPool(folder.resolve(from));
                settings.put(from, known);
            } catch (Config.Invalid e) {
                pool.fault("settings", from + ": " + e.getMessage(), "a JSON file of the platform's form");
            }
        }
        return known;
    }

    private SocketAddress address(TableReader pool, String key, String text, SocketAddress otherwise) {
        if (text == null) {
            return otherwise;
        }
        if (text.equals(NONE)) {
            return null;
        }
        try {
            return ServerListReader.address(text, key);
        } catch (ServerListReader.Malformed e) {
            pool.fault(key, "found \"" + text + "\"", "host:port with a port from 1 to 65535, or \"" + NONE + "\"");
            return null;
        }
    }

    private List<Route> routes(TableReader root) {
        List<Route> routes = new ArrayList<>();
        List<TableReader> at = new ArrayList<>();
        for (TableReader table : root.tables("route", MOST_ROUTES)) {
            Route route = route(table);
            if (route != null) {
                routes.add(route);
                at.add(table);
            }
        }
        for (RouteTable.Tie tie : RouteTable.ties(routes)) {
            at.get(tie.second())
                    .fault(
                            "",
                            "ties with the route at line " + at.get(tie.first()).line("")
                                    + ": a request may match both and neither is the more specific",
                            "another host, path, method or class, or more headers in one of them");
        }
        return routes;
    }

    private Route route(TableReader table) {
        int before = faults.size();
        String pool = table.text("pool", true);
        if (pool != null && !pools.containsKey(pool)) {
            table.fault(
                    "pool",
                    "no [[pool]] is called " + pool + TableReader.nearest(pool, pools.keySet()),
                    String.join(", ", pools.keySet()));
        }
        String host = host(table, table.text("host", false));
        String path = path(table, "path");
        String prefix = path(table, "prefix");
        if (path != null && prefix != null) {
            table.fault("prefix", "path and prefix are both there", "one of them");
        }
        String method = table.text("method", false);
        if (method != null && !method.matches("[A-Z]+")) {
            table.fault("method", "found \"" + method + "\"", "a method in capitals, as GET or POST");
        }
        String requestClass = table.text("class", false);
        if (requestClass != null && pool != null && pools.containsKey(pool)) {
            checkClass(table, pool, requestClass);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        TableReader named = table.table("headers");
        for (String key : named.free()) {
            String value = named.text(key, true);
            if (!key.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]+")) {
                named.fault(key, "is no header's name", "letters, digits and !#$%&'*+.^_`|~-");
            } else if (headers.put(key.toLowerCase(Locale.ROOT), value) != null) {
                named.fault(key, "stands there twice", "each header once, in upper or lower case");
            }
        }
        table.done();
        return faults.size() > before ? null : new Route(pool, host, path, prefix, method, requestClass, headers);
    }

    private void checkClass(TableReader table, String pool, String requestClass) {
        String from = pools.get(pool).text("settings", false);
        Config config = from == null ? null : from.equals(PLATFORM) ? platform : settings.get(from);
        if (config != null && !config.names().classes().contains(requestClass)) {
            table.fault(
                    "class",
                    "pool " + pool + " has no class " + requestClass
                            + TableReader.nearest(requestClass, config.names().classes()),
                    String.join(", ", config.names().classes()));
        }
    }

    private static String host(TableReader table, String host) {
        if (host == null) {
            return null;
        }
        String name = host.startsWith("*.") ? host.substring(2) : host;
        try {
            Reading reading = Reading.of("/", name, true);
            if (reading.host().equals(name)) {
                return host;
            }
        } catch (Reading.Ambiguous e) {
            // Said below.
        }
        table.fault(
                "host",
                "found \"" + host + "\"",
                "a name in lower case without port and closing dot, or *.name for all below it");
        return null;
    }

    private static String path(TableReader table, String key) {
        String path = table.text(key, false);
        if (path == null) {
            return null;
        }
        String why = path.startsWith("/") ? "" : "it does not begin with '/'";
        if (why.isEmpty() && key.equals("prefix") && path.length() > 1 && path.endsWith("/")) {
            why = "a prefix is whole segments and has no '/' at its end";
        }
        try {
            Reading.checkPath(path);
        } catch (Reading.Ambiguous e) {
            why = e.getMessage();
        }
        if (!why.isEmpty()) {
            table.fault(key, "found \"" + path + "\": " + why, "a path with one reading, from '/'");
        }
        return path;
    }

    private void checkSums(TableReader process, ResourceLimits total, List<PoolConfig> plans) {
        checkSum(process, "requests", total, plans, ResourceLimits::requests);
        checkSum(process, "connections", total, plans, ResourceLimits::connections);
        checkSum(process, "body-bytes", total, plans, ResourceLimits::bytes);
        checkSum(process, "connects", total, plans, ResourceLimits::connects);
        long servers =
                platform == null ? MOST : Descriptors.of(platform.sockets()).servers();
        if (total.connections() > servers) {
            process.fault(
                    "connections",
                    "found " + total.connections(),
                    servers + " at most: of " + platform.sockets()
                            + " descriptors clients and the process itself have the others");
        }
    }

    private static void checkSum(
            TableReader process, String key, ResourceLimits total, List<PoolConfig> plans, ToLongFunction<ResourceLimits> of) {
        long sum = plans.stream()
                .mapToLong(plan -> of.applyAsLong(plan.guaranteed()))
                .sum();
        if (sum > of.applyAsLong(total)) {
            process.fault(
                    key,
                    "the pools' guaranteed parts add up to " + sum,
                    of.applyAsLong(total) + " at most, which is " + process.path(key));
        }
    }

    /** A pool's group is one of the fleet's, no other pool's, and its tenants are told by plans that the pool knows. */
    private void checkGroups(List<PoolConfig> plans, FleetConfig fleet) {
        Map<String, String> taken = new HashMap<>();
        for (PoolConfig plan : plans) {
            TableReader at = pools.get(plan.name());
            GroupConfig group = fleet == null || plan.group() == null ? null : fleet.group(plan.group());
            if (plan.group() == null) {
                continue;
            }
            if (group == null) {
                at.fault(
                        "group",
                        "no [[fleet.group]] is called " + plan.group(),
                        fleet == null || fleet.groups().isEmpty()
                                ? "a table [[fleet.group]]"
                                : String.join(
                                        ", ",
                                        fleet.groups().stream()
                                                .map(GroupConfig::name)
                                                .toList()));
                continue;
            }
            String other = taken.putIfAbsent(plan.group(), plan.name());
            if (other != null) {
                at.fault("group", "pool " + other + " has group " + plan.group() + " too", "each group in one pool");
            }
            List<String> known = plan.upstream().names().plans();
            for (GroupConfig.Tenant tenant : group.tenants()) {
                for (String of : tenant.plans()) {
                    if (!known.contains(of)) {
                        at.fault(
                                "group",
                                "tenant " + tenant.name() + " of group " + group.name() + " names plan " + of
                                        + ", which the pool's settings don't",
                                String.join(", ", known));
                    }
                }
            }
            long longest = plan.settings().classes().stream()
                    .mapToLong(one -> one.deadline())
                    .max()
                    .orElse(0);
            if (longest > group.longest()) {
                at.fault(
                        "group",
                        "a request may take " + longest / 1_000_000 + " ms and longest-ms of group " + group.name()
                                + " is " + group.longest() / 1_000_000,
                        "longest-ms no less than the longest deadline of the pool's classes");
            }
        }
    }

    /** What two pools must not have in common. */
    private void checkApart(List<PoolConfig> plans) {
        Map<SocketAddress, String> servers = new HashMap<>();
        Set<String> spaces = new HashSet<>();
        for (PoolConfig plan : plans) {
            Upstream upstream = plan.upstream();
            if (upstream.counter() != null && !spaces.add(upstream.counter() + " " + upstream.countPrefix())) {
                pools.get(plan.name())
                        .fault(
                                "counter-space",
                                "another pool counts under the same names at " + upstream.counter(),
                                "a counter-space of its own for each pool");
            }
            ServerListUpdate known = upstream.discovery() == null ? plan.known() : new ServerListUpdate(0, true, List.of());
            for (Member member : known.members()) {
                String other = servers.putIfAbsent(member.address(), plan.name());
                if (other != null && !other.equals(plan.name())) {
                    pools.get(plan.name())
                            .fault(
                                    "settings",
                                    "server " + member.server().id() + " at " + member.address() + " belongs to pool "
                                            + other + " too",
                                    "each address in one pool: two that"
                                            + " don't know of each other's sends would push a cold server over");
                }
            }
        }
    }
}
