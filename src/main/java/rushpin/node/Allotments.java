package rushpin.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Holding;
import rushpin.accord.Report;
import rushpin.pooling.ConnectionGrant;
import rushpin.pooling.GrantState;

/**
 * What this process may have open to groups of app servers, and what the fleet is told of it; on the thread of what is
 * shared. A group is there from its pool's first account on; there are as many as the operator's file has.
 */
final class Allotments {
    /** One group. */
    private static final class Of {
        private GrantState allowance;
        private GroupSide.Numbered told;
        private GroupSide.Account last;
        private final Map<String, Report.Need> needs = new TreeMap<>();
    }

    private final Consumer<GroupSide.Numbered> permits;
    private final Map<String, Of> groups = new TreeMap<>();
    private boolean isLeaving;

    /** {@code permits} hears each one that differs from the one before. */
    Allotments(Consumer<GroupSide.Numbered> permits) {
        this.permits = permits;
    }

    /** A pool tells what it has. */
    void has(GroupSide.Account account, Holding holding) {
        Of of = groups.get(account.group());
        if (of == null) {
            of = new Of();
            of.allowance = isLeaving ? GrantState.none(account.group()).leaving() : GrantState.none(account.group());
            of.told = new GroupSide.Numbered(account.group(), 0, ConnectionGrant.NONE);
            groups.put(account.group(), of);
            renewed(holding);
        }
        of.last = account;
        Of to = of;
        account.uses()
                .forEach((tenant, use) -> to.needs.merge(
                        tenant,
                        new Report.Need(account.group(), tenant, use.wanted(), use.used()),
                        (one, other) -> new Report.Need(
                                one.group(),
                                one.tenant(),
                                Math.max(one.wanted(), other.wanted()),
                                Math.max(one.used(), other.used()))));
    }

    /** The session goes on, or there is a new one. */
    void renewed(Holding holding) {
        if (holding.session() != 0 && !groups.isEmpty()) {
            long asked = holding.until() - holding.terms().lease();
            groups.values().forEach(of -> turn(of, of.allowance.renewed(holding.session(), asked, holding.terms())));
        }
    }

    /** The fleet's word, told or answered. */
    void told(Allotment word) {
        Of of = groups.get(word.group());
        if (of != null) {
            turn(of, of.allowance.notified(word));
        }
    }

    /** Nothing is opened any more: what is open is closed, and given back. */
    void leave() {
        isLeaving = true;
        groups.values().forEach(of -> turn(of, of.allowance.leaving()));
    }

    /** Whether nothing is granted, by the fleet's last words. */
    boolean isBack() {
        return groups.values().stream().allMatch(of -> of.allowance.isReleased());
    }

    private void turn(Of of, GrantState next) {
        of.allowance = next;
        ConnectionGrant permit = next.grant();
        if (!permit.equals(of.told.permit())) {
            of.told = new GroupSide.Numbered(next.group(), of.told.number() + 1, permit);
            permits.accept(of.told);
        }
    }

    /** What is to be said to the fleet now. */
    List<Command.Cede> due(long now) {
        List<Command.Cede> all = new ArrayList<>();
        for (Of of : groups.values()) {
            // What a pool had open before it took the permit says nothing of what it may have opened since.
            boolean isNew = of.last.number() == of.told.number();
            of.allowance.due(isNew ? of.last.open() : Integer.MAX_VALUE, now).ifPresent(all::add);
        }
        return all;
    }

    /** That was sent. */
    void said(Command.Cede cede, long now) {
        Of of = groups.get(cede.group());
        of.allowance = of.allowance.sent(cede, now);
    }

    /** Whether there is any group: then somebody looks in now and then. */
    boolean isEmpty() {
        return groups.isEmpty();
    }

    /** What pools wanted since this was asked last, and of each group that this process takes part; nothing of one that leaves. */
    List<Report.Need> needs() {
        List<Report.Need> all = new ArrayList<>();
        if (isLeaving) {
            return all;
        }
        groups.forEach((group, of) -> {
            all.add(new Report.Need(group, "", 0, 0));
            of.needs.values().stream()
                    .limit(Report.MOST_NEEDS / Math.max(1, groups.size()) - 1)
                    .forEach(all::add);
            of.needs.clear();
        });
        return all;
    }
}
