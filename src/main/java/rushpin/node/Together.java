package rushpin.node;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Decision;
import rushpin.accord.Holding;
import rushpin.accord.Machine;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Terms;
import rushpin.accord.Who;
import rushpin.config.FleetConfig;
import rushpin.net.ErrorLog;
import rushpin.peer.Failure;
import rushpin.peer.Mailbox;
import rushpin.peer.Pace;
import rushpin.peer.SessionClient;
import rushpin.peer.SessionDesk;
import rushpin.peer.Sockets;

/**
 * What this process shares with the others of its fleet: its session, what it holds, the plans it hears, and its vote if it
 * has one. A task of its own on one thread; pools are told, and never wait.
 *
 * <p>Its mailbox takes {@value #MOST_NOTES} answers; one beyond is as one that was lost, and is asked for again. Of plans and
 * of what its own voter learns the newest counts. Whatever was held is given up by a line before anything else is done after a
 * pause: each turn begins with a look at the lease.
 */
final class Together implements AutoCloseable {
    /** Over the fleet: five times the processes it was planned for, and what parts to come hold for each. */
    private static final int MOST_SESSIONS = 5_000, MOST_HELD = 50_000;
    /** Resources of one process. */
    private static final int MOST_OWN = 64;

    private static final int MOST_NOTES = 64;
    /** Plans are made no more often than so many times a lease: processes start one after the other. */
    private static final int PLANS = 10;
    /** A report each second: accounts come in that step, and may be a little early. */
    private static final long REPORT = 900_000_000L;
    /** The fleet is looked at so often, and at once where the log says something new. */
    private static final long LOOK = 1_000_000_000L;
    /** How long an end waits for the session's and the voter's. */
    private static final long LEAVE_MS = 1_500;
    /** Of that, how long it waits until what it had open to groups of servers is closed and given back, nanoseconds. */
    private static final long GIVE = 750_000_000L;

    private sealed interface Note {
        record Answered(long id, Outcome outcome) implements Note {}

        record Failed(long id, Failure why) implements Note {}

        record Stream(Line of, boolean open) implements Note {}

        record Told(Plan plan) implements Note {}

        /** This process's own voter knows more than before. */
        record Learned(Decision decision) implements Note {}

        /** What this process may have open to a group of servers. */
        record Allotted(Allotment word) implements Note {}

        /** A pool of this process has something open to a group of servers. */
        record Has(GroupSide.Account account) implements Note {}

        /** A pool of this process has seen something. */
        record Saw(Witness.Account account) implements Note {}

        /** What came of a look at the fleet. */
        record Drafted(Optional<Planning.Draft> draft) implements Note {}

        /** What came of a look at what is wanted of groups of servers. */
        record Divided(List<Command.Divide> drafts) implements Note {}

        record Change(FleetConfig next) implements Note {}

        record Leave() implements Note {}

        /** All that was taken is answered. */
        record Drained() implements Note {}
    }

    /** A division that is out. */
    private record Sent(String group, long at) {}

    private final Consumer<Standing> agreed;
    private final Who who;
    private final Pace pace;
    private final long seed;
    private final Sockets sockets = new Sockets();
    private final ScheduledThreadPoolExecutor thread;
    private final Mailbox<Note> mailbox;
    private final Holding holding;
    /** This process's vote; null for a process that has none. */
    private final Voter voter;
    /** Where plans come from; null for a process that makes none. */
    private final Planning planning;
    /** Where connections are divided; null for a process that divides none. */
    private final Divisions divisions;

    private List<Command.Divide> divides = List.of();
    /** Divisions that are out, by their number: until they are answered, or for as long as a lease. */
    private final Map<Long, Sent> dividing = new TreeMap<>();

    private final CompletableFuture<Void> left = new CompletableFuture<>();
    /** What is held by lines that were said, with its fences. */
    private final Map<String, Long> held = new TreeMap<>();

    private volatile FleetConfig plan;
    private SessionClient client;
    private Line line;
    private Future<?> timer;
    private final Allotments allotments;
    private final Gathered gathered = new Gathered(SessionDesk.MOST_REPORT);
    /** Of the session's reports the last, and when it was sent. */
    private long sequence, reportedAt;

    private boolean open;
    /** The process ends; all is answered, and until when connections may be given back; the session ends. */
    private boolean ending, drained, leaving;

