package rushpin.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import com.google.protobuf.UnsafeByteOperations;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import rushpin.accord.log.Carrier;
import rushpin.peer.wire.Wire;

/**
 * The ways from this voter to each other one: one connection each, to the address under which <em>this</em> process reaches
 * it. Calls have a deadline and are never sent twice. Any thread; answers come on the sockets' workers.
 *
 * <p>Bounds for each voter: {@value #MOST_OUT} calls and {@value #MOST_BYTES_OUT} bytes of requests out; beyond them a call
 * fails at once with {@link Busy}. A connection is tried anew at most once a second, and no less than that while calls come.
 */
public final class Links implements Carrier, AutoCloseable {
    /** Calls out to one voter: appends, votes, proposals and reports together. */
    public static final int MOST_OUT = 64;
    /** Bytes of them: a few messages of the greatest size, so that a slow voter holds 2 MB of this process and no more. */
    public static final int MOST_BYTES_OUT = 4 * Calls.MOST_MESSAGE;

    private static final long SECOND = 1_000_000_000L;
    /** A connection on which calls end by their deadline and nothing came for so long is made anew: it may stay dumb. */
    private static final long DUMB = 3 * SECOND;

    private final Map<String, Way> ways = new ConcurrentHashMap<>();
    private final Sockets sockets;
    private volatile boolean closed;

    /** Connects nowhere yet; {@code voters} are the others, by name, each with the address that this process uses. */
    public Links(Map<String, InetSocketAddress> voters, Sockets sockets) {
        this.sockets = sockets;
        voters.forEach((name, address) -> ways.put(name, new Way(name, address)));
    }

    /** Goes over to other voters or addresses; what is out to one that is gone or elsewhere fails. One caller at a time. */
    public void move(Map<String, InetSocketAddress> voters) {
        for (Way way : List.copyOf(ways.values())) {
            if (!way.address.equals(voters.get(way.name))) {
                ways.remove(way.name);
                way.close();
            }
        }
        voters.forEach((name, address) -> ways.computeIfAbsent(name, any -> new Way(name, address)));
    }

    /** A voter, its connection, and what is out to it. Guarded by itself; calls begin and end outside of the guard. */
    private final class Way {
        private final String name;
        private final InetSocketAddress address;
        private ManagedChannel channel;
        private int out;
        private long bytesOut, madeAt, heardAt, triedAt;

        Way(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }

        synchronized ManagedChannel begin(int bytes) throws Busy, IOException {
            if (closed || ways.get(name) != this) {
                throw new IOException("the way is closed");
            }
            if (out >= MOST_OUT || bytesOut + bytes > MOST_BYTES_OUT) {
                throw new Busy(out + " calls of " + bytesOut + " bytes are out to " + name);
            }
            long now = System.nanoTime();
            if (channel == null) {
                channel = Calls.channel(address, sockets, sockets.work());
                madeAt = now;
                heardAt = now;
                triedAt = now;
            } else if (now - triedAt >= SECOND && channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
                // The library's own wait grows to two minutes; a voter that is back is to be found within a second.
                triedAt = now;
                channel.resetConnectBackoff();
            }
            out++;
            bytesOut += bytes;
            return channel;
        }

        void end(ManagedChannel by, int bytes, Status status) {
            boolean dumb;
            synchronized (this) {
                out--;
                bytesOut -= bytes;
                long now = System.nanoTime();
                // Any other end than these two was said by the voter or by the connection itself.
                boolean silent =
                        status.getCode() == Status.Code.DEADLINE_EXCEEDED || status.getCode() == Status.Code.CANCELLED;
                if (!silent && by == channel) {
                    heardAt = now;
                }
                dumb = silent && by == channel && now - Math.max(heardAt, madeAt) >= DUMB;
                if (dumb) {
                    channel = null;
                }
            }
            if (dumb) {
                by.shutdownNow();
            }
        }

        void close() {
            ManagedChannel last;
            synchronized (this) {
                last = channel;
                channel = null;
            }
            if (last != null) {
                last.shutdownNow();
            }
        }
    }

