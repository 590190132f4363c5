package rushpin.peer;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushpin.accord.Allotment;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Who;
import rushpin.net.ErrorLog;
import rushpin.peer.wire.Wire;

/**
 * A voter's side of sessions: a stream to each process that is here, on one thread of its own. Commands come up and are
 * answered by their number; plans go down, the one in force at once, then each newer one, and what a process may have open. It keeps no session: that is the
 * machine's.
 *
 * <p>Bounds: {@code mostStreams}, one beyond is ended at once; one stream a name, the newest; {@value #MOST_ASKED} commands
 * of a stream in hand, one beyond is answered "busy"; {@value #MOST_ANSWERS} answers that its reader doesn't take, one
 * beyond ends the stream; of plans that it doesn't take the newest alone waits. A stream's next message is read when the
 * last is done.
 */
public final class SessionDesk implements AutoCloseable {
    /** Commands in hand for one stream: a renewal, and what a process may want at its start. */
    public static final int MOST_ASKED = 16;
    /** Answers that wait for one reader: all in hand, and as many refusals. */
    public static final int MOST_ANSWERS = 2 * MOST_ASKED;
    /** Bytes of one report; a longer one is dropped. */
    public static final int MOST_REPORT = 16 << 10;
    /** Bytes of reports that are passed on in one message. */
    private static final int MOST_REPORTS = 128 << 10;

    private static final int MOST_NAME = 100;

    /** To the desk's thread. */
    private sealed interface Note {
        /** A command has a verdict. */
        record Decided(Line line, long request, Wire.Verdict verdict) implements Note {}

        /** A plan is in force. */
        record InForce(Plan plan) implements Note {}

        /** A process may have other connections open. */
        record Allotted(String process, Allotment word) implements Note {}

        /** Another voter passes reports on. */
        record Passed(Wire.Reports reports) implements Note {}
    }

    private final Proposals proposals;
    private final Consumer<Report> evidence;
    private final Pace pace;
    private final int mostStreams;
    private final ScheduledThreadPoolExecutor thread;
    private final Mailbox<Note> mailbox;
    private final Set<Line> lines = new HashSet<>();
    private final Map<String, Line> named = new HashMap<>();
    /** The newest report of each process that waits to be passed on. */
    private final Map<String, Wire.Report> reports = new LinkedHashMap<>();

    private Plan plan = Plan.NONE;
    private long lookedAt = System.nanoTime();
    private boolean closed;

    /**
     * Begins.
     *
     * @param voter this voter's name
     * @param links the ways to the others; they stay the caller's to close
     * @param evidence hears reports while this voter makes the plans, sound or not, on the desk's thread; must not block
     */
    public SessionDesk(
            String voter, Ballots ballots, Links links, int mostStreams, Pace pace, Consumer<Report> evidence) {
        proposals = new Proposals(voter, ballots, links, pace.patience());
        this.evidence = evidence;
        this.pace = pace;
        this.mostStreams = mostStreams;
        thread = new ScheduledThreadPoolExecutor(1, task -> Sockets.daemon(task, "peer desk"));
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        // Verdicts: those in hand; what voters pass on: so many calls as one has out. What is refused all the same was
        // of a
        // stream that has gone, or its request is answered as uncertain when its time is over.
        mailbox = new Mailbox<>(
                mostStreams * MOST_ASKED + Links.MOST_OUT,
                note -> note instanceof Note.InForce
                        ? note.getClass()
                        : note instanceof Note.Allotted word
                                ? List.of(word.process(), word.word().group())
                                : null,
                thread,
                this::read,
                note -> {});
        thread.scheduleWithFixedDelay(this::look, pace.beat(), pace.beat(), TimeUnit.NANOSECONDS);
    }

    Executor thread() {
        return thread;
    }

    Proposals proposals() {
        return proposals;
    }

    /** A plan is in force; any thread. Of plans that come faster than they are told the newest is told. */
    public void inForce(Plan now) {
        mailbox.offer(new Note.InForce(now));
    }

    /**
     * A process may have other connections open; any thread. Told if it is here; of words for one group that come faster than
     * they are told the newest is. Whoever hears none asks.
     */
    public void allotted(String process, Allotment word) {
        mailbox.offer(new Note.Allotted(process, word));
    }

    /** Another voter passes reports on; any thread. Dropped when the mailbox is full: newer ones come each second. */
    void passed(Wire.Reports from) {
        mailbox.offer(new Note.Passed(from));
    }

