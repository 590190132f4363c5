package rushpin.membership.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import rushpin.membership.Member;
import rushpin.membership.Names;
import rushpin.membership.ServerListUpdate;
import rushpin.membership.xds.Subscription.Answer;
import rushpin.membership.xds.Subscription.ResourceRequest;
import rushpin.membership.xds.Subscription.Item;

/**
 * Any order of pushes, bad ones among them, of messages in flight, losses and reconnects: in the end the pool's list is
 * what the server had last that could be taken, by both forms alike, and what was told bit by bit adds up to it.
 */
class XdsPropertiesTest {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of("a"), List.of());

    /** The server's side: versions by resource, and for each stream what it has sent. */
    private static final class Server {
        final Map<String, Any> clusters = new TreeMap<>(), assignments = new TreeMap<>();
        final Map<String, Long> versions = new HashMap<>();
        long version;

        void set(Map<String, Any> of, String name, Any to) {
            version++;
            if (to == null) {
                of.remove(name);
            } else {
                of.put(name, to);
                versions.put(name + to.getTypeUrl(), version);
            }
        }
    }

    /** A client by one form, with the messages that are under way in both directions. */
    private static final class Client implements Subscription.Port, ClusterView.Port {
        final XdsVariant form;
        final Server server;
        final ClusterView view = new ClusterView(NAMES, new ClusterView.Rules(1, 0, 1 << 30, 0), List.of(), this);
        final Subscription subscription;
        final ArrayDeque<ResourceRequest> asks = new ArrayDeque<>();
        final ArrayDeque<Answer> answers = new ArrayDeque<>();
        final Map<String, Member> pool = new TreeMap<>();
        final Map<String, List<String>> names = new HashMap<>();
        final Map<String, Map<String, Long>> had = new HashMap<>();
        final Map<String, String> nonces = new HashMap<>();
        long now, nonce;
        int lists;
        boolean up;

        Client(XdsVariant form, Server server) {
            this.form = form;
            this.server = server;
            subscription = new Subscription(form, "c", false, this);
        }

        void open() {
            if (!up) {
                up = true;
                subscription.opened();
            }
        }

        void lose() {
            if (up) {
                up = false;
                asks.clear();
                answers.clear();
                names.clear();
                had.clear();
                nonces.clear();
                subscription.closed();
            }
        }

        /** One request reaches the server. */
        void hear() {
            ResourceRequest ask = asks.poll();
            if (ask == null) {
                return;
            }
            boolean first = !names.containsKey(ask.type());
            if (form == XdsVariant.SOTW) {
                if (!first && !ask.nonce().equals(nonces.getOrDefault(ask.type(), ""))) {
                    return;
                }
                boolean changed = first || !names.get(ask.type()).equals(ask.names());
                names.put(ask.type(), ask.names());
                if (changed && !ask.names().isEmpty()) {
                    push(ask.type(), true);
                }
                return;
            }
            List<String> of = names.computeIfAbsent(ask.type(), t -> new ArrayList<>());
            Map<String, Long> has = had.computeIfAbsent(ask.type(), t -> new HashMap<>());
            ask.initial().forEach((name, version) -> has.put(name, Long.parseLong(version)));
            of.addAll(ask.subscribe());
            of.removeAll(ask.unsubscribe());
            ask.unsubscribe().forEach(has::remove);
            if (!ask.subscribe().isEmpty()) {
                ask.subscribe().forEach(name -> has.putIfAbsent(name, -1L));
                push(ask.type(), true);
            }
        }

        /** The server tells this client what it subscribes to of a type, as far as it has not. */
        void push(String type, boolean asked) {
            Map<String, Any> all = type.equals(ResourceReader.CLUSTER) ? server.clusters : server.assignments;
            List<String> of = names.get(type);
            if (!up || of == null || of.isEmpty()) {
                return;
            }
            String fresh = "n" + ++nonce;
            List<Item> items = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            Map<String, Long> has = had.computeIfAbsent(type, t -> new HashMap<>());
            for (String name : of) {
                Any any = all.get(name);
                long version = any == null ? 0 : server.versions.get(name + type);
                if (form == XdsVariant.SOTW && any != null) {
                    items.add(new Item("", "" + server.version, any));
                } else if (form == XdsVariant.DELTA
                        && any != null
                        && !Long.valueOf(version).equals(has.get(name))) {
                    items.add(new Item(name, "" + version, any));
                    has.put(name, version);
                } else if (form == XdsVariant.DELTA && any == null && has.remove(name) != null) {
                    removed.add(name);
                }
            }
            if (form == XdsVariant.DELTA && items.isEmpty() && removed.isEmpty()) {
                return;
            }
            nonces.put(type, fresh);
            answers.add(new Answer(type, "" + server.version, fresh, items, removed));
        }

        void deliver() {
            Answer answer = answers.poll();
            if (answer != null) {
                subscription.answered(answer);
            }
        }

        void settle() {
            open();
            while (!asks.isEmpty() || !answers.isEmpty()) {
                hear();
                deliver();
            }
        }

        @Override
        public void ask(ResourceRequest ask) {
            asks.add(ask);
        }

        @Override
        public void cluster(ClusterSpec spec) {
            view.cluster(spec, now, now);
        }

        @Override
        public void endpoints(Endpoints endpoints) {
            view.endpoints(endpoints, now, now);
        }

        @Override
        public void giveUp(String why) {
            throw new AssertionError(why);
        }

        @Override
        public void list(ServerListUpdate roll, boolean whole) {
            lists++;
            if (whole) {
                pool.clear();
            }
            Worlds.follow(pool, roll);
        }

        @Override
        public void log(String text) {}
    }

    private static Any assignment(SplittableRandom random, boolean good) {
        ClusterLoadAssignment.Builder made = ClusterLoadAssignment.newBuilder().setClusterName("c");
        List<LbEndpoint> all = new ArrayList<>();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            HealthStatus health = random.nextInt(4) == 0 ? HealthStatus.DRAINING : HealthStatus.HEALTHY;
            LbEndpoint one = Worlds.endpoint("10.0.0." + (i + 1), 80 + random.nextInt(2), health);
            all.add(
                    random.nextBoolean()
                            ? one
                            : Worlds.said(one, "id", Worlds.text("s" + random.nextInt(100) + "-" + i)));
        }
        if (!good) {
            all.add(Worlds.endpoint(0));
        }
        return Any.pack(made.addEndpoints(Worlds.locality("a", 0, all)).build());
    }

    /** What the pool should have: id to address and readiness. */
    private static Map<String, String> shape(Iterable<Member> members) {
        Map<String, String> shape = new TreeMap<>();
        members.forEach(
                m -> shape.put(m.server().id(), m.address() + " " + m.server().readiness()));
        return shape;
    }

    private static Map<String, String> wanted(Any assignment) throws InvalidResourceException {
        Map<String, String> shape = new LinkedHashMap<>();
        if (assignment != null) {
            Endpoints read = ResourceReader.endpoints(assignment);
            read.all().forEach(one -> shape.put(one.id(), one.address() + " " + one.readiness()));
        }
        return new TreeMap<>(shape);
    }

    @Property(tries = 400)
    void theListIsTheServersLastThatCouldBeTakenByBothFormsAlike(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Server server = new Server();
        List<Client> clients = List.of(new Client(XdsVariant.SOTW, server), new Client(XdsVariant.DELTA, server));
        int steps = random.nextInt(10, 150);
        for (int i = 0; i < steps; i++) {
            int what = random.nextInt(12);
            switch (what) {
                case 0 -> server.set(server.clusters, "c", random.nextInt(4) == 0 ? null : Any.pack(Worlds.eds("c")));
                case 1 ->
                    server.set(
                            server.clusters,
                            "c",
                            Any.pack(Worlds.eds("c").toBuilder()
                                    .setType(Cluster.DiscoveryType.LOGICAL_DNS)
                                    .build()));
                case 2, 3 -> server.set(server.assignments, "c", assignment(random, true));
                case 4 -> server.set(server.assignments, "c", assignment(random, false));
                default -> {}
            }
            for (Client client : clients) {
                client.now = i;
                if (what <= 4) {
                    client.push(what <= 1 ? ResourceReader.CLUSTER : ResourceReader.ENDPOINTS, false);
                }
                switch (random.nextInt(8)) {
                    case 0 -> client.open();
                    case 1 -> {
                        if (random.nextInt(3) == 0) {
                            client.lose();
                        }
                    }
                    case 2, 3, 4 -> client.hear();
                    default -> client.deliver();
                }
            }
        }
        // From here on all is good, and is waited for.
        Any last = assignment(random, true);
        server.set(server.clusters, "c", Any.pack(Worlds.eds("c")));
        server.set(server.assignments, "c", last);
        for (Client client : clients) {
            client.push(ResourceReader.CLUSTER, false);
            client.settle();
            client.push(ResourceReader.ENDPOINTS, false);
            client.settle();
            assertEquals(wanted(last), shape(client.pool.values()), "seed " + seed + ", " + client.form);
            assertEquals(
                    shape(client.view.members()),
                    shape(client.pool.values()),
                    "seed " + seed + ": the changes add up, " + client.form);
            // A new stream to the same world tells the pool nothing.
            int before = client.lists;
            client.lose();
            client.settle();
            assertEquals(
                    wanted(last), shape(client.pool.values()), "seed " + seed + " after a new stream, " + client.form);
            assertEquals(before, client.lists, "seed " + seed + ": told again what it knew, " + client.form);
        }
    }
}
