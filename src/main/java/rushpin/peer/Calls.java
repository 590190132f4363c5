package rushpin.peer;

import com.google.protobuf.Message;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import rushpin.peer.wire.Wire;

/** The calls between processes, and what holds for all their channels. */
final class Calls {
    /** Bytes of one message: four times a batch of entries of the log, or a part of a snapshot (128 kB each). */
    static final int MOST_MESSAGE = 512 << 10;
    /** Bytes on their way on one stream of a connection; a slow reader holds up so much, and what its desk holds for it. */
    static final int WINDOW = 128 << 10;
    /** A peer that does not take a connection in so long does not take it. */
    static final int CONNECT_MS = 1_000;
    /** gRPC allows no shorter one. Streams have beats of their own, calls have deadlines. */
    static final int KEEP_ALIVE_S = 10, KEEP_ALIVE_TIMEOUT_S = 5;

    static final String SERVICE = "rushpin.peer.Peers";

    static final MethodDescriptor<Wire.Carried, Wire.Answered> RAFT =
            unary("Raft", Wire.Carried.getDefaultInstance(), Wire.Answered.getDefaultInstance());
    static final MethodDescriptor<Wire.Proposal, Wire.Verdict> PROPOSE =
            unary("Propose", Wire.Proposal.getDefaultInstance(), Wire.Verdict.getDefaultInstance());
    static final MethodDescriptor<Wire.Introduction, Wire.Introduction> INTRODUCE =
            unary("Introduce", Wire.Introduction.getDefaultInstance(), Wire.Introduction.getDefaultInstance());
    static final MethodDescriptor<Wire.Reports, Wire.Nothing> REPORT =
            unary("Report", Wire.Reports.getDefaultInstance(), Wire.Nothing.getDefaultInstance());
    static final MethodDescriptor<Wire.Up, Wire.Down> SESSION =
            method(MethodType.BIDI_STREAMING, "Session", Wire.Up.getDefaultInstance(), Wire.Down.getDefaultInstance());

    private Calls() {}

    private static <Q extends Message, A extends Message> MethodDescriptor<Q, A> unary(String name, Q asked, A answer) {
        return method(MethodType.UNARY, name, asked, answer);
    }

    private static <Q extends Message, A extends Message> MethodDescriptor<Q, A> method(
            MethodType type, String name, Q asked, A answer) {
        return MethodDescriptor.<Q, A>newBuilder()
                .setType(type)
                .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
                .setRequestMarshaller(ProtoUtils.marshaller(asked))
                .setResponseMarshaller(ProtoUtils.marshaller(answer))
                .build();
    }

    /**
     * A channel that connects when it is first used; nothing is sent twice, no proxy, no service config. An address that is
     * not resolved is looked up anew after a connection that failed, as often as the system's resolver forgets.
     */
    static ManagedChannel channel(InetSocketAddress to, Sockets sockets, Executor thread) {
        String host = to.getHostString();
        NettyChannelBuilder builder = to.isUnresolved()
                ? NettyChannelBuilder.forTarget(
                        "dns:///" + (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + to.getPort())
                : NettyChannelBuilder.forAddress(to);
        return builder.eventLoopGroup(sockets.loop())
                .channelType(NioSocketChannel.class)
                .executor(thread)
                .offloadExecutor(sockets.names())
                .usePlaintext()
                .disableRetry()
                .disableServiceConfigLookUp()
                .proxyDetector(address -> null)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .withOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(MOST_MESSAGE)
                .flowControlWindow(WINDOW)
                .keepAliveTime(KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .keepAliveWithoutCalls(true)
                .build();
    }
}