    /** A call to a voter; the future fails with {@link Busy} where nothing was sent, else with what gRPC says. */
    private <Q extends MessageLite, A, R> CompletableFuture<R> call(
            String voter, MethodDescriptor<Q, A> method, Q asked, Function<A, R> read, long patience) {
        Way way = ways.get(voter);
        int bytes = asked.getSerializedSize();
        if (way == null) {
            return CompletableFuture.failedFuture(new IOException("no way to a voter " + voter));
        }
        ManagedChannel channel;
        try {
            if (bytes > Calls.MOST_MESSAGE) {
                throw new Busy("a message of " + bytes + " bytes to " + voter + ", at most " + Calls.MOST_MESSAGE);
            }
            channel = way.begin(bytes);
        } catch (Busy | IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        CompletableFuture<R> done = new CompletableFuture<>();
        ClientCall<Q, A> call = channel.newCall(
                method, CallOptions.DEFAULT.withDeadlineAfter(Math.max(1, patience), TimeUnit.NANOSECONDS));
        ClientCalls.asyncUnaryCall(call, asked, new StreamObserver<>() {
            private A answer;

            @Override
            public void onNext(A from) {
                answer = from;
            }

            @Override
            public void onError(Throwable cause) {
                Status status = Status.fromThrowable(cause);
                way.end(channel, bytes, status);
                done.completeExceptionally(new IOException(voter + ": " + said(status)));
            }

            @Override
            public void onCompleted() {
                way.end(channel, bytes, Status.OK);
                done.complete(read.apply(answer));
            }
        });
        return done;
    }

    static String said(Status status) {
        String text = status.getCode()
                + (status.getDescription() == null ? "" : " " + status.getDescription())
                + (status.getCause() == null ? "" : " (" + status.getCause().getMessage() + ")");
        text = text.replace('\n', ' ');
        return text.length() > 200 ? text.substring(0, 200) : text;
    }

    @Override
    public CompletableFuture<byte[]> carry(String voter, Kind kind, byte[] body, long patience) {
        // The body is the library's own and is not changed after this: a copy of each batch can be saved.
        Wire.Carried asked = Wire.Carried.newBuilder()
                .setKind(Wire.Carried.Kind.valueOf(kind.name()))
                .setBody(UnsafeByteOperations.unsafeWrap(body))
                .build();
        return call(voter, Calls.RAFT, asked, answer -> answer.getBody().toByteArray(), patience);
    }

    /**
     * Passes a command on, in its bytes, to a voter that is to propose it itself; completes with the outcome's bytes or
     * fails with {@link Elsewhere}, {@link Busy} (nothing was done) or {@link Uncertain}.
     */
    public CompletableFuture<byte[]> propose(String voter, byte[] command, long patience) {
        Wire.Proposal asked = Wire.Proposal.newBuilder()
                .setCommand(ByteString.copyFrom(command))
                .setHops(1)
                .build();
        CompletableFuture<byte[]> done = new CompletableFuture<>();
        call(voter, Calls.PROPOSE, asked, verdict -> verdict, patience).whenComplete((verdict, cause) -> {
            if (cause instanceof Busy) {
                done.completeExceptionally(cause);
            } else if (cause != null) {
                done.completeExceptionally(new Uncertain(cause.getMessage()));
            } else if (verdict.getKindCase() == Wire.Verdict.KindCase.OUTCOME) {
                done.complete(verdict.getOutcome().toByteArray());
            } else {
                done.completeExceptionally(
                        switch (verdict.getFailure().getWhy()) {
                            case NOT_LEADING ->
                                new Elsewhere(
                                        verdict.getFailure().getLeader().isEmpty()
                                                ? null
                                                : verdict.getFailure().getLeader());
                            case BUSY -> new Busy(voter + " is busy");
                            // It was read here, so the leader has other bounds.
                            case UNREADABLE -> new Busy(voter + " can't read it");
                            default -> new Uncertain(voter + " does not know");
                        });
            }
        });
        return done;
    }

    /** Introduces this voter to another one; completes with what that says of itself. */
    public CompletableFuture<Introduced> introduce(String voter, Introduced own, long patience) {
        return call(voter, Calls.INTRODUCE, Codec.wire(own), Codec::introduced, patience);
    }

    /** Passes reports on; they may be lost. */
    CompletableFuture<Wire.Nothing> report(String voter, List<Wire.Report> reports, long patience) {
        Wire.Reports asked = Wire.Reports.newBuilder().addAllReports(reports).build();
        return call(voter, Calls.REPORT, asked, nothing -> nothing, patience);
    }

    /** The voters to which there are ways. */
    public Set<String> voters() {
        return Set.copyOf(ways.keySet());
    }

    /** Ends all connections; what is out fails. */
    @Override
    public void close() {
        closed = true;
        ways.values().forEach(Way::close);
    }
}
