package rushpin.peer;

import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Who;
import rushpin.net.ErrorLog;
import rushpin.peer.wire.Wire;

/**
 * A member's side of sessions: a stream to one voter at a time, on one thread of its own. It carries requests, each of which
 * comes to exactly one end, and tells of plans; it decides nothing about leases.
 *
 * <p>A voter that is silent for {@link Pace#silent}, ends the stream, or fails {@value #MOST_FAILURES} requests in a row is
 * left for the next one, in an order drawn by chance, after a wait that doubles from {@link Pace#firstWait} to
 * {@link Pace#mostWait} (half of it by chance) until a request has an outcome. Bounds: {@value SessionDesk#MOST_ASKED}
 * requests out, as many in the mailbox; of reports the newest.
 */
public final class SessionClient implements AutoCloseable {
    /** Requests in a row that a voter could not bring to one that leads. */
    private static final int MOST_FAILURES = 2;

    private static final int END_S = 1, LOOK_MS = 2;

    /** Hears what becomes of it all, on the client's thread; must not block. */
    public interface Listener {
        /** There is a stream to a voter: requests are sent from now on. */
        void opened(String voter);

        /** There is none any more; another one is tried. */
        void ended(String voter, String why);

        /** A request has an outcome. */
        void answered(long request, Outcome outcome);

        /** A request has none, and will have none. */
        void failed(long request, Failure why);

        /** A plan that is newer than all told before. */
        void plan(Plan plan);

        /** What this process may have open to a group of app servers; may come late and twice. */
        default void allotted(Allotment word) {
            // Only where connections are divided.
        }
    }

    private sealed interface Note {
        record Ask(long request, Command command) implements Note {}

        record Tell(Report report) implements Note {}

        record Next(String why) implements Note {}
    }

    private record Out(long request, long at) {}

    private final Who who;
    private final Map<String, InetSocketAddress> voters;
    private final List<String> order;
    private final Sockets sockets;
    private final Pace pace;
    private final Listener listener;
    private final SplittableRandom random;
    private final Codec codec = new Codec();
    private final ScheduledThreadPoolExecutor thread;
    private final Mailbox<Note> mailbox;
    /** Requests that are out on the stream, by the number they have there. */
    private final Map<Long, Out> out = new LinkedHashMap<>();
    /** Connections that have been ended and may not have let go of all yet. */
    private final List<ManagedChannel> ended = new ArrayList<>();

    private Line line;
    private Plan plan = Plan.NONE;
    private int turn, failures;
    private long wait, numbers, beats, lookedAt;
    private boolean closed;

    /**
     * Connects nowhere yet.
     *
     * @param voters at least one, by name, each with the address under which this process reaches it
     * @param seed of the order of voters and of waits
     */
    public SessionClient(
            Who who, Map<String, InetSocketAddress> voters, Pace pace, long seed, Sockets sockets, Listener listener) {
        this.who = who;
        this.voters = Map.copyOf(voters);
        this.sockets = sockets;
        this.pace = pace;
        this.listener = listener;
        random = new SplittableRandom(seed);
        order = new ArrayList<>(voters.keySet());
        Collections.sort(order);
        for (int i = order.size() - 1; i > 0; i--) {
            Collections.swap(order, i, random.nextInt(i + 1));
        }
        wait = pace.firstWait();
        thread = new ScheduledThreadPoolExecutor(1, task -> Sockets.daemon(task, "peer session"));
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        mailbox = new Mailbox<>(
                SessionDesk.MOST_ASKED,
                note -> note instanceof Note.Ask ? null : note.getClass(),
                thread,
                this::read,
                this::unread);
    }

    /** Begins. */
    public void start() {
        thread.execute(guarded(() -> {
            lookedAt = System.nanoTime();
            connect();
        }));
        thread.scheduleWithFixedDelay(guarded(this::look), pace.beat(), pace.beat(), TimeUnit.NANOSECONDS);
    }

    /**
     * Sends a request; any thread. It is answered or fails once, by the number that the caller gave it.
     *
     * @return false where it was refused at once, nothing is sent, and the listener hears nothing of it
     */
    public boolean ask(long request, Command command) {
        return mailbox.offer(new Note.Ask(request, command)) == Mailbox.Offer.TAKEN;
    }

