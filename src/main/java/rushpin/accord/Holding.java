package rushpin.accord;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rushpin.accord.Outcome.Reason;

/**
 * What one process holds of the fleet, as it may see it itself: its session, its lease, the resources it was granted. Own
 * time and answers in, asks and events out. No I/O, no clock, no chance; one thread at a time.
 *
 * <p>The lease counts from when the request was <em>asked</em> that an answer belongs to; the latest such moment counts,
 * for answers come late, twice or out of order. Each ask has a number of its own. What extends the lease: a Renew that was
 * done and a Join that was answered, each from its own asking; nothing else. A grant counts only while the lease is alive,
 * for the session that asked, and under a fence that was not given back. Of what was given back and is forgotten one number
 * is left, the greatest fence: word of a grant up to it may be late, so it is asked instead what is true now. When the
 * lease is over by own time all is lost at once, even if the session is still there for the fleet: the process then asks
 * for both anew.
 *
 * <p>Bounds: {@code most} resources, those that still have to be given back included; beyond, {@link #want} refuses. A round
 * is a third of a lease: one ask a round for the session and for each resource (at once after it was heard that the last one
 * came to nothing), each remembered for {@link #MOST_OUT} rounds.
 */
public final class Holding {
    /** For so many rounds an ask is remembered: a later answer could not help any more. */
    public static final int MOST_OUT = 3;
    /** What {@link #next} says when nothing is left to do. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * A command to be sent to any voter; its answer is told with the same number. Numbers begin anew with each start: an
     * answer goes to nobody but the start that asked.
     */
    public record Ask(long id, Command command) {}

    /** What changed for this process. */
    public sealed interface Event {
        /** The resource is this process's while the lease is alive. */
        record Gained(String resource, long fence) implements Event {}

        /** It is so no more: nothing may be begun by it. */
        record Lost(String resource, long fence) implements Event {}

        /** Another one has it; it is asked for again. */
        record Held(String resource, String by) implements Event {}

        /** The fleet refuses the resource, or the session where it is empty; it is asked for again. */
        record Refused(String resource, Reason reason) implements Event {}
    }

    /**
     * A resource.
     *
     * @param known the fence it was granted under to this session, not given back; 0 for none
     * @param live whether that counts: not after the lease was over
     * @param back the greatest fence given back; a grant under it or an older one is a late answer
     * @param owed the fence whose release is not answered yet; 0 for none
     * @param again when to ask next, own time
     */
    record Item(boolean wanted, long known, boolean live, long back, long owed, long again) {
        boolean isIdle() {
            return !wanted && known == 0 && owed == 0;
        }
    }

    /** A command that is out since a moment of own time. */
    record Out(Command command, long asked) {}

    /** All that it remembers, as a value. */
    record Memory(
            Terms terms,
            long session,
            long ended,
            long until,
            long again,
            long asks,
            long leaveBy,
            boolean over,
            long forgotten,
            Map<String, Item> items,
            Map<Long, Out> out) {}

    private final Who who;
    private final long patience;
    private final int most;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, Out> out = new TreeMap<>();
    private Terms terms;
    /** The session, 0 for none, and the greatest one that is known to be over. */
    private long session, ended;

    private long until, again, asks;
    /** The greatest fence given back of resources that are forgotten; 0 for none. */
    private long forgotten;

    private long leaveBy = NEVER;
    private boolean over;

    /**
     * Holds nothing yet.
     *
     * @param patience a round while no terms are known, nanoseconds
     * @param most how many resources there can be at once
     * @param now own time
     */
    public Holding(Who who, long patience, int most, long now) {
        this.who = who;
        this.patience = patience;
        this.most = most;
        until = now;
        again = now;
    }

    /** Goes on from what was remembered. */
    Holding(Who who, long patience, int most, Memory memory) {
        this(who, patience, most, memory.again);
        terms = memory.terms;
        session = memory.session;
        ended = memory.ended;
        until = memory.until;
        asks = memory.asks;
        leaveBy = memory.leaveBy;
        over = memory.over;
        forgotten = memory.forgotten;
        items.putAll(memory.items);
        out.putAll(memory.out);
    }

    /** All that it remembers. */
    Memory memory() {
        return new Memory(
                terms,
                session,
                ended,
                until,
                again,
                asks,
                leaveBy,
                over,
                forgotten,
                new TreeMap<>(items),
                new TreeMap<>(out));
    }

    /** Whether the lease is alive: asked at the last moment before anything is begun by it. */
    public boolean isAlive(long now) {
        return session != 0 && now < until;
    }

    /** Whether a resource is this process's: asked at the last moment before each effect. */
    public boolean holds(String resource, long now) {
        Item item = items.get(resource);
        return item != null && item.live && isAlive(now);
    }

    /** The fence to show at the door, or 0 if the resource is not held. */
    public long fence(String resource, long now) {
        return holds(resource, now) ? items.get(resource).known : 0;
    }

