package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Any;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.Metadata;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.type.v3.FractionalPercent;
import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.config.Config;
import rushpin.config.OperatorFile;
import rushpin.membership.Names;
import rushpin.net.xds.ServerListCache;
import rushpin.rig.ManagementServer;

/** A pool whose servers a management server or a file tells, on real sockets. */
class XdsPoolTest extends Stage {
    private static final String CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    private static final String EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

    @TempDir
    Path folder;

    private ManagementServer server;

    private ManagementServer management() throws Exception {
        server = new ManagementServer();
        toClose.add(server);
        return server;
    }

    private EdgeNode node(String xds) throws Exception {
        Config config = Config.parse(config());
        EdgeNode made = new EdgeNode(
                config,
                OperatorFile.parse(
                        "[process]\nstate = \"state\"\n[[pool]]\nname = \"a\"\n"
                                + "settings = \"platform\"\n[pool.xds]\n" + xds + "\n[[route]]\npool = \"a\"\n",
                        folder,
                        config));
        toClose.add(made);
        made.start();
        return made;
    }

    private EdgeNode node(String form, String more) throws Exception {
        return node("servers = [\"" + server.address() + "\"]\nform = \"" + form + "\"\n" + more);
    }

    static Cluster cluster(String name) {
        return Cluster.newBuilder()
                .setName(name)
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSource.newBuilder().setAds(AggregatedConfigSource.getDefaultInstance())))
                .build();
    }

    private static LbEndpoint endpoint(Peer of, HealthStatus health) {
        String address = of.address();
        int colon = address.lastIndexOf(':');
        // Warm: a server that is new to the list is cold, and has hardly anything for its ramp's time.
        Struct warm = Struct.newBuilder()
                .putFields("started_ms", Value.newBuilder().setNumberValue(0).build())
                .build();
        return LbEndpoint.newBuilder()
                .setHealthStatus(health)
                .setMetadata(Metadata.newBuilder().putFilterMetadata("rushpin", warm))
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress(address.substring(0, colon))
                                        .setPortValue(Integer.parseInt(address.substring(colon + 1))))))
                .build();
    }

    private static ClusterLoadAssignment at(LbEndpoint... of) {
        LocalityLbEndpoints.Builder locality = LocalityLbEndpoints.newBuilder()
                .setLocality(Locality.newBuilder().setZone("a"));
        for (LbEndpoint each : of) {
            locality.addLbEndpoints(each);
        }
        return ClusterLoadAssignment.newBuilder()
                .setClusterName("a")
                .addEndpoints(locality)
                .build();
    }

    private ManagementServer.Reply reply(String type) throws InterruptedException {
        ManagementServer.Reply next = server.replies().poll(60, TimeUnit.SECONDS);
        while (next != null && !next.type().equals(type)) {
            next = server.replies().poll(60, TimeUnit.SECONDS);
        }
        assertNotNull(next, "no reply for " + type);
        return next;
    }

    private static String body(Socket client, String id) throws Exception {
        order(client, id);
        Peer.Message answer = Peer.read(client);
        return status(answer).equals("200") ? answer.body() : status(answer);
    }

    /** Asks until the answer is the wanted one: a push takes its time, and no longer than the test's. */
    private void until(EdgeNode node, String wanted) throws Exception {
        String seen = "";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; !seen.equals(wanted); i++) {
            assertTrue(System.nanoTime() < end, "after a minute it is still " + seen + " and not " + wanted);
            try (Socket client = client(node)) {
                seen = body(client, "u-" + wanted + i);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"sotw", "delta"})
    void serversComeAndGoByPushesAndABadOneChangesNothing(String form) throws Exception {
        management();
        Peer old = peer(m -> m.answer(Peer.ok("", "old")));
        Peer fresh = peer(m -> m.answer(Peer.ok("", "new")));
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(old, HealthStatus.HEALTHY)));
        EdgeNode node = node(form, "");
        until(node, "old");
        assertNull(reply(CDS).error());
        assertNull(reply(EDS).error());
        LbEndpoint bad = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("127.0.0.1")
                                        .setPortValue(0))))
                .build();
        server.set("a", at(bad));
        ManagementServer.Reply refusal = reply(EDS);
        assertTrue(refusal.error().startsWith("a: port_value"), refusal.error());
        server.say(
                EDS,
                Map.of(
                        "a",
                        Any.newBuilder()
                                .setTypeUrl(EDS)
                                .setValue(ByteString.copyFromUtf8("\n\tx"))
                                .build()));
        assertNotNull(reply(EDS).error());
        until(node, "old");
        server.set("a", at(endpoint(old, HealthStatus.DRAINING), endpoint(fresh, HealthStatus.HEALTHY)));
        assertNull(reply(EDS).error());
        until(node, "new");
        old.seen.clear();
        for (int i = 0; i < 20; i++) {
            try (Socket client = client(node)) {
                assertEquals("new", body(client, "d-" + i));
            }
        }
        assertTrue(old.seen.isEmpty(), "sent to one that drains");
    }

    /** The cluster "a" at a management server, with one app server that answers "x". */
    private Peer listed() throws Exception {
        management();
        Peer app = peer(m -> m.answer(Peer.ok("", "x")));
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        return app;
    }

    @Test
    void whatWasHadLastStaysInForceAndComesBackAfterARestart() throws Exception {
        Peer app = listed();
        EdgeNode first = node("delta", "");
        until(first, "x");
        server.kill();
        until(first, "x");
        Path kept = folder.resolve("state/xds-a.json");
        while (!Files.exists(kept)) {
            Thread.onSpinWait();
        }
        EdgeNode second = node("delta", "");
        until(second, "x");
        // The server is back with the same world under version 1.
        server.again();
        assertNull(reply(EDS).error());
        until(second, "x");
    }

    @Test
    void anEmptyClusterTurnsAwayAtOnceWhatIsInFlightEndsAndTheNextUpdateHeals() throws Exception {
        management();
        CompletableFuture<Void> go = new CompletableFuture<>();
        Peer app = peer(m -> {
            if (m.first().contains("slot=4") && m.headers().get("x-trace-id").equals("held")) {
                go.join();
            }
            m.answer(Peer.ok("", "x"));
        });
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode node = node("sotw", "");
        until(node, "x");
        app.seen.clear();
        Socket held = client(node);
        order(held, "held");
        app.next();
        server.remove(CDS, "a");
        until(node, "429");
        go.complete(null);
        assertEquals("200", status(Peer.read(held)), "what is in flight ends");
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        until(node, "x");
    }

    @Test
    void theNextServerIsAskedWhereTheFirstIsAway() throws Exception {
        Peer app = listed();
        EdgeNode node = node("servers = [\"127.0.0.1:" + Daemon.free() + "\", \"" + server.address() + "\"]\n");
        until(node, "x");
    }

    @Test
    void aMessageBeyondItsBoundEndsTheStreamAndNothingElse() throws Exception {
        Peer app = listed();
        EdgeNode node = node("delta", "most-message = 100000\n");
        until(node, "x");
        server.say(
                EDS,
                Map.of(
                        "a",
                        Any.newBuilder()
                                .setTypeUrl(EDS)
                                .setValue(ByteString.copyFrom(new byte[1 << 20]))
                                .build()));
        until(node, "x");
        // A new stream is opened, and says that all is had.
        server.set(
                "a",
                at(
                        endpoint(app, HealthStatus.HEALTHY),
                        endpoint(peer(m -> m.answer(Peer.ok("", "y"))), HealthStatus.HEALTHY)));
        until(node, "y");
    }

    @ParameterizedTest
    @ValueSource(strings = {"json", "yaml"})
    void aFileThatIsReplacedByRenameIsFollowed(String form) throws Exception {
        Peer old = peer(m -> m.answer(Peer.ok("", "old")));
        Peer fresh = peer(m -> m.answer(Peer.ok("", "new")));
        Path file = folder.resolve("servers." + form);
        Files.writeString(file, text(form, at(endpoint(old, HealthStatus.HEALTHY))));
        EdgeNode node = node("path = \"servers." + form + "\"\n");
        until(node, "old");
        replace(file, "{ this is nothing");
        replace(file, text(form, at(endpoint(fresh, HealthStatus.HEALTHY))));
        until(node, "new");
    }

    @Test
    void twoServersThatDisagreeAreHeardOneAtATime() throws Exception {
        Peer old = peer(m -> m.answer(Peer.ok("", "old")));
        Peer fresh = peer(m -> m.answer(Peer.ok("", "new")));
        management();
        ManagementServer second = new ManagementServer();
        toClose.add(second);
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(old, HealthStatus.HEALTHY)));
        second.set("a", cluster("a"));
        second.set("a", at(endpoint(fresh, HealthStatus.HEALTHY)));
        EdgeNode node = node("servers = [\"" + server.address() + "\", \"" + second.address() + "\"]\n");
        until(node, "old");
        assertEquals(0, second.streams(), "the second is not asked while the first answers");
        server.kill();
        until(node, "new");
        second.kill();
        server.again();
        until(node, "old");
    }

    @Test
    void aServerThatProvesItselfIsTrustedAndOneThatDoesNotIsNot() throws Exception {
        X509Bundle ca = new CertificateBuilder()
                .subject("CN=yard")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        X509Bundle own = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .buildIssuedBy(ca);
        X509Bundle node = new CertificateBuilder().subject("CN=node").buildIssuedBy(ca);
        Files.writeString(folder.resolve("ca.pem"), ca.getCertificatePEM());
        Files.writeString(folder.resolve("node.pem"), node.getCertificatePathPEM());
        Files.writeString(folder.resolve("node.key"), node.getPrivateKeyPEM());
        X509Bundle stranger = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        Peer app = peer(m -> m.answer(Peer.ok("", "x")));
        Peer lured = peer(m -> m.answer(Peer.ok("", "lured")));
        ManagementServer imposter = new ManagementServer(GrpcSslContexts.configure(
                        SslContextBuilder.forServer(stranger.getKeyPair().getPrivate(), stranger.getCertificatePath()))
                .build());
        toClose.add(imposter);
        imposter.set("a", cluster("a"));
        imposter.set("a", at(endpoint(lured, HealthStatus.HEALTHY)));
        server = new ManagementServer(GrpcSslContexts.configure(
                        SslContextBuilder.forServer(own.getKeyPair().getPrivate(), own.getCertificatePath()))
                .trustManager(ca.getCertificate())
                .clientAuth(ClientAuth.REQUIRE)
                .build());
        toClose.add(server);
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode edge = node("servers = [\"" + imposter.address() + "\", \"" + server.address()
                + "\"]\nca = \"ca.pem\"\n" + "certificate = \"node.pem\"\nkey = \"node.key\"\n");
        until(edge, "x");
        assertTrue(lured.seen.isEmpty());
    }

    @Test
    void thePartThatIsToBeDroppedIsRefusedEvenly() throws Exception {
        Peer app = listed();
        EdgeNode node = node("delta", "");
        until(node, "x");
        reply(EDS);
        server.set(
                "a",
                at(endpoint(app, HealthStatus.HEALTHY)).toBuilder()
                        .setPolicy(ClusterLoadAssignment.Policy.newBuilder()
                                .addDropOverloads(ClusterLoadAssignment.Policy.DropOverload.newBuilder()
                                        .setCategory("all")
                                        .setDropPercentage(
                                                FractionalPercent.newBuilder().setNumerator(25))))
                        .build());
        reply(EDS);
        until(node, "429");
        int dropped = 0;
        for (int i = 0; i < 40; i++) {
            try (Socket client = client(node)) {
                dropped += body(client, "p-" + i).equals("x") ? 0 : 1;
            }
        }
        assertEquals(10, dropped);
    }

    @Test
    void theClustersBoundOnRequestsRefusesWhatIsBeyond() throws Exception {
        management();
        CompletableFuture<Void> go = new CompletableFuture<>();
        Peer app = peer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                go.join();
            }
            m.answer(Peer.ok("", "x"));
        });
        server.set(
                "a",
                cluster("a").toBuilder()
                        .setCircuitBreakers(CircuitBreakers.newBuilder()
                                .addThresholds(
                                        CircuitBreakers.Thresholds.newBuilder().setMaxRequests(UInt32Value.of(1))))
                        .build());
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode node = node("delta", "");
        until(node, "x");
        app.seen.clear();
        Socket held = client(node);
        order(held, "held");
        app.next();
        try (Socket client = client(node)) {
            assertEquals("429", body(client, "beyond"));
        }
        go.complete(null);
        assertEquals("200", status(Peer.read(held)));
        until(node, "x");
    }

    /** The pool that had an address keeps it until it lets go; then the other one has it, with its own health. */
    @Test
    void anEndpointMovesFromOnePoolToAnother() throws Exception {
        management();
        Peer one = peer(m -> m.answer(Peer.ok("", "one"))), moving = peer(m -> m.answer(Peer.ok("", "moving")));
        server.set("a", cluster("a"));
        server.set("b", cluster("b"));
        server.set("a", at(endpoint(moving, HealthStatus.HEALTHY)));
        server.set(
                "b",
                at(endpoint(one, HealthStatus.HEALTHY)).toBuilder()
                        .setClusterName("b")
                        .build());
        Config config = Config.parse(config());
        String pool = "[[pool]]\nname = \"%s\"\nsettings = \"platform\"\n[pool.xds]\nservers = [\"" + server.address()
                + "\"]\n[[route]]\npool = \"%s\"\nhost = \"%s.svc\"\n";
        EdgeNode node = new EdgeNode(
                config,
                OperatorFile.parse(pool.formatted("a", "a", "a") + pool.formatted("b", "b", "b"), folder, config));
        toClose.add(node);
        node.start();
        untilAt(node, "a.svc", "moving");
        untilAt(node, "b.svc", "one");
        server.set(
                "b",
                at(endpoint(moving, HealthStatus.HEALTHY)).toBuilder()
                        .setClusterName("b")
                        .build());
        untilAt(node, "b.svc", "429");
        untilAt(node, "a.svc", "moving");
        server.set("a", at(endpoint(one, HealthStatus.HEALTHY)));
        untilAt(node, "b.svc", "moving");
        untilAt(node, "a.svc", "one");
    }

    private void untilAt(EdgeNode node, String host, String wanted) throws Exception {
        String seen = "";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; !seen.equals(wanted); i++) {
            assertTrue(System.nanoTime() < end, host + ": after a minute it is still " + seen + " and not " + wanted);
            try (Socket client = client(node)) {
                Map<String, String> headers = headers("h-" + host + wanted + i, "order", "20000");
                headers.put("Host", host);
                write(client, "POST /api", headers, "book");
                Peer.Message answer = Peer.read(client);
                seen = status(answer).equals("200") ? answer.body() : status(answer);
            }
        }
    }

    /** A key that is being replaced is no reason to ask no more. */
    @Test
    void aFileThatHoldsNoCertificateIsReadAgainWithTheNextTry() throws Exception {
        X509Bundle ca = new CertificateBuilder()
                .subject("CN=yard")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        X509Bundle own = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .buildIssuedBy(ca);
        server = new ManagementServer(GrpcSslContexts.configure(
                        SslContextBuilder.forServer(own.getKeyPair().getPrivate(), own.getCertificatePath()))
                .build());
        toClose.add(server);
        Peer app = peer(m -> m.answer(Peer.ok("", "x")));
        server.set("a", cluster("a"));
        server.set("a", at(endpoint(app, HealthStatus.HEALTHY)));
        Files.writeString(folder.resolve("ca.pem"), "half a file");
        PrintStream before = System.out;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        try {
            EdgeNode node = node("delta", "ca = \"ca.pem\"\n");
            // Not before it has been read once as it is: else nothing is shown.
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
            while (!said.toString(StandardCharsets.UTF_8).contains("cannot be asked")) {
                assertTrue(System.nanoTime() < end, "a minute has passed: " + said.toString(StandardCharsets.UTF_8));
                Thread.sleep(10);
            }
            replace(folder.resolve("ca.pem"), ca.getCertificatePEM());
            until(node, "x");
        } finally {
            System.setOut(before);
        }
    }

    /** It says the same again and again without being asked: each is read in its turn, and the pool notices nothing. */
    @ParameterizedTest
    @ValueSource(strings = {"sotw", "delta"})
    void aFloodThatNobodyAskedForDisturbsNobody(String form) throws Exception {
        management();
        Peer app = peer(m -> m.answer(Peer.ok("", "x")));
        server.set("a", cluster("a"));
        ClusterLoadAssignment world = at(endpoint(app, HealthStatus.HEALTHY));
        server.set("a", world);
        EdgeNode node = node(form, "");
        until(node, "x");
        for (int i = 0; i < 300; i++) {
            server.say(EDS, Map.of("a", Any.pack(world)));
            server.say(
                    "type.googleapis.com/no.such.Type",
                    Map.of("a", Any.newBuilder().setTypeUrl("x/no.such.Type").build()));
        }
        for (int i = 0; i < 20; i++) {
            try (Socket client = client(node)) {
                assertEquals("x", body(client, "f-" + i));
            }
        }
    }

    @Test
    void aTornListFromBeforeIsOneLineAndNoList() throws Exception {
        Files.createDirectories(folder.resolve("state"));
        List<String> said = new ArrayList<>();
        Names names = new Names(List.of(), List.of(), List.of("a"), List.of());
        ServerListCache kept = new ServerListCache(folder.resolve("state"), "a", names);
        assertEquals(List.of(), kept.read(said::add), "none yet");
        assertEquals(List.of(), said);
        for (String torn : List.of(
                "", "{\"revision\":0,\"members\":[{\"id\":\"s\"", "{}", "[1]", "{\"revision\":0,\"members\":[{}]}")) {
            said.clear();
            Files.writeString(folder.resolve("state/xds-a.json"), torn);
            assertEquals(List.of(), kept.read(said::add), torn);
            assertEquals(1, said.size(), torn);
        }
    }

    private static String text(String form, ClusterLoadAssignment of) throws Exception {
        if (form.equals("json")) {
            JsonFormat.TypeRegistry types = JsonFormat.TypeRegistry.newBuilder()
                    .add(Cluster.getDescriptor())
                    .add(ClusterLoadAssignment.getDescriptor())
                    .build();
            JsonFormat.Printer printer = JsonFormat.printer().usingTypeRegistry(types);
            return "{\"version_info\":\"1\",\"resources\":[" + printer.print(Any.pack(of)) + ","
                    + printer.print(Any.pack(cluster("a"))) + "]}";
        }
        SocketAddress address =
                of.getEndpoints(0).getLbEndpoints(0).getEndpoint().getAddress().getSocketAddress();
        return """
            version_info: "1"
            resources:
            - "@type": type.googleapis.com/envoy.config.cluster.v3.Cluster
              name: a
              type: EDS
              eds_cluster_config: {eds_config: {ads: {}}}
            - "@type": type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment
              cluster_name: a
              endpoints:
              - locality: {zone: a}
                lb_endpoints:
                - metadata: {filter_metadata: {rushpin: {started_ms: 0}}}
                  endpoint:
                    address:
                      socket_address: {address: 127.0.0.1, port_value: %d}
            """.formatted(address.getPortValue());
    }

    private static void replace(Path file, String text) throws Exception {
        Path draft = Files.writeString(file.resolveSibling("draft"), text);
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
