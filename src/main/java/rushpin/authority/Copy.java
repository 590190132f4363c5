package rushpin.authority;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushpin.authority.Act.Version;
import rushpin.authority.Act.Why;

/**
 * What one process may do with one object: it does not hold it; takes over (everything goes through it to the servers, nothing
 * is answered from a copy) until nobody can send past it any more; holds; hands over. Events and own time in, acts out. No I/O,
 * clock or chance; one thread at a time.
 *
 * <p>Each event comes with {@code held}, the fence under which the process holds the object <em>at this moment</em>
 * ({@code Holding.fence}): it is the look at the lease, the last thing before each answer from the copy and each attempt. Where
 * it is another one than that of the last {@link #gained}, the copy is gone at once, whatever was heard or not heard.
 *
 * <p>What may become the copy, in mode strict: an answer of the servers that was asked for under the fence at hand, after the
 * last moment at which anything unknown here could have an effect, with no order out meanwhile. An order whose outcome is unknown
 * moves that moment. Orders go out one at a time, in order of arrival; each changes the copy before its client hears of it.
 *
 * <p>Look-ups that can't be answered from the copy are put together: one attempt is out at a time, and who comes while it is out
 * waits for the next one, since it may have been served before. When the copy becomes known all are answered from it, and what is
 * out counts no more: its answer could show an order that is out then.
 *
 * <p>Bounds, by {@link Rules}: look-ups that wait, orders that wait, keys remembered; beyond, refused at once.
 *
 * @param <B> a copy's body
 */
public class Copy<B> {
    private static final long NEVER = Long.MAX_VALUE;

    /** What became of an order, as its attempt heard it. */
    public enum Outcome {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    private enum Kept {
        IN_HAND,
        DONE,
        UNKNOWN
    }

    private record Key<B>(Kept kept, B answer, long until) {}

    record Order(long id, String key) {}

    /** An attempt at the servers; {@code spoiled} if it may show an order whose client has not heard of it. */
    record Out(long number, long fence, long begun, boolean spoiled, Order order) {}

    final Rules rules;
    /** Under which it acts, 0 for none, and the last one. */
    private long fence, last;
    /** What is asked of the servers from here on may become the copy; orders are taken from there on. */
    private long clear, ordersFrom;
    /** Whether an order was begun under this fence, and when the copy was asked for, if it is known. */
    private boolean hasBegun, isKnown;

    private B body;
    private long asOf, count, numbers;
    private Out look, send;
    private List<Long> waiting = new ArrayList<>(), next = new ArrayList<>();
    private final ArrayDeque<Order> orders = new ArrayDeque<>();
    private final LinkedHashMap<String, Key<B>> keys = new LinkedHashMap<>();
    /** To whom it is handed over, or null, and since when that is asked for; NEVER for not yet. */
    private String to;

    private long passing = NEVER;
    /** The fence under which it asked for the object to be passed on: nothing is done by it any more. */
    private long stopped;
    /** A gift that came before the word of its grant. */
    private Gift<B> early;

    /** Holds nothing. */
    public Copy(Rules rules) {
        this.rules = rules;
    }

    /** As another one is. */
    Copy(Copy<B> from) {
        rules = from.rules;
        fence = from.fence;
        last = from.last;
        clear = from.clear;
        ordersFrom = from.ordersFrom;
        hasBegun = from.hasBegun;
        isKnown = from.isKnown;
        body = from.body;
        asOf = from.asOf;
        count = from.count;
        numbers = from.numbers;
        look = from.look;
        send = from.send;
        waiting = new ArrayList<>(from.waiting);
        next = new ArrayList<>(from.next);
        orders.addAll(from.orders);
        keys.putAll(from.keys);
        to = from.to;
        passing = from.passing;
        stopped = from.stopped;
        early = from.early;
    }

    /** The process holds the object under a fence. The same one again, after the lease had lapsed, goes on where it was. */
    public List<Act<B>> gained(long under, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (under == 0 || under != held || under == fence || under < last) {
            return acts;
        }
        if (under == stopped && !goesOnAfterItStopped()) {
            acts.add(new Act.GiveBack<>(under));
            return acts;
        }
        if (under != last) {
            clear = now + rules.clearing();
            ordersFrom = now + rules.remember();
            hasBegun = false;
            count = 0;
        }
        fence = under;
        last = under;
        if (early != null && early.fence() == under) {
            accept(early, now, acts);
        }
        early = null;
        return acts;
    }