    /** The session, 0 for none; it may be over by own time. */
    public long session() {
        return session;
    }

    /** When the lease is over, own time; only moves ahead while there is a session. */
    public long until() {
        return until;
    }

    /** What the fleet goes by; null before the first session. */
    public Terms terms() {
        return terms;
    }

    /** Whether {@link #leave} is through: nothing is to be sent any more. */
    public boolean isOver() {
        return over;
    }

    /**
     * Wants a resource from now on. False at the bound, or after {@link #leave}; a name that is none is refused by the
     * fleet.
     */
    public boolean want(String resource, long now) {
        Item item = items.get(resource);
        if (leaveBy != NEVER || item == null && items.size() >= most) {
            return false;
        }
        if (item == null) {
            items.put(resource, new Item(true, 0, false, 0, 0, now));
        } else if (!item.wanted) {
            items.put(resource, new Item(true, item.known, item.live, item.back, item.owed, now));
        }
        return true;
    }

    /** Gives a resource back. Whoever calls has ended all effects that were begun by it: others may have it at once. */
    public void giveBack(String resource, long now) {
        Item item = items.get(resource);
        if (item != null && item.wanted) {
            items.put(
                    resource,
                    item.known == 0
                            ? new Item(false, 0, false, item.back, item.owed, now)
                            : new Item(false, 0, false, item.known, item.known, now));
            forget(now);
        }
    }

    /** Ends the session. Whoever calls has ended all effects that were begun by anything held. */
    public void leave(long now) {
        if (leaveBy == NEVER) {
            items.clear();
            leaveBy = now + MOST_OUT * round();
            again = now;
        }
    }

    /** Own time has passed: what is lost by it. Looks at the lease need not wait for this. */
    public List<Event> time(long now) {
        List<Event> events = new ArrayList<>();
        if (!isAlive(now)) {
            items.replaceAll((resource, item) -> lost(resource, item, events));
        }
        return events;
    }

    private static Item lost(String resource, Item item, List<Event> events) {
        if (item.live) {
            events.add(new Event.Lost(resource, item.known));
        }
        return item.live ? new Item(item.wanted, item.known, false, item.back, item.owed, item.again) : item;
    }

    /** When {@link #time} and {@link #due} have something to do, own time. */
    public long next() {
        if (over) {
            return NEVER;
        }
        long next = Math.min(again, leaveBy);
        for (Item item : items.values()) {
            if (item.live) {
                next = Math.min(next, until);
            }
            if (session != 0 && (item.owed != 0 || item.wanted && !item.live && again < until)) {
                next = Math.min(next, item.again);
            }
        }
        return next;
    }