    private void read(Note note) {
        if (note instanceof Note.Decided decided) {
            decided.line().decided(decided.request(), decided.verdict());
        } else if (note instanceof Note.InForce now) {
            if (now.plan().isNewerThan(plan)) {
                plan = now.plan();
                Wire.Plan wire = Codec.wire(plan);
                List.copyOf(lines).forEach(line -> line.tell(wire));
            }
        } else if (note instanceof Note.Allotted allotted) {
            Line line = named.get(allotted.process());
            if (line != null) {
                line.allot(allotted.word());
            }
        } else if (note instanceof Note.Passed passed && proposals.plans()) {
            passed.reports().getReportsList().forEach(this::hear);
        }
    }

    /** A stream has come; on the desk's thread, as all that its observer hears. */
    StreamObserver<Wire.Up> opened(StreamObserver<Wire.Down> down) {
        Line line = new Line((ServerCallStreamObserver<Wire.Down>) down);
        if (closed) {
            line.end(Status.UNAVAILABLE, "this voter ends");
        } else if (lines.size() >= mostStreams) {
            line.end(Status.RESOURCE_EXHAUSTED, mostStreams + " streams are open");
        } else {
            lines.add(line);
        }
        return line;
    }

    private void look() {
        try {
            long now = System.nanoTime();
            // After a pause of this process it is not the others who were silent.
            boolean paused = now - lookedAt >= pace.silent();
            lookedAt = now;
            for (Line line : List.copyOf(lines)) {
                line.look(now, paused);
            }
            passOn();
        } catch (RuntimeException e) {
            ErrorLog.report("the desk of sessions", e);
        }
    }

    /** A process speaks for itself and for where it stands, whatever its report says. */
    private void reported(Who who, Wire.Report report) {
        if (report.getSerializedSize() > MOST_REPORT) {
            return;
        }
        Wire.Report signed =
                report.toBuilder().setProcess(who.name()).setZone(who.zone()).build();
        if (proposals.plans()) {
            hear(signed);
        } else {
            reports.put(who.name(), signed);
        }
    }

    /** What the hearer throws ends nothing here. */
    private void hear(Wire.Report report) {
        try {
            evidence.accept(Codec.report(report));
        } catch (RuntimeException e) {
            ErrorLog.report("a report", e);
        }
    }

    /** Reports that no voter is there for are dropped: newer ones come. */
    private void passOn() {
        String planner = proposals.ballots().planner();
        if (planner != null && proposals.links().voters().contains(planner)) {
            List<Wire.Report> batch = new ArrayList<>();
            int bytes = 0;
            for (Wire.Report each : reports.values()) {
                if (bytes + each.getSerializedSize() > MOST_REPORTS) {
                    proposals.links().report(planner, batch, pace.patience());
                    batch = new ArrayList<>();
                    bytes = 0;
                }
                batch.add(each);
                bytes += each.getSerializedSize();
            }
            if (!batch.isEmpty()) {
                proposals.links().report(planner, batch, pace.patience());
            }
        }
        reports.clear();
    }

    /** One stream. */
    private final class Line implements StreamObserver<Wire.Up> {
        private final ServerCallStreamObserver<Wire.Down> down;
        /** Commands in hand, and when each came. */
        private final Map<Long, Long> asked = new LinkedHashMap<>();

        private final ArrayDeque<Wire.Answer> answers = new ArrayDeque<>();
        private Wire.Plan next;
        /** The newest word for each group that its reader has not taken. */
        private final Map<String, Wire.Allotment> words = new LinkedHashMap<>();

        private Wire.Beat beat;
        private Who who;
        private long heardAt = System.nanoTime(), takenAt = heardAt;
        private boolean over;

        Line(ServerCallStreamObserver<Wire.Down> down) {
            this.down = down;
            down.disableAutoRequest();
            down.setOnReadyHandler(this::flush);
            down.setOnCancelHandler(this::gone);
            // The library ends a stream of wrong bytes itself, and that is no cancelling.
            down.setOnCloseHandler(this::gone);
            down.request(1);
        }

        @Override
        public void onNext(Wire.Up up) {
            if (over) {
                return;
            }
            heardAt = System.nanoTime();
            switch (up.getKindCase()) {
                case HELLO -> hello(Codec.who(up.getHello().getWho()));
                case ASK -> ask(up.getAsk());
                case BEAT -> {
                    beat = up.getBeat();
                    flush();
                }
                case REPORT -> {
                    if (who != null) {
                        reported(who, up.getReport());
                    }
                }
                // Of a newer version.
                case KIND_NOT_SET -> {}
            }
            if (!over) {
                down.request(1);
            }
        }