    /** A client's look-up, or one that another process has passed on to the fence at hand. */
    public List<Act<B>> lookUp(long id, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (fence == 0) {
            acts.add(new Act.Refused<>(id, Why.NOT_HOLDER, rules.lease()));
        } else if (answers(now)) {
            acts.add(new Act.FromCopy<>(id, body, new Version(fence, count)));
        } else if (to != null) {
            acts.add(new Act.Refused<>(id, Why.HANDED_OVER, rules.effect()));
        } else if (waiting.size() + next.size() >= rules.mostTogether()) {
            acts.add(new Act.Refused<>(id, Why.TOO_MANY, rules.effect()));
        } else if (look != null) {
            List<Long> with = joinsWhatIsOut() ? waiting : next;
            with.add(id);
        } else {
            waiting.add(id);
            look(now, acts);
        }
        return acts;
    }

    /** An order under its key. */
    public List<Act<B>> order(long id, String key, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        Key<B> kept = keys.get(key);
        if (fence == 0) {
            acts.add(new Act.Refused<>(id, Why.NOT_HOLDER, rules.lease()));
        } else if (to != null) {
            acts.add(new Act.Refused<>(id, Why.HANDED_OVER, rules.effect()));
        } else if (kept != null) {
            acts.add(kept.kept == Kept.DONE ? new Act.Done<>(id, kept.answer) : new Act.MayHaveRun<>(id));
        } else if (now < ordersFrom) {
            acts.add(new Act.Refused<>(id, Why.KEYS_UNKNOWN, ordersFrom - now));
        } else if (send != null && orders.size() >= rules.mostOrders() || keys.size() >= rules.mostKeys()) {
            acts.add(new Act.Refused<>(id, Why.TOO_MANY, rules.effect()));
        } else {
            keys.put(key, new Key<>(Kept.IN_HAND, null, NEVER));
            orders.add(new Order(id, key));
            begin(now, acts);
        }
        return acts;
    }

    /**
     * The servers have answered a look-up, or where not {@code isOk} it has failed; one that is out for longer than the longest
     * effect counts as that. Of one that is not out, nothing.
     */
    public List<Act<B>> looked(long number, boolean isOk, B answer, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (look != null && look.number == number) {
            looked(isOk, answer, now, acts);
        }
        return acts;
    }

    private void looked(boolean isOk, B answer, long now, List<Act<B>> acts) {
        Out ended = look;
        look = null;
        for (long id : waiting) {
            acts.add(isOk ? new Act.FromServers<>(id, answer) : new Act.Refused<>(id, Why.SERVERS, rules.effect()));
        }
        waiting = next;
        next = new ArrayList<>();
        if (isOk && mayBeKept(ended)) {
            keep(answer, keptAsOf(ended, now), now, acts);
        }
        if (!waiting.isEmpty()) {
            look(now, acts);
        }
        hand(now, acts);
    }

    /**
     * An order's attempt has ended; one that has not within the longest effect counts as unknown, and stays so: it may have been
     * sent late, after a pause, and run when the next holder had asked the servers already.
     *
     * @param after the object after it, null where the servers don't say
     */
    public List<Act<B>> ordered(long number, Outcome outcome, B after, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (send != null && send.number == number) {
            ended(outcome, after, now, acts);
        }
        return acts;
    }

    private void ended(Outcome outcome, B after, long now, List<Act<B>> acts) {
        Out ended = send;
        Order order = ended.order;
        send = null;
        switch (outcome) {
            case NOT_RUN -> {
                keys.remove(order.key);
                acts.add(new Act.Refused<>(order.id, Why.SERVERS, rules.effect()));
            }
            case UNKNOWN -> {
                keys.put(order.key, new Key<>(Kept.UNKNOWN, null, now + rules.remember()));
                isKnown = false;
                clear = Math.max(clear, ended.begun + rules.effect() + 1);
                acts.add(new Act.MayHaveRun<>(order.id));
            }
            default -> {
                keys.put(order.key, new Key<>(Kept.DONE, after, now + rules.remember()));
                isKnown &= passesTheCopy();
                if (after != null && mayBeKept(ended) && !passesTheCopy()) {
                    keep(after, ended.begun, now, acts);
                }
                acts.add(new Act.Done<>(order.id, after));
            }
        }
        begin(now, acts);
        hand(now, acts);
    }

    /** Own time has passed. Looks at the lease need not wait for this. */
    public List<Act<B>> time(long now, long held) {
        List<Act<B>> acts = seen(now, held);
        hand(now, acts);
        return acts;
    }