    /** What is to be sent now; all of it counts as asked now. */
    public List<Ask> due(long now) {
        forget(now);
        List<Ask> due = new ArrayList<>();
        if (leaveBy != NEVER) {
            boolean nothing = session == 0 && out.isEmpty();
            over = over || nothing || now >= leaveBy;
            if (!over && session != 0 && now >= again) {
                again = now + round();
                ask(new Command.Leave(session), now, due);
            }
            return due;
        }
        if (now >= again) {
            again = now + round();
            ask(isAlive(now) ? new Command.Renew(session) : new Command.Join(who), now, due);
        }
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            Item item = entry.getValue();
            if (session == 0 || now < item.again) {
                continue;
            }
            if (item.owed != 0) {
                ask(new Command.Release(session, entry.getKey(), item.owed), now, due);
            } else if (item.wanted && !item.live && isAlive(now)) {
                ask(new Command.Acquire(session, entry.getKey()), now, due);
            } else {
                continue;
            }
            entry.setValue(new Item(item.wanted, item.known, item.live, item.back, item.owed, now + round()));
        }
        return due;
    }

    private void ask(Command command, long now, List<Ask> due) {
        out.put(++asks, new Out(command, now));
        due.add(new Ask(asks, command));
    }

    private long round() {
        return terms == null ? patience : Math.max(1, terms.lease() / MOST_OUT);
    }

    /** Lets go of asks that are too old, and of resources about which nothing is left to be heard. */
    private void forget(long now) {
        out.values().removeIf(asked -> now - asked.asked >= MOST_OUT * round());
        items.entrySet().removeIf(entry -> {
            boolean idle = entry.getValue().isIdle() && !acquiring(entry.getKey());
            forgotten = idle ? Math.max(forgotten, entry.getValue().back) : forgotten;
            return idle;
        });
    }

    private boolean acquiring(String resource) {
        for (Out asked : out.values()) {
            if (asked.command instanceof Command.Acquire acquire
                    && acquire.resource().equals(resource)) {
                return true;
            }
        }
        return false;
    }

    /** An ask was answered; one that is not out any more changes nothing. */
    public List<Event> answered(long id, Outcome outcome, long now) {
        List<Event> events = time(now);
        Out asked = out.remove(id);
        if (asked == null || over) {
            return events;
        }
        Command command = asked.command;
        if (outcome instanceof Outcome.Joined joined) {
            joined(joined, asked.asked, events);
        } else if (outcome instanceof Outcome.Granted granted) {
            if (command instanceof Command.Acquire acquire && acquire.session() == session) {
                granted(granted.resource(), granted.fence(), now, events);
            }
        } else if (outcome instanceof Outcome.Held held) {
            if (command instanceof Command.Acquire acquire && acquire.session() == session) {
                events.add(new Event.Held(held.resource(), held.by()));
            }
        } else if (outcome instanceof Outcome.Done) {
            done(command, asked.asked, now);
        } else if (outcome instanceof Outcome.Refused refused) {
            refused(command, refused.reason(), now, events);
        }
        return events;
    }

    private void joined(Outcome.Joined joined, long asked, List<Event> events) {
        if (joined.session() <= ended || joined.session() < session) {
            return;
        }
        if (joined.session() > session) {
            end(events);
            session = joined.session();
            terms = joined.terms();
            until = asked + terms.lease();
        } else {
            until = Math.max(until, asked + terms.lease());
        }
    }

    /** The session is over for the fleet. */
    private void end(List<Event> events) {
        ended = Math.max(ended, session);
        session = 0;
        items.replaceAll((resource, item) -> {
            lost(resource, item, events);
            return new Item(item.wanted, 0, false, 0, 0, item.again);
        });
    }

    private void granted(String resource, long fence, long now, List<Event> events) {
        Item item = items.get(resource);
        if (item == null) {
            // Heard of, and not known any more: nobody here wants it.
            if (leaveBy == NEVER && items.size() < most) {
                items.put(resource, new Item(false, 0, false, fence, fence, now));
            }
        } else if (fence < item.back) {
            return; // A late answer: what was granted after it has been given back already.
        } else if (fence == item.back || !item.wanted) {
            // Its release was lost or is on its way, or nobody wants it any more.
            items.put(resource, new Item(item.wanted, item.known, item.live, fence, fence, now));
        } else if (!item.live && fence >= item.known) {
            boolean live = isAlive(now);
            items.put(resource, new Item(true, fence, live, item.back, item.owed, item.again));
            if (live) {
                events.add(new Event.Gained(resource, fence));
            }
        }
    }

    private void done(Command command, long asked, long now) {
        if (command instanceof Command.Renew renew && renew.session() == session) {
            until = Math.max(until, asked + terms.lease());
        } else if (command instanceof Command.Release release && release.session() == session) {
            released(release, now);
        } else if (command instanceof Command.Leave leave && leave.session() == session) {
            over = true;
        }
    }

    private void released(Command.Release release, long now) {
        Item item = items.get(release.resource());
        if (item != null && item.owed == release.fence()) {
            items.put(release.resource(), new Item(item.wanted, item.known, item.live, item.back, 0, now));
            forget(now);
        }
    }

    private void refused(Command command, Reason reason, long now, List<Event> events) {
        if (reason == Reason.NO_SESSION) {
            if (sessionOf(command) == session) {
                gone(now, events);
            }
        } else if (command instanceof Command.Join) {
            events.add(new Event.Refused("", reason));
        } else if (command instanceof Command.Acquire acquire && acquire.session() == session) {
            events.add(new Event.Refused(acquire.resource(), reason));
        } else if (command instanceof Command.Release release && release.session() == session) {
            released(release, now);
        }
    }

    private void gone(long now, List<Event> events) {
        end(events);
        again = now;
        over = leaveBy != NEVER;
    }

    private static long sessionOf(Command command) {
        if (command instanceof Command.Renew renew) {
            return renew.session();
        } else if (command instanceof Command.Leave leave) {
            return leave.session();
        } else if (command instanceof Command.Acquire acquire) {
            return acquire.session();
        }
        return command instanceof Command.Release release ? release.session() : -1;
    }

    /**
     * The fleet has decided something; may be told late and twice. That a resource has become free is a reason to ask at
     * once; that this session has one which it does not want, the answer having been lost, is one to give it back.
     */
    public List<Event> heard(Decision decision, long now) {
        List<Event> events = time(now);
        if (over || session == 0) {
            return events;
        }
        if (decision instanceof Decision.Free free) {
            askAtOnce(free.resource(), now);
        } else if (decision instanceof Decision.Holds holds && holds.session() == session) {
            Item item = items.get(holds.resource());
            if (item != null && item.wanted && holds.fence() <= forgotten) {
                // It may have been given back and be another's by now: what the log answers is true.
                askAtOnce(holds.resource(), now);
            } else {
                granted(holds.resource(), holds.fence(), now, events);
            }
        } else if (decision instanceof Decision.Went went && went.session() == session) {
            gone(now, events);
        }
        return events;
    }

    private void askAtOnce(String resource, long now) {
        Item item = items.get(resource);
        if (item != null && item.wanted && !item.live && item.owed == 0 && !acquiring(resource)) {
            items.put(resource, new Item(true, item.known, false, item.back, 0, now));
        }
    }
}
