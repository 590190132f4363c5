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
import rushpin.membership.xds.Subscription.Item;
import rushpin.membership.xds.Subscription.ResourceRequest;

/**
 * Tests random orders of updates, valid and invalid, messages in flight, lost streams and reconnects: in the end the
 * pool's list is the last valid state of the server, in both variants, and the reported changes add up to it.
 */
class XdsPropertiesTest {
    private static final Names NAMES = new Names(List.of(), List.of(), List.of("a"), List.of());

    /** The resources of the management server with their versions. */
    private static final class Server {
        final Map<String, Any> clusters = new TreeMap<>();
        final Map<String, Any> assignments = new TreeMap<>();
        final Map<String, Long> versions = new HashMap<>();
        long version;

        void set(Map<String, Any> resources, String name, Any value) {
            version++;
            if (value == null) {
                resources.remove(name);
            } else {
                resources.put(name, value);
                versions.put(name + value.getTypeUrl(), version);
            }
        }
    }

    /** A client of one variant, with the messages in flight in both directions and the server's state of its stream. */
    private static final class Client implements Subscription.Port, ClusterView.Port {
        final XdsVariant variant;
        final Server server;
        final ClusterView view = new ClusterView(NAMES, new ClusterView.Rules(1, 0, 1 << 30, 0), List.of(), this);
        final Subscription subscription;
        final ArrayDeque<ResourceRequest> requests = new ArrayDeque<>();
        final ArrayDeque<Answer> answers = new ArrayDeque<>();
        final Map<String, Member> pool = new TreeMap<>();
        final Map<String, List<String>> subscribed = new HashMap<>();
        final Map<String, Map<String, Long>> sentVersions = new HashMap<>();
        final Map<String, String> nonces = new HashMap<>();
        long now;
        long nonce;
        /** The number of reported lists and changes. */
        int lists;
        /** Whether there is a stream. */
        boolean isOpen;

        Client(XdsVariant variant, Server server) {
            this.variant = variant;
            this.server = server;
            subscription = new Subscription(variant, "c", false, this);
        }

        void open() {
            if (!isOpen) {
                isOpen = true;
                subscription.opened();
            }
        }

        void lose() {
            if (isOpen) {
                isOpen = false;
                requests.clear();
                answers.clear();
                subscribed.clear();
                sentVersions.clear();
                nonces.clear();
                subscription.closed();
            }
        }

        /** Delivers one request to the server. */
        void deliverRequest() {
            ResourceRequest request = requests.poll();
            if (request == null) {
                return;
            }
            boolean first = !subscribed.containsKey(request.type());
            if (variant == XdsVariant.SOTW) {
                if (!first && !request.nonce().equals(nonces.getOrDefault(request.type(), ""))) {
                    return;
                }
                boolean changed = first || !subscribed.get(request.type()).equals(request.names());
                subscribed.put(request.type(), request.names());
                if (changed && !request.names().isEmpty()) {
                    push(request.type(), true);
                }
                return;
            }
            List<String> wanted = subscribed.computeIfAbsent(request.type(), t -> new ArrayList<>());
            Map<String, Long> sent = sentVersions.computeIfAbsent(request.type(), t -> new HashMap<>());
            request.initial().forEach((name, version) -> sent.put(name, Long.parseLong(version)));
            wanted.addAll(request.subscribe());
            wanted.removeAll(request.unsubscribe());
            request.unsubscribe().forEach(sent::remove);
            if (!request.subscribe().isEmpty()) {
                request.subscribe().forEach(name -> sent.putIfAbsent(name, -1L));
                push(request.type(), true);
            }
        }

        /** The server sends what the client subscribes to of a type and doesn't have yet. */
        void push(String type, boolean isReply) {
            Map<String, Any> all = type.equals(ResourceReader.CLUSTER) ? server.clusters : server.assignments;
            List<String> wanted = subscribed.get(type);
            if (!isOpen || wanted == null || wanted.isEmpty()) {
                return;
            }
            String fresh = "n" + ++nonce;
            List<Item> items = new ArrayList<>();
            List<String> removed = new ArrayList<>();
            Map<String, Long> sent = sentVersions.computeIfAbsent(type, t -> new HashMap<>());
            for (String name : wanted) {
                Any any = all.get(name);
                long version = any == null ? 0 : server.versions.get(name + type);
                if (variant == XdsVariant.SOTW && any != null) {
                    items.add(new Item("", "" + server.version, any));
                } else if (variant == XdsVariant.DELTA
                        && any != null
                        && !Long.valueOf(version).equals(sent.get(name))) {
                    items.add(new Item(name, "" + version, any));
                    sent.put(name, version);
                } else if (variant == XdsVariant.DELTA && any == null && sent.remove(name) != null) {
                    removed.add(name);
                }
            }
            if (variant == XdsVariant.DELTA && items.isEmpty() && removed.isEmpty()) {
                return;
            }
            nonces.put(type, fresh);
            answers.add(new Answer(type, "" + server.version, fresh, items, removed));
        }

