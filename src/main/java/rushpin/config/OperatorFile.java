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
import rushpin.net.xds.XdsConfig;
import rushpin.route.RequestTarget;
import rushpin.route.Route;
import rushpin.route.RouteTable;
import rushpin.traffic.Recorder;
import rushpin.traffic.RecordingConfig;

/**
 * Reads and checks the operator's file (TOML 1.0) and the settings files that it names. All faults are reported
 * together, and a file with a fault is rejected whole.
 */
public final class OperatorFile {
    // Bounds, so that a typing error can't make a process that never finishes its start.
    private static final int MAX_POOLS = 32;
    private static final int MAX_ROUTES = 1_000;
    private static final int MAX_NAME_LENGTH = 32;
    private static final long MAX_AMOUNT = 1L << 40;
    /** The value of {@code settings} for the platform's own settings. */
    private static final String PLATFORM = "platform";
    /** The value of {@code discovery} and {@code counter} for none. */
    private static final String NONE = "none";

    /** The folder of the file, against which its relative paths are resolved. */
    private final Path folder;
    /** The platform's configuration; null if a file is only checked. */
    private final Config platform;

    private final List<Fault> faults = new ArrayList<>();
    /** The tables of the pools, by name. */
    private final Map<String, TableReader> pools = new LinkedHashMap<>();
    /** The settings files read so far, by name. */
    private final Map<String, Config> settings = new HashMap<>();

    private OperatorFile(Path folder, Config platform) {
        this.folder = folder;
        this.platform = platform;
    }

