package rushpin.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.listener.v3.ApiListener;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteAction;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.config.route.v3.RouteMatch;
import io.envoyproxy.envoy.config.route.v3.VirtualHost;
import io.envoyproxy.envoy.extensions.filters.http.router.v3.Router;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpFilter;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ServerCalls;
import io.grpc.xds.XdsNameResolverProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The stand-in management server, judged by a client that is not ours: gRPC's own xDS client must take its answers, find
 * the backend by them, follow a change, and live through a restart of the server.
 */
@Timeout(120)
class ManagementServerTest {
    private static final MethodDescriptor.Marshaller<String> TEXT = new MethodDescriptor.Marshaller<>() {
        @Override
        public InputStream stream(String value) {
            return new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public String parse(InputStream stream) {
            try {
                return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    };
    private static final MethodDescriptor<String, String> WHO = MethodDescriptor.<String, String>newBuilder()
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName("yard.Gate/Who")
            .setRequestMarshaller(TEXT)
            .setResponseMarshaller(TEXT)
            .build();

    private final List<Server> backends = new ArrayList<>();

    private Server backend(String name) throws IOException {
        Server made = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .addService(ServerServiceDefinition.builder("yard.Gate")
                        .addMethod(WHO, ServerCalls.asyncUnaryCall((request, to) -> {
                            to.onNext(name);
                            to.onCompleted();
                        }))
                        .build())
                .build()
                .start();
        backends.add(made);
        return made;
    }

    @AfterEach
    void close() {
        backends.forEach(Server::shutdownNow);
    }

    private static ClusterLoadAssignment at(Server... of) {
        LocalityLbEndpoints.Builder locality = LocalityLbEndpoints.newBuilder()
                .setLocality(Locality.newBuilder().setZone("a"))
                .setLoadBalancingWeight(com.google.protobuf.UInt32Value.of(1));
        for (Server each : of) {
            locality.addLbEndpoints(LbEndpoint.newBuilder()
                    .setHealthStatus(HealthStatus.HEALTHY)
                    .setEndpoint(Endpoint.newBuilder()
                            .setAddress(Address.newBuilder()
                                    .setSocketAddress(SocketAddress.newBuilder()
                                            .setAddress("127.0.0.1")
                                            .setPortValue(each.getPort())))));
        }
        return ClusterLoadAssignment.newBuilder()
                .setClusterName("yard")
                .addEndpoints(locality)
                .build();
    }

    private static Listener listener() {
        RouteConfiguration routes = RouteConfiguration.newBuilder()
                .setName("r")
                .addVirtualHosts(VirtualHost.newBuilder()
                        .setName("v")
                        .addDomains("*")
                        .addRoutes(Route.newBuilder()
                                .setMatch(RouteMatch.newBuilder().setPrefix(""))
                                .setRoute(RouteAction.newBuilder().setCluster("yard"))))
                .build();
        return Listener.newBuilder()
                .setName("gate")
                .setApiListener(ApiListener.newBuilder()
                        .setApiListener(Any.pack(HttpConnectionManager.newBuilder()
                                .setRouteConfig(routes)
                                .addHttpFilters(HttpFilter.newBuilder()
                                        .setName("router")
                                        .setTypedConfig(Any.pack(Router.getDefaultInstance())))
                                .build())))
                .build();
    }

    private static Cluster cluster() {
        return Cluster.newBuilder()
                .setName("yard")
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSource.newBuilder().setAds(AggregatedConfigSource.getDefaultInstance())))
                .setConnectTimeout(Duration.newBuilder().setSeconds(5))
                .build();
    }

    private static String ask(ManagedChannel channel) {
        return ClientCalls.blockingUnaryCall(
                channel, WHO, CallOptions.DEFAULT.withWaitForReady().withDeadlineAfter(60, TimeUnit.SECONDS), "?");
    }

    @Test
    void anotherClientTakesItsAnswers() throws Exception {
        Server first = backend("first"), second = backend("second");
        try (ManagementServer server = new ManagementServer()) {
            server.set("gate", listener());
            server.set("yard", cluster());
            server.set("yard", at(first));
            Map<String, ?> bootstrap = Map.of(
                    "node",
                    Map.of("id", "judge"),
                    "xds_servers",
                    List.of(Map.of(
                            "server_uri",
                            server.address(),
                            "channel_creds",
                            List.of(Map.of("type", "insecure")),
                            "server_features",
                            List.of("xds_v3"))));
            // A registration of its own: the bootstrap is this test's alone.
            XdsNameResolverProvider provider = XdsNameResolverProvider.createForTest("judge-xds", bootstrap);
            io.grpc.NameResolverRegistry.getDefaultRegistry().register(provider);
            ManagedChannel channel = NettyChannelBuilder.forTarget("judge-xds:///gate")
                    .usePlaintext()
                    .build();
            try {
                assertEquals("first", ask(channel));
                server.set("yard", at(second));
                String who = "first";
                while (who.equals("first")) {
                    who = ask(channel);
                }
                assertEquals("second", who);
                server.kill();
                assertEquals("second", ask(channel), "what it had last stays in force");
                server.again();
                server.set("yard", at(first));
                while (who.equals("second")) {
                    who = ask(channel);
                }
                assertEquals("first", who);
                for (ManagementServer.Reply reply = server.replies().poll();
                        reply != null;
                        reply = server.replies().poll()) {
                    assertEquals(null, reply.error(), "nothing was refused: " + reply);
                    assertNotNull(reply.nonce());
                }
            } finally {
                channel.shutdownNow();
                channel.awaitTermination(30, TimeUnit.SECONDS);
                io.grpc.NameResolverRegistry.getDefaultRegistry().deregister(provider);
            }
        }
    }
}
