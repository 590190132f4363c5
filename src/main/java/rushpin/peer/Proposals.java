package rushpin.peer;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.net.ErrorLog;
import rushpin.peer.wire.Wire;

/** What becomes of a command that has come here: proposed, or passed on once to the voter that leads. */
final class Proposals {
    private final String voter;
    private final Ballots ballots;
    private final Links links;
    private final Codec codec = new Codec();
    private final long patience;

    Proposals(String voter, Ballots ballots, Links links, long patience) {
        this.voter = voter;
        this.ballots = ballots;
        this.links = links;
        this.patience = patience;
    }

    String voter() {
        return voter;
    }

    Ballots ballots() {
        return ballots;
    }

    Links links() {
        return links;
    }

    boolean leads() {
        return voter.equals(ballots.leader());
    }

    /** Whether what processes report is for this voter. */
    boolean plans() {
        return voter.equals(ballots.planner());
    }

    /** Always completes with a verdict, on any thread. */
    CompletableFuture<Wire.Verdict> verdict(byte[] bytes, boolean mayPass) {
        Command command;
        try {
            command = codec.command(bytes);
        } catch (Encoding.Unreadable e) {
            return CompletableFuture.completedFuture(failure(Wire.Failure.Why.UNREADABLE, null));
        }
        CompletableFuture<Wire.Verdict> done = new CompletableFuture<>();
        CompletableFuture<byte[]> here;
        try {
            here = ballots.propose(command).thenApply(codec::bytes);
        } catch (RuntimeException e) {
            ErrorLog.report("a proposal", e);
            here = CompletableFuture.failedFuture(e);
        }
        here.whenComplete((outcome, cause) -> {
            if (mayPass
                    && bare(cause) instanceof Elsewhere elsewhere
                    && elsewhere.leader() != null
                    && links.voters().contains(elsewhere.leader())) {
                // In the bytes in which it came, so that what a newer version wrote is kept.
                links.propose(elsewhere.leader(), bytes, patience)
                        .whenComplete((passed, why) -> done.complete(verdict(passed, why)));
            } else {
                done.complete(verdict(outcome, cause));
            }
        });
        return done;
    }

    private static Throwable bare(Throwable cause) {
        return cause instanceof CompletionException && cause.getCause() != null ? cause.getCause() : cause;
    }

    private static Wire.Verdict verdict(byte[] outcome, Throwable wrapped) {
        Throwable cause = bare(wrapped);
        if (cause == null) {
            return Wire.Verdict.newBuilder()
                    .setOutcome(ByteString.copyFrom(outcome))
                    .build();
        } else if (cause instanceof Elsewhere elsewhere) {
            return failure(Wire.Failure.Why.NOT_LEADING, elsewhere.leader());
        } else if (cause instanceof Busy) {
            return failure(Wire.Failure.Why.BUSY, null);
        }
        return failure(Wire.Failure.Why.UNCERTAIN, null);
    }

    static Wire.Verdict failure(Wire.Failure.Why why, String leader) {
        return Wire.Verdict.newBuilder()
                .setFailure(Wire.Failure.newBuilder().setWhy(why).setLeader(leader == null ? "" : leader))
                .build();
    }
}