    /** Sends a report where there is a stream that takes it; of several in the mailbox the newest. Any thread. */
    public void report(Report report) {
        mailbox.offer(new Note.Tell(report));
    }

    /** Leaves this voter for the next one; any thread. */
    public void next(String why) {
        mailbox.offer(new Note.Next(why));
    }

    private void read(Note note) {
        if (note instanceof Note.Ask ask) {
            send(ask);
        } else if (note instanceof Note.Tell tell) {
            if (line != null && line.welcomed && line.up.isReady()) {
                Wire.Report report = Codec.wire(tell.report());
                if (report.getSerializedSize() <= SessionDesk.MOST_REPORT) {
                    line.up.onNext(Wire.Up.newBuilder().setReport(report).build());
                }
            }
        } else if (note instanceof Note.Next next && line != null) {
            line.end(next.why());
        }
    }

    private void unread(Note note) {
        if (note instanceof Note.Ask ask) {
            fail(ask.request(), Failure.NO_STREAM);
        }
    }

    private void send(Note.Ask ask) {
        if (line == null || !line.welcomed) {
            fail(ask.request(), Failure.NO_STREAM);
        } else if (out.size() >= SessionDesk.MOST_ASKED || !line.up.isReady()) {
            fail(ask.request(), Failure.BUSY);
        } else {
            ByteString command;
            try {
                command = ByteString.copyFrom(codec.bytes(ask.command()));
            } catch (IllegalArgumentException e) {
                fail(ask.request(), Failure.UNREADABLE);
                return;
            }
            long number = ++numbers;
            out.put(number, new Out(ask.request(), System.nanoTime()));
            line.up.onNext(Wire.Up.newBuilder()
                    .setAsk(Wire.Ask.newBuilder().setRequest(number).setCommand(command))
                    .build());
        }
    }

    private void fail(long request, Failure why) {
        tell(() -> listener.failed(request, why));
    }