        private void hello(Who from) {
            if (who != null || from.name().isEmpty() || from.name().length() > MOST_NAME) {
                end(Status.INVALID_ARGUMENT, "a second hello, or one without a name");
                return;
            }
            who = from;
            Line older = named.put(who.name(), this);
            if (older != null) {
                older.end(Status.ABORTED, "a newer stream of " + who.name());
            }
            down.onNext(Wire.Down.newBuilder()
                    .setWelcome(Wire.Welcome.newBuilder().setVoter(proposals.voter()))
                    .build());
            if (plan.number() > 0) {
                tell(Codec.wire(plan));
            }
        }

        private void ask(Wire.Ask ask) {
            long request = ask.getRequest();
            if (who == null || asked.containsKey(request)) {
                end(Status.INVALID_ARGUMENT, who == null ? "no hello" : "request " + request + " is in hand");
            } else if (asked.size() >= MOST_ASKED) {
                answer(request, Proposals.failure(Wire.Failure.Why.BUSY, null));
            } else {
                asked.put(request, heardAt);
                proposals
                        .verdict(ask.getCommand().toByteArray(), true)
                        .thenAccept(verdict -> mailbox.offer(new Note.Decided(this, request, verdict)));
            }
        }

        void decided(long request, Wire.Verdict verdict) {
            // Where it was given up, it has been answered.
            if (!over && asked.remove(request) != null) {
                answer(request, verdict);
            }
        }

        private void answer(long request, Wire.Verdict verdict) {
            answers.add(Wire.Answer.newBuilder()
                    .setRequest(request)
                    .setVerdict(verdict)
                    .build());
            flush();
            if (answers.size() > MOST_ANSWERS) {
                end(Status.RESOURCE_EXHAUSTED, MOST_ANSWERS + " answers were not read");
            }
        }

        void tell(Wire.Plan newest) {
            if (who != null) {
                next = newest;
                flush();
            }
        }

        void allot(Allotment word) {
            words.put(word.group(), Codec.wire(word));
            flush();
        }

        private boolean isIdle() {
            return answers.isEmpty() && next == null && beat == null && words.isEmpty();
        }

        private void flush() {
            while (!over && down.isReady()) {
                Wire.Down.Builder to = Wire.Down.newBuilder();
                if (!answers.isEmpty()) {
                    to.setAnswer(answers.poll());
                } else if (next != null) {
                    to.setPlan(next);
                    next = null;
                } else if (!words.isEmpty()) {
                    to.setAllotment(words.remove(words.keySet().iterator().next()));
                } else if (beat != null) {
                    to.setBeat(beat);
                    beat = null;
                } else {
                    break;
                }
                down.onNext(to.build());
            }
            if (isIdle()) {
                takenAt = System.nanoTime();
            }
        }

        void look(long now, boolean paused) {
            if (paused) {
                heardAt = now;
                takenAt = now;
            }
            for (Iterator<Map.Entry<Long, Long>> i = asked.entrySet().iterator(); i.hasNext(); ) {
                Map.Entry<Long, Long> oldest = i.next();
                if (now - oldest.getValue() < pace.patience()) {
                    break;
                }
                i.remove();
                answer(oldest.getKey(), Proposals.failure(Wire.Failure.Why.UNCERTAIN, null));
                if (over) {
                    return;
                }
            }
            if (isIdle()) {
                takenAt = now;
            }
            if (now - heardAt >= pace.silent()) {
                end(Status.DEADLINE_EXCEEDED, "nothing was heard");
            } else if (now - takenAt >= pace.silent()) {
                end(Status.RESOURCE_EXHAUSTED, "what waits was not read");
            }
        }

        void end(Status status, String why) {
            if (!over) {
                gone();
                down.onError(status.withDescription(why).asRuntimeException());
            }
        }

        private void gone() {
            over = true;
            lines.remove(this);
            if (who != null) {
                named.remove(who.name(), this);
            }
            asked.clear();
            answers.clear();
            next = null;
            words.clear();
            beat = null;
        }

        @Override
        public void onError(Throwable cause) {
            gone();
        }

        @Override
        public void onCompleted() {
            if (!over) {
                gone();
                down.onCompleted();
            }
        }
    }

    /** Ends all streams; the server is to be closed next, then {@link #end}. */
    @Override
    public void close() {
        thread.execute(() -> {
            closed = true;
            mailbox.close();
            List.copyOf(lines).forEach(line -> line.end(Status.UNAVAILABLE, "this voter ends"));
        });
    }

    /** Ends the thread, when the server has been closed and has said its last. */
    public void end() {
        thread.schedule(thread::shutdown, 1, TimeUnit.SECONDS);
    }
}