        void deliverAnswer() {
            Answer answer = answers.poll();
            if (answer != null) {
                subscription.answered(answer);
            }
        }

        /** Opens a stream if there is none, and delivers messages until none is in flight. */
        void settle() {
            open();
            while (!requests.isEmpty() || !answers.isEmpty()) {
                deliverRequest();
                deliverAnswer();
            }
        }

        @Override
        public void ask(ResourceRequest request) {
            requests.add(request);
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
        public void list(ServerListUpdate update, boolean whole) {
            lists++;
            if (whole) {
                pool.clear();
            }
            XdsFixtures.follow(pool, update);
        }

        @Override
        public void log(String text) {}
    }

    private static Any assignment(SplittableRandom random, boolean isValid) {
        ClusterLoadAssignment.Builder made = ClusterLoadAssignment.newBuilder().setClusterName("c");
        List<LbEndpoint> all = new ArrayList<>();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            HealthStatus health = random.nextInt(4) == 0 ? HealthStatus.DRAINING : HealthStatus.HEALTHY;
            LbEndpoint one = XdsFixtures.endpoint("10.0.0." + (i + 1), 80 + random.nextInt(2), health);
            all.add(
                    random.nextBoolean()
                            ? one
                            : XdsFixtures.withMetadata(
                                    one, "id", XdsFixtures.text("s" + random.nextInt(100) + "-" + i)));
        }
        if (!isValid) {
            all.add(XdsFixtures.endpoint(0));
        }
        return Any.pack(made.addEndpoints(XdsFixtures.locality("a", 0, all)).build());
    }

    /** The state to compare: address and readiness, by id. */
    private static Map<String, String> states(Iterable<Member> members) {
        Map<String, String> states = new TreeMap<>();
        members.forEach(
                m -> states.put(m.server().id(), m.address() + " " + m.server().readiness()));
        return states;
    }

    private static Map<String, String> expected(Any assignment) throws InvalidResourceException {
        Map<String, String> states = new LinkedHashMap<>();
        if (assignment != null) {
            Endpoints read = ResourceReader.endpoints(assignment);
            read.all().forEach(one -> states.put(one.id(), one.address() + " " + one.readiness()));
        }
        return new TreeMap<>(states);
    }

    @Property(tries = 400)
    void listIsTheLastValidStateOfTheServerInBothVariants(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Server server = new Server();
        List<Client> clients = List.of(new Client(XdsVariant.SOTW, server), new Client(XdsVariant.DELTA, server));
        int steps = random.nextInt(10, 150);
        for (int i = 0; i < steps; i++) {
            int what = random.nextInt(12);
            switch (what) {
                case 0 ->
                    server.set(server.clusters, "c", random.nextInt(4) == 0 ? null : Any.pack(XdsFixtures.eds("c")));
                case 1 ->
                    server.set(
                            server.clusters,
                            "c",
                            Any.pack(XdsFixtures.eds("c").toBuilder()
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
                    case 2, 3, 4 -> client.deliverRequest();
                    default -> client.deliverAnswer();
                }
            }
        }
        // From here on all updates are valid, and all messages are delivered.
        Any last = assignment(random, true);
        server.set(server.clusters, "c", Any.pack(XdsFixtures.eds("c")));
        server.set(server.assignments, "c", last);
        for (Client client : clients) {
            client.push(ResourceReader.CLUSTER, false);
            client.settle();
            client.push(ResourceReader.ENDPOINTS, false);
            client.settle();
            assertEquals(expected(last), states(client.pool.values()), "seed " + seed + ", " + client.variant);
            assertEquals(
                    states(client.view.members()),
                    states(client.pool.values()),
                    "seed " + seed + ": the changes do not add up, " + client.variant);
            // A new stream to an unchanged server reports nothing to the pool.
            int before = client.lists;
            client.lose();
            client.settle();
            assertEquals(
                    expected(last),
                    states(client.pool.values()),
                    "seed " + seed + " after a new stream, " + client.variant);
            assertEquals(
                    before, client.lists, "seed " + seed + ": reported again what the pool knew, " + client.variant);
        }
    }
}