    /** What a listener throws ends nothing here. */
    private static void tell(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            ErrorLog.report("what hears of a session", e);
        }
    }

    private static Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                ErrorLog.report("a session", e);
            }
        };
    }

    private void connect() {
        if (!closed) {
            String voter = order.get(turn);
            turn = (turn + 1) % order.size();
            line = new Line(voter);
            line.open();
        }
    }

    private void look() {
        long now = System.nanoTime();
        boolean paused = now - lookedAt >= pace.silent();
        lookedAt = now;
        Line at = line;
        if (at == null) {
            return;
        }
        if (paused) {
            // It was this process that did not hear.
            at.heardAt = now;
        }
        if (now - at.heardAt >= pace.silent()) {
            at.end("silent");
            return;
        }
        for (Iterator<Map.Entry<Long, Out>> i = out.entrySet().iterator(); i.hasNext(); ) {
            Out oldest = i.next().getValue();
            if (now - oldest.at() < pace.patience()) {
                break;
            }
            i.remove();
            fail(oldest.request(), Failure.UNCERTAIN);
            failures++;
        }
        at.leaveIfFailing();
        if (at == line && at.welcomed && at.up.isReady()) {
            at.up.onNext(Wire.Up.newBuilder()
                    .setBeat(Wire.Beat.newBuilder().setNumber(++beats))
                    .build());
        }
    }

    /** One stream, and the connection that carries it. */
    private final class Line implements ClientResponseObserver<Wire.Up, Wire.Down> {
        private final String voter;
        private final ManagedChannel channel;
        private ClientCallStreamObserver<Wire.Up> up;
        private long heardAt = System.nanoTime();
        private boolean welcomed, over;

        Line(String voter) {
            this.voter = voter;
            channel = Calls.channel(voters.get(voter), sockets, thread);
        }

        void open() {
            ClientCalls.asyncBidiStreamingCall(channel.newCall(Calls.SESSION, CallOptions.DEFAULT), this);
            up.onNext(Wire.Up.newBuilder()
                    .setHello(Wire.Hello.newBuilder().setWho(Codec.wire(who)))
                    .build());
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<Wire.Up> to) {
            up = to;
            up.disableAutoRequestWithInitial(1);
        }

        @Override
        public void onNext(Wire.Down from) {
            if (over) {
                return;
            }
            heardAt = System.nanoTime();
            switch (from.getKindCase()) {
                case WELCOME -> {
                    if (!welcomed) {
                        welcomed = true;
                        tell(() -> listener.opened(voter));
                    }
                }
                case ANSWER -> answered(from.getAnswer());
                case PLAN -> {
                    Plan told = Codec.plan(from.getPlan());
                    if (told.isNewerThan(plan)) {
                        plan = told;
                        tell(() -> listener.plan(told));
                    }
                }
                case ALLOTMENT -> {
                    Allotment word = Codec.allotment(from.getAllotment());
                    tell(() -> listener.allotted(word));
                }
                // A beat was to be heard; the other is of a newer version.
                case BEAT, KIND_NOT_SET -> {}
            }
            leaveIfFailing();
            if (!over) {
                up.request(1);
            }
        }

        private void answered(Wire.Answer answer) {
            Out of = out.remove(answer.getRequest());
            if (of == null) {
                return;
            }
            Wire.Verdict verdict = answer.getVerdict();
            if (verdict.getKindCase() == Wire.Verdict.KindCase.OUTCOME) {
                Outcome outcome;
                try {
                    outcome = codec.outcome(verdict.getOutcome().toByteArray());
                } catch (Encoding.Unreadable e) {
                    fail(of.request(), Failure.UNCERTAIN);
                    return;
                }
                failures = 0;
                wait = pace.firstWait();
                tell(() -> listener.answered(of.request(), outcome));
                return;
            }
            Failure why = switch (verdict.getFailure().getWhy()) {
                case NOT_LEADING -> Failure.NOT_LEADING;
                case BUSY -> Failure.BUSY;
                case UNREADABLE -> Failure.UNREADABLE;
                default -> Failure.UNCERTAIN;
            };
            if (why == Failure.NOT_LEADING || why == Failure.UNCERTAIN) {
                failures++;
            }
            fail(of.request(), why);
        }

        void leaveIfFailing() {
            if (failures >= MOST_FAILURES) {
                end(failures + " requests found no voter that leads");
            }
        }

        @Override
        public void onError(Throwable cause) {
            end(Links.said(Status.fromThrowable(cause)));
        }

        @Override
        public void onCompleted() {
            end("the voter has ended it");
        }

        void end(String why) {
            if (over) {
                return;
            }
            over = true;
            line = null;
            failures = 0;
            // What came before the connection ended and was not asked for yet is let go of only when it is.
            up.request(Integer.MAX_VALUE);
            up.cancel(why, null);
            channel.shutdownNow();
            ended.removeIf(ManagedChannel::isTerminated);
            ended.add(channel);
            List<Out> left = List.copyOf(out.values());
            out.clear();
            left.forEach(each -> fail(each.request(), Failure.UNCERTAIN));
            tell(() -> listener.ended(voter, why));
            if (!closed) {
                thread.schedule(
                        guarded(SessionClient.this::connect),
                        wait / 2 + random.nextLong(wait / 2 + 1),
                        TimeUnit.NANOSECONDS);
                wait = Math.min(pace.mostWait(), 2 * wait);
            }
        }
    }

    /**
     * Ends the stream; requests that are out fail, as uncertain. Waits until its connections have let go of all,
     * {@value #END_S} s at most; not for the listener to call.
     */
    @Override
    public void close() {
        try {
            thread.execute(guarded(this::end));
            thread.awaitTermination(END_S, TimeUnit.SECONDS);
        } catch (RejectedExecutionException e) {
            // Closed before.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end() {
        if (closed) {
            return;
        }
        closed = true;
        mailbox.close();
        if (line != null) {
            line.end("this process ends");
        }
        // What a connection holds is released by tasks that are still to come here.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(END_S);
        thread.scheduleWithFixedDelay(
                () -> {
                    if (ended.stream().allMatch(ManagedChannel::isTerminated) || System.nanoTime() >= until) {
                        thread.shutdown();
                    }
                },
                0,
                LOOK_MS,
                TimeUnit.MILLISECONDS);
    }
}