    private long giveBy;
    /** Whether this process would make the plans. */
    private boolean stands;
    /** The newest plan that was told, and when. */
    private Plan newest = Plan.NONE;

    private long toldAt;
    /** The session that is alive by a line that was said; 0 for none. */
    private long alive;
    /** The end of the lease by the last lines that say what is held. */
    private long saidUntil;
    /** What the log said at the last look, when that was, and what came of it; null for nothing. */
    private Voter.Known looked;

    private long lookedAt;
    private Planning.Draft draft;
    /** Publications have numbers below zero, so that none is an ask's; one at a time is out. */
    private long publications, publishing, publishAgain;

    /**
     * Opens nothing yet; {@code agreed} is told each plan that is newer than all before, and whether it may be stale, and
     * {@code permits} what may be open to each group of servers, both on the task's thread.
     */
    Together(FleetConfig plan, Consumer<Standing> agreed, Consumer<GroupSide.Numbered> permits) {
        this.plan = plan;
        allotments = new Allotments(permits);
        this.agreed = agreed;
        SecureRandom random = new SecureRandom();
        seed = random.nextLong();
        who = new Who(plan.name(), random.nextLong(), plan.zone(), plan.region(), Machine.LEVEL);
        pace = Pace.of(plan.lease());
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, "fleet");
            made.setDaemon(true);
            return made;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        mailbox = new Mailbox<>(MOST_NOTES, Together::kind, thread, this::read, note -> {});
        publishAgain = System.nanoTime();
        reportedAt = publishAgain;
        lookedAt = publishAgain - LOOK;
        holding = new Holding(who, plan.lease() / Holding.MOST_OUT, MOST_OWN, System.nanoTime());
        Terms terms = new Terms(plan.lease(), plan.drift(), plan.effect(), MOST_SESSIONS, MOST_HELD);
        planning = plan.votes() ? new Planning(MOST_SESSIONS, draft -> mailbox.offer(new Note.Drafted(draft))) : null;
        divisions =
                plan.votes() ? new Divisions(MOST_SESSIONS, drafts -> mailbox.offer(new Note.Divided(drafts))) : null;
        voter = plan.votes()
                ? new Voter(plan, terms, sockets, decision -> mailbox.offer(new Note.Learned(decision)), this::reported)
                : null;
    }

    /** A pool tells what it saw lately; any thread. What this task does not read before the next account is left out. */
    void saw(Witness.Account account) {
        mailbox.offer(new Note.Saw(account));
    }

    private void reported(Report report) {
        planning.heard(report);
        divisions.heard(report);
    }

    /** A pool tells what it has open to a group of servers; any thread. Of each group the newest is read. */
    void has(GroupSide.Account account) {
        mailbox.offer(new Note.Has(account));
    }

    /** Answers, and that a stream has come or gone, stand for themselves; of the rest the newest counts, for each pool. */
    private static Object kind(Note note) {
        return note instanceof Note.Answered || note instanceof Note.Failed || note instanceof Note.Stream
                ? null
                : note instanceof Note.Learned learned
                        ? learned.decision().getClass()
                        : note instanceof Note.Saw saw
                                ? saw.account().by()
                                : note instanceof Note.Allotted allotted
                                        ? "word " + allotted.word().group()
                                        : note instanceof Note.Has has
                                                ? "has " + has.account().group()
                                                : note.getClass();
    }

    /** Begins; returns when a voter listens. The fleet is not waited for. */
    void start() throws IOException {
        try {
            if (voter != null) {
                voter.open();
            }
        } catch (IOException e) {
            close();
            throw e;
        }
        thread.execute(this::connect);
    }

    private void connect() {
        line = new Line();
        client = new SessionClient(who, plan.addresses(), pace, seed, sockets, line);
        client.start();
    }

    /** What this process goes by now. */
    FleetConfig plan() {
        return plan;
    }

    /** Goes over to what a running process takes, checked by {@link FleetConfig#checkNext}; the rest is for the next start. */
    void change(FleetConfig next) {
        plan.forNextStart(next).forEach(key -> System.out.println("changed " + key + " is for the next start"));
        plan = plan.taking(next);
        mailbox.offer(new Note.Change(plan));
    }

    /**
     * Ends the session, and the vote after it; completes when that is done, after 1.5 s in any case. Who has a part of groups'
     * connections needs it until all is answered: then it is closed and given back, and the session ends after it.
     */
    CompletableFuture<Void> leave(CompletableFuture<?> answered) {
        mailbox.offer(new Note.Leave());
        CompletableFuture<?> over = answered.thenRun(() -> mailbox.offer(new Note.Drained()));
        CompletableFuture<?> from = plan.groups().isEmpty() ? CompletableFuture.completedFuture(null) : over;
        return from.thenCompose(any -> left.copy().completeOnTimeout(null, LEAVE_MS, TimeUnit.MILLISECONDS));
    }

    /** What one client hears; after a change of addresses the one before may still have a word to say. */
    private final class Line implements SessionClient.Listener {
        @Override
        public void opened(String by) {
            mailbox.offer(new Note.Stream(this, true));
        }

        @Override
        public void ended(String by, String why) {
            mailbox.offer(new Note.Stream(this, false));
        }

        @Override
        public void answered(long request, Outcome outcome) {
            mailbox.offer(new Note.Answered(request, outcome));
        }

        @Override
        public void failed(long request, Failure why) {
            mailbox.offer(new Note.Failed(request, why));
        }

        @Override
        public void allotted(Allotment word) {
            mailbox.offer(new Note.Allotted(word));
        }

        @Override
        public void plan(Plan newer) {
            mailbox.offer(new Note.Told(newer));
        }
    }

    private void read(Note note) {
        long now = System.nanoTime();
        // What a pause has ended is said before anything is done.
        hear(holding.time(now), now);
        if (note instanceof Note.Answered answer && answer.id() > 0) {
            hear(holding.answered(answer.id(), answer.outcome(), now), now);
        } else if (note instanceof Note.Answered answer && answer.outcome() instanceof Outcome.Allotted allotted) {
            allotments.told(allotted.word());
        } else if (note instanceof Note.Answered answer) {
            dividing.remove(answer.id());
            published(answer.id());
        } else if (note instanceof Note.Failed failed && dividing.remove(failed.id()) != null) {
            // Made anew with the next look.
            divides = List.of();
        } else if (note instanceof Note.Failed failed && failed.id() == publishing) {
            publishing = 0;
            publishAgain = now + plan.lease() / PLANS;
        } else if (note instanceof Note.Stream stream && stream.of() == line) {
            open = stream.open();
        } else if (note instanceof Note.Told told) {
            // Before any pool goes by it.
            say("agreed number=" + told.plan().number() + " fence="
                    + told.plan().fence() + " ways=" + told.plan().text());
            if (told.plan().isNewerThan(newest)) {
                newest = told.plan();
                toldAt = now;
            }
            agree(now);
        } else if (note instanceof Note.Learned learned) {
            hear(holding.heard(learned.decision(), now), now);
        } else if (note instanceof Note.Allotted allotted) {
            allotments.told(allotted.word());
        } else if (note instanceof Note.Has has) {
            allotments.has(has.account(), holding);
        } else if (note instanceof Note.Saw saw) {
            gathered.add(saw.account());
            report(now);
        } else if (note instanceof Note.Drafted drafted) {
            draft = drafted.draft().orElse(null);
        } else if (note instanceof Note.Divided divided) {
            divides = divided.drafts();
        } else if (note instanceof Note.Change change) {
            client.close();
            open = false;
            connect();
            if (voter != null) {
                voter.change(change.next());
            }
        } else if (note instanceof Note.Leave && !ending) {
            ending = true;
            if (allotments.isEmpty()) {
                endSession(now);
            } else {
                List.copyOf(held.keySet()).forEach(resource -> giveUp(resource, now));
            }
        } else if (note instanceof Note.Drained && !leaving) {
            drained = true;
            giveBy = now + GIVE;
            allotments.leave();
            // Whoever divides hears at once that this process takes no part any more.
            reportedAt = now - REPORT;
            report(now);
        }
        turn();
    }

    private void endSession(long now) {
        leaving = true;
        held.forEach((resource, fence) -> say("yields resource=" + resource + " fence=" + fence));
        held.clear();
        holding.leave(now);
    }

    /** With the first account after a second; what can't be told now is old by the time it could be. */
    private void report(long now) {
        if (now - reportedAt < REPORT) {
            return;
        }
        if (open && holding.isAlive(now)) {
            client.report(gathered.report(who, holding.session(), ++sequence, allotments.needs()));
        } else {
            gathered.clear();
        }
        reportedAt = now;
    }

    /** A plan is known to be in force while there is a session, and else by the last asking that was answered. */
    private void agree(long now) {
        if (newest.isNewerThan(Plan.NONE)) {
            long asked = saidUntil == 0 ? toldAt : saidUntil - plan.lease();
            long since = Math.max(toldAt, Math.min(now, asked));
            agreed.accept(new Standing(plan.zone(), plan.lease(), newest, alive == 0, since));
        }
    }

    private void timed() {
        try {
            turn();
        } catch (RuntimeException e) {
            ErrorLog.report("what is shared", e);
            timer = thread.schedule(this::timed, pace.beat(), TimeUnit.NANOSECONDS);
        }
    }

    /** What is due is sent, and the next turn set. */
    private void turn() {
        long now = System.nanoTime();
        hear(holding.time(now), now);
        if (voter != null && !ending) {
            stand(now);
        }
        if (drained && !leaving && (allotments.isBack() || !open || now - giveBy >= 0)) {
            endSession(now);
        }
        if (open) {
            for (Holding.Ask ask : holding.due(now)) {
                client.ask(ask.id(), ask.command());
            }
            cede();
            divide(now);
            publish(now);
        }
        lookRound(now);
        if (leaving && (holding.isOver() || !open)) {
            end();
            return;
        }
        arm(System.nanoTime());
    }

    /** The look at the lease is the last before it is said: what is said after it counts for nothing. */
    private void cede() {
        long now = System.nanoTime();
        for (Command.Cede cede : allotments.due(now)) {
            // As many are out as there are groups; their answers stand for themselves, whichever they answer.
            if (client.ask(--publications, cede)) {
                allotments.said(cede, now);
            }
        }
    }

    /**
     * Who plans has to know who is there: a voter whose log stands still leaves it to another one. While another one plans,
     * nothing is asked for: its end is heard.
     */
    private void stand(long now) {
        long planner = voter.known().planner();
        boolean able = voter.follows(now) && (planner == 0 || planner == holding.session());
        if (able && !stands) {
            stands = holding.want(Command.PLANNER, now);
        } else if (!able && stands) {
            stands = false;
            giveUp(Command.PLANNER, now);
        }
    }

    private void giveUp(String resource, long now) {
        Long fence = held.remove(resource);
        if (fence != null) {
            say("yields resource=" + resource + " fence=" + fence);
        }
        holding.giveBack(resource, now);
    }

    /** Without a stream nothing is due but to see the lease end. */
    private void arm(long now) {
        if (timer != null) {
            timer.cancel(false);
        }
        long next = open ? holding.next() : Long.MAX_VALUE;
        if (drained && !leaving) {
            next = Math.min(next, giveBy);
        }
        if (planning != null && holding.fence(Command.PLANNER, now) != 0) {
            next = Math.min(next, lookAt());
            if (open && publishing == 0 && wouldPublish(now) != null) {
                next = Math.min(next, publishAgain);
            }
        }
        if (holding.isAlive(now)) {
            next = Math.min(next, holding.until());
        }
        if (next != Long.MAX_VALUE) {
            timer = thread.schedule(this::timed, Math.max(0, next - now), TimeUnit.NANOSECONDS);
        }
    }

    private void hear(List<Holding.Event> events, long now) {
        for (Holding.Event event : events) {
            if (event instanceof Holding.Event.Lost lost && held.remove(lost.resource()) != null) {
                say("yields resource=" + lost.resource() + " fence=" + lost.fence());
            }
        }
        long session = holding.isAlive(now) ? holding.session() : 0;
        if (session != alive) {
            if (alive != 0) {
                say("lost number=" + alive);
            }
            if (session != 0) {
                say("session number=" + session);
            }
            alive = session;
            agree(now);
        }
        if (holding.until() != saidUntil) {
            // A renewal: what is held is held for longer.
            saidUntil = holding.until();
            held.forEach(this::sayHolds);
            allotments.renewed(holding);
        }
        for (Holding.Event event : events) {
            if (event instanceof Holding.Event.Gained gained
                    && holding.fence(gained.resource(), now) == gained.fence()) {
                held.put(gained.resource(), gained.fence());
                sayHolds(gained.resource(), gained.fence());
            } else if (event instanceof Holding.Event.Refused refused) {
                String what = refused.resource().isEmpty() ? "a session" : refused.resource();
                System.err.println("the fleet refuses " + what + ": " + refused.reason());
            }
        }
    }

    private long lookAt() {
        return lookedAt + (voter.known() == looked ? LOOK : plan.lease() / PLANS);
    }

    /** Who makes the plans divides too: the reports of all come to it. */
    private void divide(long now) {
        boolean plans = planning != null
                && holding.fence(Command.PLANNER, now) != 0
                && !plan.groups().isEmpty();
        if (plans) {
            holding.want(Command.DIVIDER, now);
        } else {
            giveUp(Command.DIVIDER, now);
        }
        // What became of one may be lost on the way here; the machine knows it again.
        dividing.values().removeIf(sent -> now - sent.at() >= plan.lease());
        for (Command.Divide draft : divides) {
            long fence = holding.fence(Command.DIVIDER, System.nanoTime());
            if (fence == draft.fence()
                    && dividing.values().stream().noneMatch(sent -> sent.group().equals(draft.group()))) {
                long id = --publications;
                if (client.ask(id, draft)) {
                    dividing.put(id, new Sent(draft.group(), now));
                }
            }
        }
        divides = List.of();
    }

    /** Who makes the plans looks at the fleet. */
    private void lookRound(long now) {
        long fence = planning == null ? 0 : holding.fence(Command.PLANNER, now);
        if (fence != 0 && now - lookAt() >= 0) {
            looked = voter.known();
            lookedAt = now;
            long divider = holding.fence(Command.DIVIDER, now);
            if (divider != 0) {
                divisions.look(new Divisions.Look(
                        holding.session(),
                        divider,
                        voter.connections().sessions(),
                        voter.connections().budgets(),
                        plan.groups(),
                        voter.logTime()));
            }
            planning.look(new Planning.Look(
                    looked.plan(), fence, looked.regions(), voter.logTime(), plan.geography(), plan.limits()));
        }
    }

    /** What this process would publish now, if it makes the plans and something is new; else null. */
    private Planning.Draft wouldPublish(long now) {
        long fence = draft == null ? 0 : holding.fence(Command.PLANNER, now);
        // What was made from another plan than is in force now is refused; it is made anew.
        return fence != 0
                        && draft.fence() == fence
                        && draft.after() == voter.known().plan().number()
                ? draft
                : null;
    }

    private void publish(long now) {
        if (publishing != 0 && now - publishAgain >= plan.lease()) {
            // What became of it was lost on the way here; the machine knows it again.
            publishing = 0;
        }
        Planning.Draft what = publishing != 0 || now - publishAgain < 0 ? null : wouldPublish(now);
        if (what != null) {
            // The last look before the effect; what a pause slips in behind it meets the machine, which knows the
            // fence.
            long fence = holding.fence(Command.PLANNER, System.nanoTime());
            long id = --publications;
            if (fence == what.fence()
                    && client.ask(
                            id,
                            new Command.Publish(holding.session(), fence, what.after(), what.ways(), what.marks()))) {
                publishing = id;
            }
            publishAgain = now + plan.lease() / PLANS;
        }
    }

    private void published(long id) {
        if (id == publishing) {
            publishing = 0;
            // It is in force, or was refused for what this process doesn't know yet: the next look tells.
            draft = null;
        }
    }

    private void sayHolds(String resource, long fence) {
        say("holds resource=" + resource + " fence=" + fence + " until=" + holding.until());
    }

    private static void say(String what) {
        System.out.println("fleet " + what + " at=" + System.nanoTime());
    }

    /** The session is over, or nobody is there to be told. */
    private void end() {
        if (!left.isDone()) {
            if (client != null) {
                client.close();
            }
            if (voter != null) {
                planning.close();
                divisions.close();
                voter.close();
            }
            left.complete(null);
        }
    }

    /** Ends all of it; whoever wants the others to hear of it leaves first. */
    @Override
    public void close() {
        mailbox.close();
        try {
            thread.submit(() -> {
                        if (client != null) {
                            client.close();
                        }
                        if (voter != null) {
                            planning.close();
                            divisions.close();
                            voter.close();
                        }
                    })
                    .get(LEAVE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            ErrorLog.report("the end of what is shared", e);
        }
        thread.shutdownNow();
        sockets.close();
    }
}
