package rushpin.rig;

import com.google.protobuf.Any;
import com.google.protobuf.Message;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A management server that speaks the aggregated discovery service in both forms (xDS protocol, v3), with whatever
 * resources it is given. It keeps to the protocol, and tells lies when it is told to. All state is guarded by itself.
 */
public final class ManagementServer implements AutoCloseable {
    private static final int MOST_REFUSALS = 10_000;

    /** A refusal or an acknowledgement that a client has sent. */
    public record Reply(String type, String version, String nonce, String error) {}

    /** A resource and the version of its last change. */
    private record Kept(Any resource, long version) {}

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Map<String, Kept>> kinds = new HashMap<>();
    private final Set<Stream<?>> streams = new LinkedHashSet<>();
    private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>(MOST_REFUSALS);
    private final SslContext tls;
    private Server server;
    private int port;
    private long version, nonces;

    /** Listens at a port of the system's, in plain text. */
    public ManagementServer() throws IOException {
        this(null);
    }

    /** Listens at a port of the system's, by TLS unless {@code tls} is null. */
    public ManagementServer(SslContext tls) throws IOException {
        this.tls = tls;
        open();
    }

    private void open() throws IOException {
        NettyServerBuilder builder = NettyServerBuilder.forAddress(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .bossEventLoopGroup(group)
                .workerEventLoopGroup(group)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .maxInboundMessageSize(64 << 20)
                .addService(new AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceImplBase() {
                    @Override
                    public StreamObserver<DiscoveryRequest> streamAggregatedResources(
                            StreamObserver<DiscoveryResponse> to) {
                        return new Whole(to);
                    }

                    @Override
                    public StreamObserver<DeltaDiscoveryRequest> deltaAggregatedResources(
                            StreamObserver<DeltaDiscoveryResponse> to) {
                        return new Changes(to);
                    }
                });
        if (tls != null) {
            builder.sslContext(tls);
        }
        server = builder.build().start();
        port = server.getPort();
    }

    /** Where it listens. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Ends all streams and listens no more. */
    public void kill() throws InterruptedException {
        server.shutdownNow();
        server.awaitTermination(10, TimeUnit.SECONDS);
        synchronized (this) {
            streams.clear();
        }
    }

    /** Listens again at the same port, with the same resources, all under version 1. */
    public void again() throws IOException {
        synchronized (this) {
            version = 1;
            kinds.values().forEach(kind -> kind.replaceAll((name, kept) -> new Kept(kept.resource, 1)));
        }
        open();
    }

    /** Sets a resource and tells who subscribes to it. */
    public synchronized void set(String name, Message resource) {
        Any any = Any.pack(resource);
        kinds.computeIfAbsent(any.getTypeUrl(), type -> new LinkedHashMap<>()).put(name, new Kept(any, ++version));
        push(any.getTypeUrl());
    }

    /** Sets several resources of one type at once, and tells of them in one message. */
    public synchronized void setAll(Map<String, ? extends Message> resources) {
        String type = "";
        version++;
        for (Map.Entry<String, ? extends Message> each : resources.entrySet()) {
            Any any = Any.pack(each.getValue());
            type = any.getTypeUrl();
            kinds.computeIfAbsent(type, t -> new LinkedHashMap<>()).put(each.getKey(), new Kept(any, version));
        }
        push(type);
    }

    /** Removes a resource and tells who subscribes to it. */
    public synchronized void remove(String type, String name) {
        version++;
        kinds.getOrDefault(type, Map.of()).remove(name);
        push(type);
    }

    /** Sends resources as they are to each stream, by a version that is no resource's: a lie, or nonsense. */
    public synchronized void say(String type, Map<String, Any> resources) {
        version++;
        List.copyOf(streams).forEach(stream -> stream.say(type, resources));
    }

    /** What clients have acknowledged or refused, in order. */
    public BlockingQueue<Reply> replies() {
        return replies;
    }

    /** How many streams are open. */
    public synchronized int streams() {
        return streams.size();
    }

    private void push(String type) {
        List.copyOf(streams).forEach(stream -> stream.update(type));
    }

    /** What a stream has asked for of one type. */
    private static final class Wanted {
        private final Set<String> names = new LinkedHashSet<>();
        private final Map<String, Long> had = new HashMap<>();
        private boolean all;
        private String nonce = "";
        private long sent;
    }

    private abstract class Stream<Q> implements StreamObserver<Q> {
        final Map<String, Wanted> wanted = new HashMap<>();

        Stream() {
            synchronized (ManagementServer.this) {
                streams.add(this);
            }
        }

        abstract void update(String type);

        abstract void say(String type, Map<String, Any> resources);

        /** Those that it subscribes to. */
        Map<String, Kept> selected(String type, Wanted of) {
            Map<String, Kept> chosen = new LinkedHashMap<>();
            kinds.getOrDefault(type, Map.of()).forEach((name, kept) -> {
                if (of.all || of.names.contains(name)) {
                    chosen.put(name, kept);
                }
            });
            return chosen;
        }

        void replied(String type, String at, String nonce, boolean refused, String error) {
            if (!nonce.isEmpty()) {
                replies.offer(new Reply(type, at, nonce, refused ? error : null));
            }
        }

        @Override
        public void onError(Throwable cause) {
            onCompleted();
        }

        @Override
        public void onCompleted() {
            synchronized (ManagementServer.this) {
                streams.remove(this);
            }
        }
    }

    /** State of the world. */
    private final class Whole extends Stream<DiscoveryRequest> {
        private final StreamObserver<DiscoveryResponse> to;

        Whole(StreamObserver<DiscoveryResponse> to) {
            this.to = to;
        }

        @Override
        public void onNext(DiscoveryRequest from) {
            synchronized (ManagementServer.this) {
                Wanted of = wanted.computeIfAbsent(from.getTypeUrl(), type -> new Wanted());
                boolean first = of.nonce.isEmpty();
                replied(
                        from.getTypeUrl(),
                        from.getVersionInfo(),
                        from.getResponseNonce(),
                        from.hasErrorDetail(),
                        from.getErrorDetail().getMessage());
                if (!first && !from.getResponseNonce().equals(of.nonce)) {
                    // It answers what has been overtaken by another message: that one's answer is to come yet.
                    return;
                }
                Set<String> names = new LinkedHashSet<>(from.getResourceNamesList());
                boolean all = names.remove("*") || names.isEmpty() && (first || of.all);
                boolean changed = first || all != of.all || !names.equals(of.names);
                of.names.clear();
                of.names.addAll(names);
                of.all = all;
                if (changed) {
                    send(from.getTypeUrl(), of);
                }
            }
        }

        private void send(String type, Wanted of) {
            Map<String, Kept> chosen = selected(type, of);
            if (!of.all && of.names.isEmpty()) {
                return;
            }
            of.sent = version;
            of.nonce = "n" + ++nonces;
            to.onNext(DiscoveryResponse.newBuilder()
                    .setTypeUrl(type)
                    .setVersionInfo(Long.toString(version))
                    .setNonce(of.nonce)
                    .addAllResources(
                            chosen.values().stream().map(Kept::resource).toList())
                    .build());
        }

        @Override
        void update(String type) {
            Wanted of = wanted.get(type);
            if (of != null) {
                send(type, of);
            }
        }

        @Override
        void say(String type, Map<String, Any> resources) {
            Wanted of = wanted.computeIfAbsent(type, t -> new Wanted());
            of.nonce = "n" + ++nonces;
            to.onNext(DiscoveryResponse.newBuilder()
                    .setTypeUrl(type)
                    .setVersionInfo(Long.toString(version))
                    .setNonce(of.nonce)
                    .addAllResources(resources.values())
                    .build());
        }
    }

    /** Incremental. */
    private final class Changes extends Stream<DeltaDiscoveryRequest> {
        private final StreamObserver<DeltaDiscoveryResponse> to;

        Changes(StreamObserver<DeltaDiscoveryResponse> to) {
            this.to = to;
        }

        @Override
        public void onNext(DeltaDiscoveryRequest from) {
            synchronized (ManagementServer.this) {
                boolean first = !wanted.containsKey(from.getTypeUrl());
                Wanted of = wanted.computeIfAbsent(from.getTypeUrl(), type -> new Wanted());
                replied(
                        from.getTypeUrl(),
                        "",
                        from.getResponseNonce(),
                        from.hasErrorDetail(),
                        from.getErrorDetail().getMessage());
                from.getInitialResourceVersionsMap().forEach((name, had) -> of.had.put(name, Long.parseLong(had)));
                List<String> more = new ArrayList<>(from.getResourceNamesSubscribeList());
                of.all |= more.remove("*") || first && more.isEmpty();
                of.names.addAll(more);
                from.getResourceNamesUnsubscribeList().forEach(name -> {
                    of.names.remove(name);
                    of.had.remove(name);
                });
                if (first || !from.getResourceNamesSubscribeList().isEmpty()) {
                    send(from.getTypeUrl(), of, more);
                }
            }
        }

        /** What has changed since it was sent; and what was asked for now, though it is not there. */
        private void send(String type, Wanted of, List<String> asked) {
            Map<String, Kept> chosen = selected(type, of);
            DeltaDiscoveryResponse.Builder answer =
                    DeltaDiscoveryResponse.newBuilder().setTypeUrl(type);
            chosen.forEach((name, kept) -> {
                if (!Long.valueOf(kept.version).equals(of.had.get(name))) {
                    of.had.put(name, kept.version);
                    answer.addResources(Resource.newBuilder()
                            .setName(name)
                            .setVersion(Long.toString(kept.version))
                            .setResource(kept.resource));
                }
            });
            Set<String> gone = new LinkedHashSet<>(of.had.keySet());
            asked.forEach(gone::add);
            gone.removeAll(chosen.keySet());
            gone.forEach(of.had::remove);
            if (answer.getResourcesCount() > 0 || !gone.isEmpty()) {
                to.onNext(answer.addAllRemovedResources(gone)
                        .setNonce("n" + ++nonces)
                        .setSystemVersionInfo(Long.toString(version))
                        .build());
            }
        }

        @Override
        void update(String type) {
            Wanted of = wanted.get(type);
            if (of != null) {
                send(type, of, List.of());
            }
        }

        @Override
        void say(String type, Map<String, Any> resources) {
            DeltaDiscoveryResponse.Builder answer =
                    DeltaDiscoveryResponse.newBuilder().setTypeUrl(type).setNonce("n" + ++nonces);
            resources.forEach((name, any) -> answer.addResources(Resource.newBuilder()
                    .setName(name)
                    .setVersion(Long.toString(version))
                    .setResource(any)));
            to.onNext(answer.build());
        }
    }

    @Override
    public void close() throws InterruptedException {
        kill();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }
}
