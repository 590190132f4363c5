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

/** One xDS stream to a management server, with its gRPC channel. Used by the source's thread only. */
final class GrpcStream {
    private static final int KEEP_ALIVE_S = 20;
    private static final int KEEP_ALIVE_TIMEOUT_S = 5;
    /** The gRPC status code with which the protocol rejects a response. */
    private static final int INVALID_ARGUMENT = Code.INVALID_ARGUMENT.value();

    private final InetSocketAddress server;
    private final XdsSource source;
    private final ManagedChannel channel;
    private final Node node;
    private final XdsVariant form;
    private ClientCallStreamObserver<?> call;
    /** The same as {@code call} in the state-of-the-world form, else null. */
    private ClientCallStreamObserver<DiscoveryRequest> sotwCall;
    /** The same as {@code call} in the incremental form, else null. */
    private ClientCallStreamObserver<DeltaDiscoveryRequest> deltaCall;

    private boolean isFirstRequest = true;
    private boolean answered;
    private boolean ended;

    GrpcStream(XdsConfig config, InetSocketAddress server, EventLoop loop, Executor thread, XdsSource source)
            throws IOException {
        this.server = server;
        this.source = source;
        form = config.form();
        node = Node.newBuilder()
                .setId(config.node())
                .setUserAgentName("rushpin")
                .build();
        NettyChannelBuilder builder = NettyChannelBuilder.forAddress(server)
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .executor(thread)
                .offloadExecutor(thread)
                .disableRetry()
                .maxInboundMessageSize(config.maxMessageBytes())
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS);
        if (config.tls() == null) {
            builder.usePlaintext();
        } else {
            SslContextBuilder tls =
                    GrpcSslContexts.forClient().trustManager(config.tls().ca().toFile());
            if (config.tls().certificate() != null) {
                tls.keyManager(
                        config.tls().certificate().toFile(), config.tls().key().toFile());
            }
            builder.sslContext(tls.build());
        }
        channel = builder.build();
        var stub = AggregatedDiscoveryServiceGrpc.newStub(channel);
        if (form == XdsVariant.SOTW) {
            stub.streamAggregatedResources(new ResponseReader<DiscoveryRequest, DiscoveryResponse>() {
                @Override
                void started(ClientCallStreamObserver<DiscoveryRequest> to) {
                    sotwCall = to;
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
            stub.deltaAggregatedResources(new ResponseReader<DeltaDiscoveryRequest, DeltaDiscoveryResponse>() {
                @Override
                void started(ClientCallStreamObserver<DeltaDiscoveryRequest> to) {
                    deltaCall = to;
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

    /** Returns the resource itself: in the state-of-the-world form a server may wrap it in a named {@code Resource}. */
    private static Any unwrapped(Any resource) {
        if (resource.getTypeUrl().equals("type.googleapis.com/envoy.service.discovery.v3.Resource")) {
            try {
                return Resource.parseFrom(resource.getValue()).getResource();
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                return resource;
            }
        }
        return resource;
    }

    private abstract class ResponseReader<Q, A> implements ClientResponseObserver<Q, A> {
        abstract Answer read(A from);

        abstract void started(ClientCallStreamObserver<Q> to);

        @Override
        public void beforeStart(ClientCallStreamObserver<Q> to) {
            call = to;
            to.disableAutoRequestWithInitial(1);
            started(to);
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
        if (!ended) {
            ended = true;
            channel.shutdownNow();
            source.guarded(() -> source.ended(this, why.length() > 200 ? why.substring(0, 200) : why))
                    .run();
        }
    }

    InetSocketAddress server() {
        return server;
    }

    /** Returns whether the gRPC channel has terminated and released its resources. */
    boolean isTerminated() {
        return channel.isTerminated();
    }

    boolean hasAnswered() {
        return answered;
    }

    /** Requests the next response from the stream. */
    void requestNext() {
        if (!ended) {
            call.request(1);
        }
    }

    void send(ResourceRequest ask) {
        if (ended) {
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
            if (isFirstRequest) {
                request.setNode(node);
            }
            if (error != null) {
                request.setErrorDetail(error);
            }
            sotwCall.onNext(request.build());
        } else {
            DeltaDiscoveryRequest.Builder request = DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(ask.type())
                    .setResponseNonce(ask.nonce())
                    .addAllResourceNamesSubscribe(ask.subscribe())
                    .addAllResourceNamesUnsubscribe(ask.unsubscribe())
                    .putAllInitialResourceVersions(ask.initial());
            if (isFirstRequest) {
                request.setNode(node);
            }
            if (error != null) {
                request.setErrorDetail(error);
            }
            deltaCall.onNext(request.build());
        }
        isFirstRequest = false;
    }

    /** Closes the stream and its channel. The source is not notified. */
    void close(String why) {
        if (!ended) {
            ended = true;
            call.cancel(why, null);
            channel.shutdownNow();
        }
    }
}