    /**
     * Reads the file.
     *
     * @param platform the platform's configuration; null if a file is only checked and there is none
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

    /** Parses the file's text; relative paths in it begin at {@code folder}. */
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
        ResourceLimits total = limits(
                process,
                new ResourceLimits(
                        sockets,
                        Descriptors.of(sockets).servers(),
                        ByteBudget.capacity(memory) / 2,
                        Math.max(8, sockets / 16)),
                new ResourceLimits(MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT, MAX_AMOUNT));
        OperatorConfig.Listener listener = OperatorConfig.Listener.valueOf(
                process.word("listener", "own", List.of("own", "reuseport", "inherited"))
                        .toUpperCase(Locale.ROOT));
        String state = process.text("state", false);
        process.done();
        RecordingConfig records = root.has("records") ? records(root.table("records")) : null;
        FleetConfig fleet = root.has("fleet") ? FleetTableReader.read(root.table("fleet"), folder, platform) : null;
        List<TableReader> tables = root.tables("pool", MAX_POOLS);
        if (tables.isEmpty()) {
            root.fault("pool", "there is none", "one table [[pool]] for each service, " + MAX_POOLS + " at most");
        }
        List<PoolConfig> configs = new ArrayList<>();
        for (TableReader pool : tables) {
            PoolConfig config = pool(pool, total, Math.max(1, tables.size()));
            if (config != null) {
                configs.add(config);
            }
        }
        List<Route> routes = routes(root);
        root.done();
        checkSums(process, total, configs);
        checkApart(configs);
        checkGroups(configs, fleet);
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
                List.copyOf(configs),
                List.copyOf(routes),
                records,
                fleet);
    }

    /** Reads where traffic is recorded; an unusable key for pseudonyms is a fault. */
    private RecordingConfig records(TableReader table) {
        String target = table.text("folder", true);
        String key = table.text("pseudonym-key", true);
        long fileBytes = table.whole("file-bytes", RecordingConfig.DEFAULT_FILE_BYTES, 1L << 16, 1L << 30);
        long maxBytes = table.whole("most-bytes", RecordingConfig.DEFAULT_MAX_BYTES, 1L << 18, MAX_AMOUNT);
        int perSecond = (int) table.whole("most-per-second", RecordingConfig.DEFAULT_MAX_PER_SECOND, 1, 1_000_000);
        if (maxBytes < 3 * fileBytes) {
            table.fault(
                    "most-bytes",
                    "found " + maxBytes,
                    "three times records.file-bytes, " + 3 * fileBytes + ", or more");
        }
        String why = key == null ? null : Recorder.keyFault(folder.resolve(key));
        if (why != null) {
            table.fault("pseudonym-key", key + " " + why, "a file of 16 bytes or more, the same at all nodes");
        }
        table.done();
        return target == null || key == null
                ? null
                : new RecordingConfig(folder.resolve(target), folder.resolve(key), fileBytes, maxBytes, perSecond);
    }

    private static ResourceLimits limits(TableReader table, ResourceLimits defaults, ResourceLimits max) {
        return new ResourceLimits(
                table.whole("requests", defaults.requests(), 1, max.requests()),
                table.whole("connections", defaults.connections(), 1, max.connections()),
                table.whole("body-bytes", defaults.bytes(), 1, max.bytes()),
                table.whole("connects", defaults.connects(), 1, max.connects()));
    }

    private PoolConfig pool(TableReader pool, ResourceLimits total, int count) {
        int before = faults.size();
        String name = pool.text("name", true);
        if (name != null && (!name.matches("[a-z0-9][a-z0-9-]*") || name.length() > MAX_NAME_LENGTH)) {
            pool.fault(
                    "name",
                    "found \"" + name + "\"",
                    "up to " + MAX_NAME_LENGTH + " of a-z, 0-9 and '-', a letter or digit first");
        } else if (name != null && pools.putIfAbsent(name, pool) != null) {
            pool.fault("name", "pool " + name + " stands there twice", "each name once");
        }
        String from = pool.text("settings", true);
        Config config = from == null ? null : settings(pool, from);
        String discovery = pool.text("discovery", false);
        String counter = pool.text("counter", false);
        String space = pool.text("counter-space", false);
        if (space != null && (!space.matches("[A-Za-z0-9-]*") || space.length() > MAX_NAME_LENGTH)) {
            pool.fault(
                    "counter-space",
                    "found \"" + space + "\"",
                    "up to " + MAX_NAME_LENGTH + " letters, digits and '-'");
        }
        String host = pool.text("host", false);
        String loop = pool.word("loop", "shared", List.of("shared", "own"));
        String group = pool.text("group", false);
        boolean countsFirst = pool.flag("count-first");
        boolean hasXds = pool.has("xds");
        XdsConfig xds = hasXds && name != null ? XdsTableReader.read(pool.table("xds"), name, folder, platform) : null;
        TableReader guaranteed = pool.table("guaranteed");
        ResourceLimits guarantee = limits(
                guaranteed,
                new ResourceLimits(
                        half(total.requests(), count),
                        half(total.connections(), count),
                        half(total.bytes(), count),
                        half(total.connects(), count)),
                total);
        guaranteed.done();
        SocketAddress discoveryAddress =
                config == null ? null : address(pool, "discovery", discovery, config.discovery());
        SocketAddress counterAddress = config == null ? null : address(pool, "counter", counter, config.counter());
        if (hasXds && discovery != null) {
            pool.fault("discovery", "there is an [xds] table too", "one source of servers");
        }
        pool.done();
        if (config == null || name == null || faults.size() > before) {
            return null;
        }
        if (config.settings().counter().present() && counterAddress == null) {
            pool.fault("counter", "the settings have a counter and no address is given", "host:port");
            return null;
        }
        if (hasXds) {
            discoveryAddress = null;
        } else if (discoveryAddress == null && config.known().members().stream().noneMatch(Member::isReady)) {
            pool.fault(
                    "discovery",
                    "there is none and the settings list no server that is ready",
                    "host:port, or a list under \"known\" in the settings");
            return null;
        }
        Upstream upstream = new Upstream(
                discoveryAddress,
                config.settings().counter().present() ? counterAddress : null,
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
                countsFirst ? countingFirst(config.settings()) : config.settings(),
                seed(config, name),
                config.known(),
                loop.equals("own"),
                guarantee,
                xds,
                group);
    }

    /** The settings with {@code count-first}: the counter is asked before a request is sent. */
    private static Settings countingFirst(Settings settings) {
        Counter counter = new Counter(
                settings.counter().present(),
                settings.counter().timeout(),
                settings.counter().reportsTrueUnits(),
                settings.counter().largest(),
                true);
        return new Settings(
                settings.me(),
                settings.siblings(),
                settings.zone(),
                settings.tick(),
                settings.sizesAreWeights(),
                settings.reports(),
                settings.classes(),
                settings.plans(),
                settings.limits(),
                counter,
                settings.rules());
    }

    /** A seed that differs by pool, node and start: the platform's seed is new for each node and start. */
    private long seed(Config config, String name) {
        return (platform == null ? config : platform).seed() ^ name.hashCode() * 0x9E3779B97F4A7C15L;
    }

    /** The default guarantee of a pool: half of an even share. */
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

    private SocketAddress address(TableReader pool, String key, String text, SocketAddress defaultAddress) {
        if (text == null) {
            return defaultAddress;
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
        List<TableReader> sources = new ArrayList<>();
        for (TableReader table : root.tables("route", MAX_ROUTES)) {
            Route route = route(table);
            if (route != null) {
                routes.add(route);
                sources.add(table);
            }
        }
        for (RouteTable.Tie tie : RouteTable.ties(routes)) {
            sources.get(tie.second())
                    .fault(
                            "",
                            "ties with the route at line "
                                    + sources.get(tie.first()).line("")
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
        TableReader headerTable = table.table("headers");
        for (String key : headerTable.allKeys()) {
            String value = headerTable.text(key, true);
            if (!key.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]+")) {
                headerTable.fault(key, "is not a header name", "letters, digits and !#$%&'*+.^_`|~-");
            } else if (headers.put(key.toLowerCase(Locale.ROOT), value) != null) {
                headerTable.fault(key, "stands there twice", "each header once, in upper or lower case");
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
            RequestTarget reading = RequestTarget.of("/", name, true);
            if (reading.host().equals(name)) {
                return host;
            }
        } catch (RequestTarget.Ambiguous e) {
            // Reported below.
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
            RequestTarget.checkPath(path);
        } catch (RequestTarget.Ambiguous e) {
            why = e.getMessage();
        }
        if (!why.isEmpty()) {
            table.fault(key, "found \"" + path + "\": " + why, "a path with one reading, from '/'");
        }
        return path;
    }

    private void checkSums(TableReader process, ResourceLimits total, List<PoolConfig> configs) {
        checkSum(process, "requests", total, configs, ResourceLimits::requests);
        checkSum(process, "connections", total, configs, ResourceLimits::connections);
        checkSum(process, "body-bytes", total, configs, ResourceLimits::bytes);
        checkSum(process, "connects", total, configs, ResourceLimits::connects);
        long servers = platform == null
                ? MAX_AMOUNT
                : Descriptors.of(platform.sockets()).servers();
        if (total.connections() > servers) {
            process.fault(
                    "connections",
                    "found " + total.connections(),
                    servers + " at most: of " + platform.sockets()
                            + " descriptors, clients and the process itself take the others");
        }
    }

    private static void checkSum(
            TableReader process,
            String key,
            ResourceLimits total,
            List<PoolConfig> configs,
            ToLongFunction<ResourceLimits> amount) {
        long sum = configs.stream()
                .mapToLong(config -> amount.applyAsLong(config.guaranteed()))
                .sum();
        if (sum > amount.applyAsLong(total)) {
            process.fault(
                    key,
                    "the pools' guaranteed parts add up to " + sum,
                    amount.applyAsLong(total) + " at most, which is " + process.path(key));
        }
    }

    /**
     * Checks that a pool's group is one of the fleet's, is in no other pool, and has tenants with plans of the pool.
     */
    private void checkGroups(List<PoolConfig> configs, FleetConfig fleet) {
        Map<String, String> taken = new HashMap<>();
        for (PoolConfig config : configs) {
            TableReader table = pools.get(config.name());
            GroupConfig group = fleet == null || config.group() == null ? null : fleet.group(config.group());
            if (config.group() == null) {
                continue;
            }
            if (group == null) {
                table.fault(
                        "group",
                        "no [[fleet.group]] is called " + config.group(),
                        fleet == null || fleet.groups().isEmpty()
                                ? "a table [[fleet.group]]"
                                : String.join(
                                        ", ",
                                        fleet.groups().stream()
                                                .map(GroupConfig::name)
                                                .toList()));
                continue;
            }
            String other = taken.putIfAbsent(config.group(), config.name());
            if (other != null) {
                table.fault(
                        "group", "pool " + other + " has group " + config.group() + " too", "each group in one pool");
            }
            List<String> known = config.upstream().names().plans();
            for (GroupConfig.Tenant tenant : group.tenants()) {
                for (String plan : tenant.plans()) {
                    if (!known.contains(plan)) {
                        table.fault(
                                "group",
                                "tenant " + tenant.name() + " of group " + group.name() + " names plan " + plan
                                        + ", which the pool's settings don't",
                                String.join(", ", known));
                    }
                }
            }
            long longest = config.settings().classes().stream()
                    .mapToLong(requestClass -> requestClass.deadline())
                    .max()
                    .orElse(0);
            if (longest > group.longest()) {
                table.fault(
                        "group",
                        "a request may take " + longest / 1_000_000 + " ms and longest-ms of group " + group.name()
                                + " is " + group.longest() / 1_000_000,
                        "longest-ms no less than the longest deadline of the pool's classes");
            }
        }
    }

    /** Checks that no two pools share an address of an app server or names at the counter. */
    private void checkApart(List<PoolConfig> configs) {
        Map<SocketAddress, String> servers = new HashMap<>();
        Set<String> spaces = new HashSet<>();
        for (PoolConfig config : configs) {
            Upstream upstream = config.upstream();
            if (upstream.counter() != null && !spaces.add(upstream.counter() + " " + upstream.countPrefix())) {
                pools.get(config.name())
                        .fault(
                                "counter-space",
                                "another pool counts under the same names at " + upstream.counter(),
                                "a counter-space of its own for each pool");
            }
            ServerListUpdate known =
                    upstream.discovery() == null ? config.known() : new ServerListUpdate(0, true, List.of());
            for (Member member : known.members()) {
                String other = servers.putIfAbsent(member.address(), config.name());
                if (other != null && !other.equals(config.name())) {
                    pools.get(config.name())
                            .fault(
                                    "settings",
                                    "server " + member.server().id() + " at " + member.address() + " belongs to pool "
                                            + other + " too",
                                    "each address in one pool: two pools that"
                                            + " don't know of each other's requests would overload a cold server");
                }
            }
        }
    }
}
