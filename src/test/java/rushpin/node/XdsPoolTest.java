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

/** A pool whose servers come over xDS, from a management server or a file, on real sockets. */
class XdsPoolTest extends NodeTestBase {
    private static final String CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    private static final String EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

    @TempDir
    Path folder;

    private ManagementServer server;

    private ManagementServer startManagementServer() throws Exception {
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

    private EdgeNode node(String form, String extraKeys) throws Exception {
        return node("servers = [\"" + server.address() + "\"]\nform = \"" + form + "\"\n" + extraKeys);
    }

    static Cluster cluster(String name) {
        return Cluster.newBuilder()
                .setName(name)
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSource.newBuilder().setAds(AggregatedConfigSource.getDefaultInstance())))
                .build();
    }

    private static LbEndpoint endpoint(StubServer server, HealthStatus health) {
        String address = server.address();
        int colon = address.lastIndexOf(':');
        // Marked as warm: a server new to the list is cold and gets almost no requests during slow start.
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

    private static ClusterLoadAssignment assignment(LbEndpoint... endpoints) {
        LocalityLbEndpoints.Builder locality = LocalityLbEndpoints.newBuilder()
                .setLocality(Locality.newBuilder().setZone("a"));
        for (LbEndpoint endpoint : endpoints) {
            locality.addLbEndpoints(endpoint);
        }
        return ClusterLoadAssignment.newBuilder()
                .setClusterName("a")
                .addEndpoints(locality)
                .build();
    }

    private ManagementServer.Reply awaitReply(String type) throws InterruptedException {
        ManagementServer.Reply next = server.replies().poll(60, TimeUnit.SECONDS);
        while (next != null && !next.type().equals(type)) {
            next = server.replies().poll(60, TimeUnit.SECONDS);
        }
        assertNotNull(next, "no reply for " + type);
        return next;
    }

    private static String body(Socket client, String id) throws Exception {
        order(client, id);
        StubServer.Message answer = StubServer.read(client);
        return status(answer).equals("200") ? answer.body() : status(answer);
    }

    /** Sends requests until the answer is the expected one, for at most a minute: a push takes effect with a delay. */
    private void awaitBody(EdgeNode node, String expected) throws Exception {
        String seen = "";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; !seen.equals(expected); i++) {
            assertTrue(System.nanoTime() < end, "after a minute the answer is still " + seen + " and not " + expected);
            try (Socket client = client(node)) {
                seen = body(client, "u-" + expected + i);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"sotw", "delta"})
    void pushesChangeTheServersAndAnInvalidOneChangesNothing(String form) throws Exception {
        startManagementServer();
        StubServer old = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(old, HealthStatus.HEALTHY)));
        EdgeNode node = node(form, "");
        awaitBody(node, "old");
        assertNull(awaitReply(CDS).error());
        assertNull(awaitReply(EDS).error());
        LbEndpoint invalid = LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setAddress(Address.newBuilder()
                                .setSocketAddress(SocketAddress.newBuilder()
                                        .setAddress("127.0.0.1")
                                        .setPortValue(0))))
                .build();
        server.set("a", assignment(invalid));
        ManagementServer.Reply rejection = awaitReply(EDS);
        assertTrue(rejection.error().startsWith("a: port_value"), rejection.error());
        server.say(
                EDS,
                Map.of(
                        "a",
                        Any.newBuilder()
                                .setTypeUrl(EDS)
                                .setValue(ByteString.copyFromUtf8("\n\tx"))
                                .build()));
        assertNotNull(awaitReply(EDS).error());
        awaitBody(node, "old");
        server.set("a", assignment(endpoint(old, HealthStatus.DRAINING), endpoint(fresh, HealthStatus.HEALTHY)));
        assertNull(awaitReply(EDS).error());
        awaitBody(node, "new");
        old.requests.clear();
        for (int i = 0; i < 20; i++) {
            try (Socket client = client(node)) {
                assertEquals("new", body(client, "d-" + i));
            }
        }
        assertTrue(old.requests.isEmpty(), "a draining server must get no requests");
    }

    /** Starts a management server with the cluster "a" and one app server that answers "x". */
    private StubServer startOneServerCluster() throws Exception {
        startManagementServer();
        StubServer app = stubServer(m -> m.answer(StubServer.ok("", "x")));
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        return app;
    }

    @Test
    void theLastServerListStaysInForceAndSurvivesARestart() throws Exception {
        StubServer app = startOneServerCluster();
        EdgeNode first = node("delta", "");
        awaitBody(first, "x");
        server.kill();
        awaitBody(first, "x");
        Path cached = folder.resolve("state/xds-a.json");
        while (!Files.exists(cached)) {
            Thread.onSpinWait();
        }
        EdgeNode second = node("delta", "");
        awaitBody(second, "x");
        // The management server is back with the same resources under version 1.
        server.again();
        assertNull(awaitReply(EDS).error());
        awaitBody(second, "x");
    }

    @Test
    void anEmptyClusterRejectsNewRequestsCompletesThoseInFlightAndRecovers() throws Exception {
        startManagementServer();
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer app = stubServer(m -> {
            if (m.startLine().contains("slot=4")
                    && m.headers().get("x-trace-id").equals("held")) {
                go.join();
            }
            m.answer(StubServer.ok("", "x"));
        });
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode node = node("sotw", "");
        awaitBody(node, "x");
        app.requests.clear();
        Socket held = client(node);
        order(held, "held");
        app.next();
        server.remove(CDS, "a");
        awaitBody(node, "429");
        go.complete(null);
        assertEquals("200", status(StubServer.read(held)), "a request in flight must complete");
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        awaitBody(node, "x");
    }

    @Test
    void theNextManagementServerIsUsedWhenTheFirstIsUnreachable() throws Exception {
        StubServer app = startOneServerCluster();
        EdgeNode node =
                node("servers = [\"127.0.0.1:" + ServeProcess.unusedPort() + "\", \"" + server.address() + "\"]\n");
        awaitBody(node, "x");
    }

    @Test
    void aMessageBeyondTheSizeLimitEndsOnlyTheStream() throws Exception {
        StubServer app = startOneServerCluster();
        EdgeNode node = node("delta", "most-message = 100000\n");
        awaitBody(node, "x");
        server.say(
                EDS,
                Map.of(
                        "a",
                        Any.newBuilder()
                                .setTypeUrl(EDS)
                                .setValue(ByteString.copyFrom(new byte[1 << 20]))
                                .build()));
        awaitBody(node, "x");
        // The node opens a new stream and reports on it the versions that it has.
        server.set(
                "a",
                assignment(
                        endpoint(app, HealthStatus.HEALTHY),
                        endpoint(stubServer(m -> m.answer(StubServer.ok("", "y"))), HealthStatus.HEALTHY)));
        awaitBody(node, "y");
    }

    @ParameterizedTest
    @ValueSource(strings = {"json", "yaml"})
    void aFileThatIsReplacedByRenameIsFollowed(String form) throws Exception {
        StubServer old = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        Path file = folder.resolve("servers." + form);
        Files.writeString(file, fileContent(form, assignment(endpoint(old, HealthStatus.HEALTHY))));
        EdgeNode node = node("path = \"servers." + form + "\"\n");
        awaitBody(node, "old");
        replace(file, "{ invalid");
        replace(file, fileContent(form, assignment(endpoint(fresh, HealthStatus.HEALTHY))));
        awaitBody(node, "new");
    }

    @Test
    void ofTwoDisagreeingManagementServersOneIsUsedAtATime() throws Exception {
        StubServer old = stubServer(m -> m.answer(StubServer.ok("", "old")));
        StubServer fresh = stubServer(m -> m.answer(StubServer.ok("", "new")));
        startManagementServer();
        ManagementServer second = new ManagementServer();
        toClose.add(second);
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(old, HealthStatus.HEALTHY)));
        second.set("a", cluster("a"));
        second.set("a", assignment(endpoint(fresh, HealthStatus.HEALTHY)));
        EdgeNode node = node("servers = [\"" + server.address() + "\", \"" + second.address() + "\"]\n");
        awaitBody(node, "old");
        assertEquals(0, second.streams(), "the second server must not be used while the first answers");
        server.kill();
        awaitBody(node, "new");
        second.kill();
        server.again();
        awaitBody(node, "old");
    }

    @Test
    void onlyAManagementServerWithATrustedCertificateIsUsed() throws Exception {
        X509Bundle ca = new CertificateBuilder()
                .subject("CN=test-ca")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        X509Bundle serverCertificate = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .buildIssuedBy(ca);
        X509Bundle nodeCertificate = new CertificateBuilder().subject("CN=node").buildIssuedBy(ca);
        Files.writeString(folder.resolve("ca.pem"), ca.getCertificatePEM());
        Files.writeString(folder.resolve("node.pem"), nodeCertificate.getCertificatePathPEM());
        Files.writeString(folder.resolve("node.key"), nodeCertificate.getPrivateKeyPEM());
        X509Bundle untrustedCertificate = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        StubServer app = stubServer(m -> m.answer(StubServer.ok("", "x")));
        StubServer impostorApp = stubServer(m -> m.answer(StubServer.ok("", "impostor")));
        ManagementServer impostor = new ManagementServer(GrpcSslContexts.configure(SslContextBuilder.forServer(
                        untrustedCertificate.getKeyPair().getPrivate(), untrustedCertificate.getCertificatePath()))
                .build());
        toClose.add(impostor);
        impostor.set("a", cluster("a"));
        impostor.set("a", assignment(endpoint(impostorApp, HealthStatus.HEALTHY)));
        server = new ManagementServer(GrpcSslContexts.configure(SslContextBuilder.forServer(
                        serverCertificate.getKeyPair().getPrivate(), serverCertificate.getCertificatePath()))
                .trustManager(ca.getCertificate())
                .clientAuth(ClientAuth.REQUIRE)
                .build());
        toClose.add(server);
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode edge = node("servers = [\"" + impostor.address() + "\", \"" + server.address()
                + "\"]\nca = \"ca.pem\"\n" + "certificate = \"node.pem\"\nkey = \"node.key\"\n");
        awaitBody(edge, "x");
        assertTrue(impostorApp.requests.isEmpty());
    }

    @Test
    void theDropPercentageOfRequestsIsRejectedEvenly() throws Exception {
        StubServer app = startOneServerCluster();
        EdgeNode node = node("delta", "");
        awaitBody(node, "x");
        awaitReply(EDS);
        server.set(
                "a",
                assignment(endpoint(app, HealthStatus.HEALTHY)).toBuilder()
                        .setPolicy(ClusterLoadAssignment.Policy.newBuilder()
                                .addDropOverloads(ClusterLoadAssignment.Policy.DropOverload.newBuilder()
                                        .setCategory("all")
                                        .setDropPercentage(
                                                FractionalPercent.newBuilder().setNumerator(25))))
                        .build());
        awaitReply(EDS);
        awaitBody(node, "429");
        int dropped = 0;
        for (int i = 0; i < 40; i++) {
            try (Socket client = client(node)) {
                dropped += body(client, "p-" + i).equals("x") ? 0 : 1;
            }
        }
        assertEquals(10, dropped);
    }

    @Test
    void requestsBeyondTheClustersMaxRequestsAreRejected() throws Exception {
        startManagementServer();
        CompletableFuture<Void> go = new CompletableFuture<>();
        StubServer app = stubServer(m -> {
            if (m.headers().get("x-trace-id").equals("held")) {
                go.join();
            }
            m.answer(StubServer.ok("", "x"));
        });
        server.set(
                "a",
                cluster("a").toBuilder()
                        .setCircuitBreakers(CircuitBreakers.newBuilder()
                                .addThresholds(
                                        CircuitBreakers.Thresholds.newBuilder().setMaxRequests(UInt32Value.of(1))))
                        .build());
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        EdgeNode node = node("delta", "");
        awaitBody(node, "x");
        app.requests.clear();
        Socket held = client(node);
        order(held, "held");
        app.next();
        try (Socket client = client(node)) {
            assertEquals("429", body(client, "beyond"));
        }
        go.complete(null);
        assertEquals("200", status(StubServer.read(held)));
        awaitBody(node, "x");
    }

    /**
     * An address stays with the pool that had it first until that pool removes it; then the other pool gets it, with a
     * health state of its own.
     */
    @Test
    void anEndpointMovesFromOnePoolToAnother() throws Exception {
        startManagementServer();
        StubServer one = stubServer(m -> m.answer(StubServer.ok("", "one")));
        StubServer moving = stubServer(m -> m.answer(StubServer.ok("", "moving")));
        server.set("a", cluster("a"));
        server.set("b", cluster("b"));
        server.set("a", assignment(endpoint(moving, HealthStatus.HEALTHY)));
        server.set(
                "b",
                assignment(endpoint(one, HealthStatus.HEALTHY)).toBuilder()
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
        awaitBodyAt(node, "a.svc", "moving");
        awaitBodyAt(node, "b.svc", "one");
        server.set(
                "b",
                assignment(endpoint(moving, HealthStatus.HEALTHY)).toBuilder()
                        .setClusterName("b")
                        .build());
        awaitBodyAt(node, "b.svc", "429");
        awaitBodyAt(node, "a.svc", "moving");
        server.set("a", assignment(endpoint(one, HealthStatus.HEALTHY)));
        awaitBodyAt(node, "b.svc", "moving");
        awaitBodyAt(node, "a.svc", "one");
    }

    private void awaitBodyAt(EdgeNode node, String host, String expected) throws Exception {
        String seen = "";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int i = 0; !seen.equals(expected); i++) {
            assertTrue(
                    System.nanoTime() < end,
                    host + ": after a minute the answer is still " + seen + " and not " + expected);
            try (Socket client = client(node)) {
                Map<String, String> headers = headers("h-" + host + expected + i, "order", "20000");
                headers.put("Host", host);
                write(client, "POST /api", headers, "book");
                StubServer.Message answer = StubServer.read(client);
                seen = status(answer).equals("200") ? answer.body() : status(answer);
            }
        }
    }

    /** A certificate file that is unreadable while it is being replaced must not stop the reconnects. */
    @Test
    void aFileWithoutACertificateIsReadAgainOnTheNextConnect() throws Exception {
        X509Bundle ca = new CertificateBuilder()
                .subject("CN=test-ca")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        X509Bundle serverCertificate = new CertificateBuilder()
                .subject("CN=localhost")
                .addSanIpAddress("127.0.0.1")
                .buildIssuedBy(ca);
        server = new ManagementServer(GrpcSslContexts.configure(SslContextBuilder.forServer(
                        serverCertificate.getKeyPair().getPrivate(), serverCertificate.getCertificatePath()))
                .build());
        toClose.add(server);
        StubServer app = stubServer(m -> m.answer(StubServer.ok("", "x")));
        server.set("a", cluster("a"));
        server.set("a", assignment(endpoint(app, HealthStatus.HEALTHY)));
        Files.writeString(folder.resolve("ca.pem"), "half a file");
        PrintStream originalOut = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            EdgeNode node = node("delta", "ca = \"ca.pem\"\n");
            // Wait until the node has read the invalid file, else the test would prove nothing.
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
            while (!output.toString(StandardCharsets.UTF_8).contains("cannot be asked")) {
                assertTrue(
                        System.nanoTime() < end,
                        "no failed connect logged within a minute: " + output.toString(StandardCharsets.UTF_8));
                Thread.sleep(10);
            }
            replace(folder.resolve("ca.pem"), ca.getCertificatePEM());
            awaitBody(node, "x");
        } finally {
            System.setOut(originalOut);
        }
    }

    /** A management server repeats the same resources unasked: each message is read, and the pool is unaffected. */
    @ParameterizedTest
    @ValueSource(strings = {"sotw", "delta"})
    void aFloodOfUnrequestedResponsesDoesNotDisturbThePool(String form) throws Exception {
        startManagementServer();
        StubServer app = stubServer(m -> m.answer(StubServer.ok("", "x")));
        server.set("a", cluster("a"));
        ClusterLoadAssignment assignment = assignment(endpoint(app, HealthStatus.HEALTHY));
        server.set("a", assignment);
        EdgeNode node = node(form, "");
        awaitBody(node, "x");
        for (int i = 0; i < 300; i++) {
            server.say(EDS, Map.of("a", Any.pack(assignment)));
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
    void aTornCachedListIsLoggedOnceAndIgnored() throws Exception {
        Files.createDirectories(folder.resolve("state"));
        List<String> logged = new ArrayList<>();
        Names names = new Names(List.of(), List.of(), List.of("a"), List.of());
        ServerListCache cache = new ServerListCache(folder.resolve("state"), "a", names);
        assertEquals(List.of(), cache.read(logged::add), "no list is cached yet");
        assertEquals(List.of(), logged);
        for (String torn : List.of(
                "", "{\"revision\":0,\"members\":[{\"id\":\"s\"", "{}", "[1]", "{\"revision\":0,\"members\":[{}]}")) {
            logged.clear();
            Files.writeString(folder.resolve("state/xds-a.json"), torn);
            assertEquals(List.of(), cache.read(logged::add), torn);
            assertEquals(1, logged.size(), torn);
        }
    }

    private static String fileContent(String form, ClusterLoadAssignment assignment) throws Exception {
        if (form.equals("json")) {
            JsonFormat.TypeRegistry types = JsonFormat.TypeRegistry.newBuilder()
                    .add(Cluster.getDescriptor())
                    .add(ClusterLoadAssignment.getDescriptor())
                    .build();
            JsonFormat.Printer printer = JsonFormat.printer().usingTypeRegistry(types);
            return "{\"version_info\":\"1\",\"resources\":[" + printer.print(Any.pack(assignment)) + ","
                    + printer.print(Any.pack(cluster("a"))) + "]}";
        }
        SocketAddress address = assignment
                .getEndpoints(0)
                .getLbEndpoints(0)
                .getEndpoint()
                .getAddress()
                .getSocketAddress();
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
