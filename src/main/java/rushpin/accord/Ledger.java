package rushpin.accord;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

/**
 * One group's connections in the machine: what is asked for, what each session may have open at its worst, and what is free.
 * The sum of what is granted only grows out of what is free, whatever is asked for.
 *
 * <p>A change costs as much as there are sessions in it; an entry that changes nothing here, one comparison.
 */
final class Ledger {
    private final String group;
    private final TreeMap<Long, Budget.Share> shares = new TreeMap<>();
    private final TreeMap<Long, Budget.Grant> grants = new TreeMap<>();
    private Budget.Figures figures;
    private long number, fence, at, first, changes;
    private final LongSupplier next;
    private List<String> tenants = List.of();
    /** The least log time at which something that is over counts less; what was told in this entry. */
    private long due = Long.MAX_VALUE;

    private boolean isSettled;
    private final TreeSet<Long> told = new TreeSet<>();

    /**
     * A group that nothing is granted of yet.
     *
     * @param next gives numbers to words; each greater than all before, whatever group they are of
     */
    Ledger(String group, Budget.Figures figures, long first, LongSupplier next) {
        this.group = group;
        this.next = next;
        this.figures = figures;
        this.first = first;
    }

    /**
     * Goes on from a value.
     *
     * @throws IllegalArgumentException if it can be none
     */
    Ledger(Budget from, LongSupplier next) {
        this(from.group(), from.figures(), from.first(), next);
        number = from.number();
        fence = from.fence();
        at = from.at();
        changes = from.changes();
        tenants = from.tenants();
        from.shares().forEach(share -> shares.put(share.session(), share));
        for (Budget.Grant grant : from.grants()) {
            if (grant.most() > grant.granted()
                    || grant.own() > grant.floor()
                    || grant.floor() > grant.granted()
                    || grant.number() > changes
                    || grants.put(grant.session(), grant) != null) {
                throw new IllegalArgumentException("no state: " + grant);
            }
        }
    }

    Budget value() {
        return new Budget(
                group,
                figures,
                number,
                fence,
                at,
                first,
                changes,
                tenants,
                List.copyOf(shares.values()),
                List.copyOf(grants.values()));
    }

    long number() {
        return number;
    }

    /** The operator's figures: two of them never go down, for who was cut off goes by those that it was told. */
    boolean mayBe(Budget.Figures next) {
        return next.isSound() && next.halfOpen() >= figures.halfOpen() && next.forget() >= figures.forget();
    }

    /** Whether it is the same division again, whose answer was lost. */
    boolean isSame(Command.Divide divide) {
        return number == divide.after() + 1
                && fence == divide.fence()
                && figures.equals(divide.figures())
                && tenants.equals(divide.tenants())
                && List.copyOf(shares.values()).equals(divide.shares());
    }

    /** Whether it can be one: in order, each once, not more than there is. */
    static boolean isWhole(Command.Divide divide) {
        Set<String> names = new HashSet<>(divide.tenants());
        if (divide.tenants().size() > Budget.MOST_TENANTS
                || names.size() < divide.tenants().size()
                || !divide.tenants().stream().allMatch(Who::isName)
                || !divide.figures().isSound()) {
            return false;
        }
        long sum = 0, last = 0;
        for (Budget.Share share : divide.shares()) {
            sum += share.connections();
            if (share.session() <= last
                    || share.connections() < 0
                    || share.tenants().size() != divide.tenants().size()
                    || share.tenants().stream().anyMatch(each -> each < 0 || each > Budget.MOST_CONNECTIONS)) {
                return false;
            }
            last = share.session();
        }
        return sum <= Math.max(0, divide.figures().most() - divide.figures().reserve());
    }

