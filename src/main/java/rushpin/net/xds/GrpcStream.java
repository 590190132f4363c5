package rushpin.net.xds;

import com.google.protobuf.Any;
import com.google.rpc.Status;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.ManagedChannel;
import io.grpc.Status.Code;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import rushpin.membership.xds.Subscription.Answer;
import rushpin.membership.xds.Subscription.Item;
import rushpin.membership.xds.Subscription.ResourceRequest;
import rushpin.membership.xds.XdsVariant;

/** One stream to one management server, with the channel that carries it; owned by the source's thread. */
final class GrpcStream {
    private static final int KEEP_ALIVE_S = 20, KEEP_ALIVE_TIMEOUT_S = 5;
    /** The protobuf code INVALID_ARGUMENT, as the protocol wants for what was refused. */
    private static final int INVALID_ARGUMENT = Code.INVALID_ARGUMENT.value();

    private final InetSocketAddress server;
    private final XdsSource source;
    private final ManagedChannel channel;
    private final Node node;
    private final XdsVariant form;
    /** The stream, and the same by its form: one of these is there. */
    private ClientCallStreamObserver<?> call;

    private ClientCallStreamObserver<DiscoveryRequest> whole;
    private ClientCallStreamObserver<DeltaDiscoveryRequest> changes;
    private boolean first = true, answered, over;

    GrpcStream(XdsConfig plan, InetSocketAddress server, EventLoop loop, Executor thread, XdsSource source)
            throws IOException {
        this.server = server;
        this.source = source;
        form = plan.form();
        node = Node.newBuilder().setId(plan.node()).setUserAgentName("rushpin").build();
        NettyChannelBuilder builder = NettyChannelBuilder.forAddress(server)
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .executor(thread)
                .offloadExecutor(thread)
                .disableRetry()
                .maxInboundMessageSize(plan.mostMessage())
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS);
        if (plan.tls() == null) {
            builder.usePlaintext();
        } else {
            SslContextBuilder tls =
                    GrpcSslContexts.forClient().trustManager(plan.tls().ca().toFile());
            if (plan.tls().certificate() != null) {
                tls.keyManager(
                        plan.tls().certificate().toFile(), plan.tls().key().toFile());
            }
            builder.sslContext(tls.build());
        }
        channel = builder.build();
        var stub = AggregatedDiscoveryServiceGrpc.newStub(channel);
        if (form == XdsVariant.SOTW) {
            stub.streamAggregatedResources(new Reader<DiscoveryRequest, DiscoveryResponse>() {
                @Override
                void begins(ClientCallStreamObserver<DiscoveryRequest> to) {
                    whole = to;
                }

                @Override
                Answer read(DiscoveryResponse from) {
                    List<Item> items = new ArrayList<>(from.getResourcesCount());
                    for (Any each : from.getResourcesList()) {
                        items.add(new Item("", from.getVersionInfo(), unwrapped(each)));
                    }
                    return new Answer(from.getTypeUrl(), from.getVersionInfo(), from.getNonce(), items, List.of());
                }
            });
        } else {
            stub.deltaAggregatedResources(new Reader<DeltaDiscoveryRequest, DeltaDiscoveryResponse>() {
                @Override
                void begins(ClientCallStreamObserver<DeltaDiscoveryRequest> to) {
                    changes = to;
                }

                @Override
                Answer read(DeltaDiscoveryResponse from) {
                    List<Item> items = new ArrayList<>(from.getResourcesCount());
                    for (Resource each : from.getResourcesList()) {
                        items.add(new Item(each.getName(), each.getVersion(), each.getResource()));
                    }
                    return new Answer(
                            from.getTypeUrl(),
                            from.getSystemVersionInfo(),
                            from.getNonce(),
                            items,
                            List.copyOf(from.getRemovedResourcesList()));
                }
            });
        }
    }

    /** A server may wrap resources of the first form in a {@code Resource}, with a name of its own. */
    private static Any unwrapped(Any of) {
        if (of.getTypeUrl().equals("type.googleapis.com/envoy.service.discovery.v3.Resource")) {
            try {
                return Resource.parseFrom(of.getValue()).getResource();
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                return of;
            }
        }
        return of;
    }

    private abstract class Reader<Q, A> implements ClientResponseObserver<Q, A> {
        abstract Answer read(A from);

        abstract void begins(ClientCallStreamObserver<Q> to);

        @Override
        public void beforeStart(ClientCallStreamObserver<Q> to) {
            call = to;
            to.disableAutoRequestWithInitial(1);
            begins(to);
        }

        @Override
        public void onNext(A from) {
            source.guarded(() -> {
                        answered = true;
                        source.answered(GrpcStream.this, read(from));
                    })
                    .run();
        }

        @Override
        public void onError(Throwable cause) {
            end(io.grpc.Status.fromThrowable(cause).toString().replace('\n', ' '));
        }

        @Override
        public void onCompleted() {
            end("the server has closed it");
        }
    }

    private void end(String why) {
        if (!over) {
            over = true;
            channel.shutdownNow();
            source.guarded(() -> source.ended(this, why.length() > 200 ? why.substring(0, 200) : why))
                    .run();
        }
    }

    InetSocketAddress server() {
        return server;
    }

    /** Whether its channel has ended and let go of all. */
    boolean isTerminated() {
        return channel.isTerminated();
    }

    boolean hasAnswered() {
        return answered;
    }

    /** The next answer may come. */
    void next() {
        if (!over) {
            call.request(1);
        }
    }

    void send(ResourceRequest ask) {
        if (over) {
            return;
        }
        Status error = ask.error() == null
                ? null
                : Status.newBuilder()
                        .setCode(INVALID_ARGUMENT)
                        .setMessage(ask.error())
                        .build();
        if (form == XdsVariant.SOTW) {
            DiscoveryRequest.Builder request = DiscoveryRequest.newBuilder()
                    .setTypeUrl(ask.type())
                    .setVersionInfo(ask.version())
                    .setResponseNonce(ask.nonce())
                    .addAllResourceNames(ask.names());
            if (first) {
                request.setNode(node);
            }
            if (error != null) {
                request.setErrorDetail(error);
            }
            whole.onNext(request.build());
        } else {
            DeltaDiscoveryRequest.Builder request = DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(ask.type())
                    .setResponseNonce(ask.nonce())
                    .addAllResourceNamesSubscribe(ask.subscribe())
                    .addAllResourceNamesUnsubscribe(ask.unsubscribe())
                    .putAllInitialResourceVersions(ask.initial());
            if (first) {
                request.setNode(node);
            }
            if (error != null) {
                request.setErrorDetail(error);
            }
            changes.onNext(request.build());
        }
        first = false;
    }

    /** Ends the stream and its channel; nothing of it is told any more. */
    void close(String why) {
        if (!over) {
            over = true;
            call.cancel(why, null);
            channel.shutdownNow();
        }
    }
}
