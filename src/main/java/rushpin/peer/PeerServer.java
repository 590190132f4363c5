package rushpin.peer;

import com.google.protobuf.ByteString;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallExecutorSupplier;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import rushpin.accord.log.Carrier;
import rushpin.net.ErrorLog;
import rushpin.peer.wire.Wire;

/**
 * Where a voter is reached by other voters and by processes that hold sessions. Calls between voters run on the sockets'
 * workers, streams on the desk's thread.
 *
 * <p>Bounds: {@code mostConnections}, one beyond is closed at once; {@value Links#MOST_OUT} calls a connection; 512 KiB a
 * message; {@value #HANDSHAKE_S} s for a connection's first bytes.
 */
public final class PeerServer implements AutoCloseable {
    private static final int HANDSHAKE_S = 3, END_S = 2;

    private final Server server;
    private final Ballots ballots;
    private final SessionDesk desk;

    /** Not listening yet. */
    public PeerServer(
            InetSocketAddress listen, int mostConnections, Ballots ballots, SessionDesk desk, Sockets sockets) {
        this.ballots = ballots;
        this.desk = desk;
        server = NettyServerBuilder.forAddress(listen)
                .channelFactory(() -> new Door(mostConnections))
                .bossEventLoopGroup(sockets.loop())
                .workerEventLoopGroup(sockets.loop())
                .executor(sockets.work())
                .callExecutor(new ServerCallExecutorSupplier() {
                    @Override
                    public <Q, A> Executor getExecutor(ServerCall<Q, A> call, Metadata metadata) {
                        return call.getMethodDescriptor().getFullMethodName().equals(Calls.SESSION.getFullMethodName())
                                ? desk.thread()
                                : sockets.work();
                    }
                })
                .maxInboundMessageSize(Calls.MOST_MESSAGE)
                .maxConcurrentCallsPerConnection(Links.MOST_OUT)
                .flowControlWindow(Calls.WINDOW)
                .handshakeTimeout(HANDSHAKE_S, TimeUnit.SECONDS)
                .permitKeepAliveTime(Calls.KEEP_ALIVE_S / 2, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .keepAliveTime(Calls.KEEP_ALIVE_S, TimeUnit.SECONDS)
                .keepAliveTimeout(Calls.KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .addService(ServerServiceDefinition.builder(Calls.SERVICE)
                        .addMethod(Calls.RAFT, ServerCalls.asyncUnaryCall(this::carried))
                        .addMethod(Calls.PROPOSE, ServerCalls.asyncUnaryCall(this::proposed))
                        .addMethod(Calls.INTRODUCE, ServerCalls.asyncUnaryCall(this::introduced))
                        .addMethod(Calls.REPORT, ServerCalls.asyncUnaryCall(this::reported))
                        .addMethod(Calls.SESSION, ServerCalls.asyncBidiStreamingCall(desk::opened))
                        .build())
                .build();
    }

    /** Listens; fails where the address is taken. */
    public void start() throws IOException {
        server.start();
    }

    /** The port it listens on. */
    public int port() {
        return server.getPort();
    }

    private void carried(Wire.Carried asked, StreamObserver<Wire.Answered> to) {
        // A caller that has gone must not make the answer an error.
        ((ServerCallStreamObserver<Wire.Answered>) to).setOnCancelHandler(() -> {});
        Carrier.Kind kind = switch (asked.getKind()) {
            case VOTE -> Carrier.Kind.VOTE;
            case APPEND -> Carrier.Kind.APPEND;
            case SNAPSHOT -> Carrier.Kind.SNAPSHOT;
            case START_ELECTION -> Carrier.Kind.START_ELECTION;
            case READ, CLIENT, GROUP, NONE, UNRECOGNIZED -> null;
        };
        if (kind == null) {
            to.onError(Status.UNIMPLEMENTED
                    .withDescription("kind " + asked.getKindValue())
                    .asRuntimeException());
            return;
        }
        try {
            ballots.received(kind, asked.getBody().toByteArray()).whenComplete((answer, cause) -> {
                if (cause == null) {
                    answer(
                            to,
                            Wire.Answered.newBuilder()
                                    .setBody(ByteString.copyFrom(answer))
                                    .build());
                } else {
                    fail(to, cause);
                }
            });
        } catch (RuntimeException e) {
            ErrorLog.report("a request of another voter", e);
            fail(to, e);
        }
    }

    private void proposed(Wire.Proposal asked, StreamObserver<Wire.Verdict> to) {
        ((ServerCallStreamObserver<Wire.Verdict>) to).setOnCancelHandler(() -> {});
        // What was passed on once is proposed here or nowhere.
        desk.proposals()
                .verdict(asked.getCommand().toByteArray(), asked.getHops() == 0)
                .thenAccept(verdict -> answer(to, verdict));
    }

    private void introduced(Wire.Introduction asked, StreamObserver<Wire.Introduction> to) {
        try {
            answer(to, Codec.wire(ballots.introduce(Codec.introduced(asked))));
        } catch (RuntimeException e) {
            ErrorLog.report("an introduction", e);
            fail(to, e);
        }
    }

    private void reported(Wire.Reports asked, StreamObserver<Wire.Nothing> to) {
        desk.passed(asked);
        answer(to, Wire.Nothing.getDefaultInstance());
    }

    private static <A> void answer(StreamObserver<A> to, A answer) {
        to.onNext(answer);
        to.onCompleted();
    }

    private static void fail(StreamObserver<?> to, Throwable cause) {
        to.onError(Status.UNKNOWN.withDescription(String.valueOf(cause)).asRuntimeException());
    }

    /** Ends all connections at once and waits until they have let go of all, 2 s at most. */
    @Override
    public void close() {
        server.shutdownNow();
        try {
            server.awaitTermination(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