    /** Another division; sessions that are over are left out. */
    void divide(Command.Divide divide, long now, LongPredicate live) {
        figures = divide.figures();
        number++;
        fence = divide.fence();
        at = now;
        Set<Long> others = new HashSet<>();
        for (Budget.Share share : divide.shares()) {
            Budget.Share before = shares.get(share.session());
            if (before == null
                    || !divide.tenants().equals(tenants)
                    || !before.tenants().equals(share.tenants())) {
                others.add(share.session());
            }
        }
        shares.clear();
        tenants = divide.tenants();
        for (Budget.Share share : divide.shares()) {
            if (live.test(share.session())) {
                shares.put(share.session(), share);
            }
        }
        for (Budget.Grant grant : List.copyOf(grants.values())) {
            if (grant.isLive()) {
                int target = target(grant.session());
                int most = Math.min(target, grant.granted());
                tell(grant, most, grant.granted(), others.contains(grant.session()) && target > 0);
            }
        }
        isSettled = false;
    }

    private int target(long session) {
        Budget.Share share = shares.get(session);
        return share == null ? 0 : share.connections();
    }

    /** A word, if it is another one than the last. */
    private void tell(Budget.Grant grant, int most, int granted, boolean anew) {
        int own = Math.min(figures.own(), most);
        boolean other = anew || most != grant.most() || own != grant.own();
        if (other) {
            changes = next.getAsLong();
            told.add(grant.session());
        }
        grants.put(
                grant.session(),
                new Budget.Grant(
                        grant.session(),
                        grant.name(),
                        grant.incarnation(),
                        other ? changes : grant.number(),
                        most,
                        own,
                        granted,
                        Math.max(own, grant.floor()),
                        grant.renewed()));
    }

    /** A session has closed down; by any word but the one that counts that changes nothing. */
    void cede(long session, long word, int to) {
        Budget.Grant grant = grants.get(session);
        if (grant == null || grant.number() != word || to < 0) {
            return;
        }
        int granted = Math.min(grant.granted(), to);
        // By this word it goes by no earlier one's own part either.
        Budget.Grant ceded = new Budget.Grant(
                session,
                grant.name(),
                grant.incarnation(),
                word,
                grant.most(),
                grant.own(),
                granted,
                Math.min(grant.own(), granted),
                grant.renewed());
        if (granted < grant.most()) {
            shares.computeIfPresent(session, (any, share) -> new Budget.Share(session, granted, share.tenants()));
            tell(
                    new Budget.Grant(
                            session,
                            grant.name(),
                            grant.incarnation(),
                            word,
                            grant.most(),
                            grant.own(),
                            granted,
                            0,
                            grant.renewed()),
                    granted,
                    granted,
                    false);
        } else {
            grants.put(session, ceded);
        }
        grants.computeIfPresent(session, (any, left) -> left.granted() == 0 ? null : left);
        isSettled = false;
    }

    /** What a session may have open. */
    Allotment word(long session, Terms terms) {
        Budget.Grant grant = grants.get(session);
        long forget = Math.max(terms.lease(), figures.forget());
        if (grant == null) {
            return new Allotment(group, session, changes, 0, 0, 0, forget, figures.halfOpen(), List.of());
        }
        List<Allotment.Quota> quotas = new ArrayList<>();
        Budget.Share share = shares.get(session);
        for (int i = 0; share != null && i < tenants.size(); i++) {
            quotas.add(new Allotment.Quota(tenants.get(i), share.tenants().get(i)));
        }
        return new Allotment(
                group,
                session,
                grant.number(),
                grant.most(),
                grant.own(),
                grant.granted(),
                forget,
                figures.halfOpen(),
                quotas);
    }

    /** Whether nothing is left of it. */
    boolean isEmpty() {
        return shares.isEmpty() && grants.isEmpty();
    }

    /** A session is over; nothing of it is free yet. */
    void over(long session, long renewed) {
        shares.remove(session);
        grants.computeIfPresent(
                session,
                (any, grant) -> new Budget.Grant(
                        session,
                        grant.name(),
                        grant.incarnation(),
                        grant.number(),
                        grant.most(),
                        grant.own(),
                        grant.granted(),
                        grant.floor(),
                        renewed));
        isSettled = false;
    }