    /** When {@link #time} has something to do that nothing else would bring about. */
    public long next() {
        long next = Math.min(
                send == null ? NEVER : send.begun + rules.effect() + 1,
                look == null ? NEVER : look.begun + rules.effect() + 1);
        return to == null
                ? next
                : Math.min(next, passing == NEVER ? Math.max(clear, ordersFrom) : passing + rules.effect());
    }

    /** The holder is to be another process. Nothing new is taken, and when nothing is out any more the log is asked. */
    public List<Act<B>> handOver(String other, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (fence != 0 && to == null) {
            to = other;
            refuseOrders(Why.HANDED_OVER, acts);
            hand(now, acts);
        }
        return acts;
    }

    /**
     * The log has passed the object on, by the answer to the ask or by what it told meanwhile. Not asked of the lease: the log
     * says that nobody had it between.
     *
     * @param from the fence it was passed on from
     * @param under the next one's
     */
    public List<Act<B>> passed(long from, long under, long now) {
        List<Act<B>> acts = new ArrayList<>();
        if (fence != 0 && passing != NEVER && from == fence) {
            List<Gift.Key<B>> given = new ArrayList<>();
            forgetKeys(now);
            keys.forEach((key, kept) ->
                    given.add(new Gift.Key<>(key, kept.answer, kept.kept == Kept.DONE, kept.until - now)));
            acts.add(new Act.Give<>(to, new Gift<>(under, handed(), count, given)));
            lose(acts);
            keys.clear();
        }
        return acts;
    }

    /**
     * The log does not pass the object on. Its ask may still be on its way a second time, so nothing is ever done again under
     * this fence.
     */
    public List<Act<B>> notPassed(long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (fence != 0 && passing != NEVER) {
            acts.add(new Act.GiveBack<>(fence));
            lose(acts);
        }
        return acts;
    }

    /** The one before has given its copy; one for another holding counts for nothing, and a late one for its keys alone. */
    public List<Act<B>> given(Gift<B> gift, long now, long held) {
        List<Act<B>> acts = seen(now, held);
        if (gift.fence() > last) {
            early = early != null && early.fence() > gift.fence() ? early : gift;
        } else if (fence != 0 && gift.fence() == fence) {
            accept(gift, now, acts);
        }
        return acts;
    }

    private void accept(Gift<B> gift, long now, List<Act<B>> acts) {
        for (Gift.Key<B> key : gift.keys()) {
            keys.putIfAbsent(
                    key.key(), new Key<>(key.isDone() ? Kept.DONE : Kept.UNKNOWN, key.answer(), now + key.left()));
        }
        ordersFrom = Math.min(ordersFrom, now);
        if (maySkipTheWait()) {
            clear = Math.min(clear, now);
            if (gift.body() != null) {
                keep(gift.body(), now, now, acts);
            }
        }
    }

    /** What is true at this moment, before anything else. */
    private List<Act<B>> seen(long now, long held) {
        List<Act<B>> acts = new ArrayList<>();
        if (fence != 0 && held != fence) {
            lose(acts);
        }
        if (send != null && now > send.begun + rules.effect()) {
            ended(Outcome.UNKNOWN, null, now, acts);
        }
        if (look != null && now > look.begun + rules.effect()) {
            looked(false, null, now, acts);
        }
        forgetKeys(now);
        return acts;
    }

    private void forgetKeys(long now) {
        for (Iterator<Map.Entry<String, Key<B>>> all = keys.entrySet().iterator(); all.hasNext(); ) {
            if (all.next().getValue().until <= now) {
                all.remove();
            }
        }
    }

    /** It holds no more. An order that is out stays out: its client still hears what becomes of it. */
    private void lose(List<Act<B>> acts) {
        fence = 0;
        isKnown = false;
        body = null;
        look = null;
        to = null;
        passing = NEVER;
        for (List<Long> ids : List.of(waiting, next)) {
            ids.forEach(id -> acts.add(new Act.Refused<>(id, Why.NOT_HOLDER, rules.lease())));
        }
        waiting = new ArrayList<>();
        next = new ArrayList<>();
        refuseOrders(Why.NOT_HOLDER, acts);
    }

    private void refuseOrders(Why why, List<Act<B>> acts) {
        for (Order order : orders) {
            keys.remove(order.key);
            acts.add(new Act.Refused<>(order.id, why, rules.lease()));
        }
        orders.clear();
    }

    private void look(long now, List<Act<B>> acts) {
        look = new Out(++numbers, fence, now, send != null, null);
        acts.add(new Act.Look<>(numbers));
    }

    private void begin(long now, List<Act<B>> acts) {
        if (send == null && fence != 0 && !orders.isEmpty()) {
            Order order = orders.poll();
            send = new Out(++numbers, fence, now, false, order);
            hasBegun = true;
            if (look != null) {
                look = new Out(look.number, look.fence, look.begun, true, null);
            }
            acts.add(new Act.Send<>(numbers, order.id));
        }
    }

    private void keep(B copy, long asked, long now, List<Act<B>> acts) {
        isKnown = true;
        body = copy;
        asOf = asked;
        count++;
        if (answers(now)) {
            look = null;
            for (List<Long> ids : List.of(waiting, next)) {
                ids.forEach(id -> acts.add(new Act.FromCopy<>(id, copy, new Version(fence, count))));
            }
            waiting = new ArrayList<>();
            next = new ArrayList<>();
        }
    }

    /** Asks for the object to be passed on once nothing is out and nothing unknown can have an effect; again while unanswered. */
    private void hand(long now, List<Act<B>> acts) {
        if (to != null && fence != 0 && isFinished(now) && (passing == NEVER || now - passing >= rules.effect())) {
            passing = now;
            stopped = fence;
            acts.add(new Act.Pass<>(fence, to));
        }
    }

    /** Whether it would answer from the copy at this moment. */
    boolean answers(long now) {
        return fence != 0 && isKnown && passing == NEVER && (rules.strict() || now < asOf + rules.age());
    }

    // What follows stands by itself so that it can be left out on purpose, to see that it is needed.

    /** Whether the servers' answer is to become the copy. */
    boolean mayBeKept(Out out) {
        return fence != 0 && out.fence == fence && (!rules.strict() || out.begun >= clear && !out.spoiled);
    }

    /** From when on the copy's age is counted. */
    long keptAsOf(Out out, long now) {
        return out.begun;
    }

    /** Whether nobody has changed anything since the gift was made. */
    boolean maySkipTheWait() {
        return !hasBegun;
    }

    /** What of the copy the next holder may have; an age by this process's clock says nothing there. */
    B handed() {
        return rules.strict() && isKnown ? body : null;
    }

    /** Whether an order that has run leaves the copy as it was. */
    boolean passesTheCopy() {
        return false;
    }

    /** Whether the servers' next answer is an answer to a look-up that comes now. */
    boolean joinsWhatIsOut() {
        return false;
    }

    /** Whether word of a grant under which it has stopped counts. */
    boolean goesOnAfterItStopped() {
        return false;
    }

    /** Whether it has stopped: keys are all known, nothing is out. */
    boolean isFinished(long now) {
        return send == null && look == null && now >= clear && now >= ordersFrom;
    }

    /** Whether an attempt at the servers is one of those whose end changes anything. */
    boolean isOut(long number) {
        return look != null && look.number == number || send != null && send.number == number;
    }

    /** The fence under which it acts, 0 for none. */
    long fence() {
        return fence;
    }

    /** The copy, null where it is unknown. */
    B body() {
        return isKnown ? body : null;
    }

    /** All that its future depends on, times as distances: equal for copies with the same future. */
    List<Object> memory(long now) {
        List<Object> memory = new ArrayList<>(List.of(
                fence,
                last,
                stopped,
                Math.max(0, clear - now),
                Math.max(0, ordersFrom - now),
                hasBegun,
                isKnown,
                isKnown ? body : "",
                isKnown && !rules.strict() ? Math.max(-rules.age(), asOf - now) : 0,
                waiting,
                next,
                List.copyOf(orders),
                to == null ? "" : to,
                passing == NEVER ? -1 : Math.min(rules.effect(), now - passing)));
        for (Out out : look == null
                ? send == null ? List.<Out>of() : List.of(send)
                : send == null ? List.of(look) : List.of(look, send)) {
            memory.add(List.of(
                    out.fence,
                    now - out.begun,
                    out.spoiled,
                    out.begun >= clear,
                    out.order == null ? -1 : out.order.id));
        }
        keys.forEach((key, kept) ->
                memory.add(List.of(key, kept.kept.ordinal(), kept.until == NEVER ? NEVER : kept.until - now)));
        memory.add(early == null ? "" : early);
        return memory;
    }
}