    /** The same process, under another session: what it may have open it has under that one. */
    void goesOn(Who who, long session) {
        Budget.Grant grant = null;
        for (Budget.Grant each : grants.values()) {
            if (!each.isLive()
                    && each.incarnation() == who.incarnation()
                    && each.name().equals(who.name())) {
                grant = each;
            }
        }
        if (grant != null) {
            grants.remove(grant.session());
            // No share yet: it closes down to what it keeps when it is cut off, which is all that it has open by then.
            tell(
                    new Budget.Grant(
                            session,
                            grant.name(),
                            grant.incarnation(),
                            0,
                            0,
                            0,
                            grant.granted(),
                            grant.floor(),
                            Budget.Grant.LIVE),
                    grant.floor(),
                    grant.granted(),
                    true);
            shares.put(
                    session,
                    new Budget.Share(
                            session,
                            grant.floor(),
                            tenants.stream().map(each -> 0).toList()));
        }
    }

    /** What time frees, and what is granted of that; the sessions that have another word, in order. */
    List<Allotment> settle(long now, Terms terms, long era, LongFunction<Who> who) {
        if (!isSettled || now >= due) {
            isSettled = true;
            due = Long.MAX_VALUE;
            long waiting =
                    terms.waiting(Math.max(terms.lease(), figures.forget()) + terms.effect() + figures.halfOpen());
            fade(now, terms.waiting(terms.lease() + terms.effect() + figures.halfOpen()), waiting);
            if (era > 1 && now < first + waiting) {
                // What processes may still have open of the era before is not known.
                due = Math.min(due, first + waiting);
            } else {
                grow(who);
            }
        }
        List<Allotment> words = new ArrayList<>(told.size());
        told.forEach(session -> words.add(word(session, terms)));
        told.clear();
        return words;
    }

    private void fade(long now, long beyondOwn, long all) {
        for (Budget.Grant grant : List.copyOf(grants.values())) {
            if (grant.isLive()) {
                continue;
            }
            if (now >= grant.renewed() + all || now >= grant.renewed() + beyondOwn && grant.floor() == 0) {
                grants.remove(grant.session());
                continue;
            }
            boolean isDown = now >= grant.renewed() + beyondOwn;
            if (isDown) {
                grants.put(
                        grant.session(),
                        new Budget.Grant(
                                grant.session(),
                                grant.name(),
                                grant.incarnation(),
                                grant.number(),
                                grant.own(),
                                grant.own(),
                                grant.floor(),
                                grant.floor(),
                                grant.renewed()));
            }
            due = Math.min(due, grant.renewed() + (isDown ? all : beyondOwn));
        }
    }

    /** First what each keeps when it is cut off, then the rest; both in order of session. */
    private void grow(LongFunction<Who> whos) {
        long free = (long) figures.most() - figures.reserve();
        for (Budget.Grant grant : grants.values()) {
            free -= grant.granted();
        }
        for (int round = 0; round < 2; round++) {
            for (Budget.Share share : List.copyOf(shares.values())) {
                Budget.Grant grant = grants.get(share.session());
                int granted = grant == null ? 0 : grant.granted();
                int most = round == 0 ? Math.min(figures.own(), share.connections()) : share.connections();
                int more = (int) Math.max(0, Math.min(free, most - granted));
                if (more > 0) {
                    free -= more;
                    Who who = whos.apply(share.session());
                    tell(
                            grant != null
                                    ? grant
                                    : new Budget.Grant(
                                            share.session(),
                                            who.name(),
                                            who.incarnation(),
                                            0,
                                            0,
                                            0,
                                            0,
                                            0,
                                            Budget.Grant.LIVE),
                            granted + more,
                            granted + more,
                            false);
                }
            }
        }
    }
}
