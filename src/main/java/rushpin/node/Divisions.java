package rushpin.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Report;
import rushpin.config.GroupConfig;
import rushpin.pooling.ConnectionAllocator;
import rushpin.pooling.Rules;

/**
 * What the one process that divides connections knows of what is wanted, and the divisions it makes of that: a task of its
 * own, see {@link Hearing}. The log's word is the last: a division that was made from another one than that in force is refused
 * there, and is made anew.
 *
 * <p>Of each process the newest report counts, by session and sequence, for {@value #AGE_S} s. At the bound of processes, which
 * holds whether this process looks or not, one that is not known is not heard until another one's report is too old.
 */
final class Divisions implements AutoCloseable {
    /**
     * What the log says, at the moment of a look.
     *
     * @param session of this process
     * @param fence under which it divides
     * @param sessions the processes that are there, by their numbers
     * @param budgets of groups that are divided already
     * @param groups the operator's
     * @param at log time
     */
    record Look(
            long session,
            long fence,
            Map<Long, String> sessions,
            Map<String, Budget> budgets,
            List<GroupConfig> groups,
            long at) {}

    private record Heard(long session, long sequence, List<Report.Need> needs, long at) {}

    private static final int AGE_S = 5;
    private static final long AGE = TimeUnit.SECONDS.toNanos(AGE_S);
    /** A division stands for so long, and moves so many hundredths of the number at least, unless a floor is owed. */
    private static final long CALM = TimeUnit.SECONDS.toNanos(1);

    private static final int LEAST = 2, HUNDRED = 100;

    private final Consumer<List<Command.Divide>> drafts;
    private final int mostProcesses;
    private final Hearing<Look> hearing;
    /** Needs of each process, by its name. */
    private final Map<String, Heard> heard = new HashMap<>();
    /** Whether there is any. */
    private volatile boolean hears;

    /** Knows nothing; {@code drafts} hears what came of each look, on this task's thread; one a process is heard. */
    Divisions(int mostProcesses, Consumer<List<Command.Divide>> drafts) {
        this.drafts = drafts;
        this.mostProcesses = mostProcesses;
        hearing = new Hearing<>("fleet divider", mostProcesses, this::read, Look.class, this::read);
    }

    /** A report has come, sound or not; any thread. */
    void heard(Report report) {
        // One that takes part no more says so by a report without needs; where nobody does, there is no task.
        if (hears || !report.needs().isEmpty()) {
            hearing.heard(report);
        }
    }

    /** Asks what is to be divided now; any thread. */
    void look(Look at) {
        hearing.look(at);
    }

    private void read(Report report) {
        long now = System.nanoTime();
        Heard known = heard.get(report.process());
        boolean isOld = known != null
                && now - known.at() <= AGE
                && (report.session() < known.session()
                        || report.session() == known.session() && report.sequence() <= known.sequence());
        if (!report.isSound() || isOld) {
            return;
        }
        if (known == null && heard.size() >= mostProcesses) {
            forget(now);
        }
        if (report.needs().isEmpty()) {
            heard.remove(report.process());
        } else if (known != null || heard.size() < mostProcesses) {
            heard.put(report.process(), new Heard(report.session(), report.sequence(), report.needs(), now));
        }
        hears = !heard.isEmpty();
    }

    private void forget(long now) {
        heard.values().removeIf(each -> now - each.at() > AGE);
    }

    private void read(Look look) {
        heard.keySet().retainAll(look.sessions().values());
        forget(System.nanoTime());
        hears = !heard.isEmpty();
        List<Command.Divide> all = new ArrayList<>();
        look.groups().forEach(group -> next(look, group).ifPresent(all::add));
        drafts.accept(all);
    }

    private Optional<Command.Divide> next(Look look, GroupConfig group) {
        Optional<Budget> inForce = Optional.ofNullable(look.budgets().get(group.name()));
        // Two of the figures never go down: whoever is cut off goes by those that it was told.
        // When a lease ends a connection carries its request to the end, and then is closed.
        long halfOpen = Math.max(
                group.halfOpen() + group.longest(),
                inForce.map(each -> each.figures().halfOpen()).orElse(0L));
        long forget = Math.max(
                group.forget(), inForce.map(each -> each.figures().forget()).orElse(0L));
        Budget.Figures figures =
                new Budget.Figures(group.maxConnections(), group.reserve(), group.own(), halfOpen, forget);
        List<Rules.Tenant> tenants = group.tenants().stream()
                .map(tenant -> new Rules.Tenant(tenant.name(), tenant.floor(), tenant.weight(), tenant.cap()))
                .sorted(Comparator.comparing(Rules.Tenant::name))
                .toList();
        Map<Long, List<Report.Need>> told = new TreeMap<>();
        for (Heard each : heard.values()) {
            List<Report.Need> own = each.needs().stream()
                    .filter(need -> need.group().equals(group.name()))
                    .toList();
            if (!own.isEmpty()) {
                told.put(
                        each.session(),
                        own.stream().filter(need -> !need.tenant().isEmpty()).toList());
            }
        }
        Rules rules = new Rules(figures, tenants, Math.max(1, group.maxConnections() * LEAST / HUNDRED), CALM);
        return ConnectionAllocator.next(
                        inForce,
                        ConnectionAllocator.Demand.of(look.sessions().keySet(), inForce, told),
                        rules,
                        look.at())
                .map(draft -> new Command.Divide(
                        look.session(),
                        look.fence(),
                        draft.after(),
                        group.name(),
                        figures,
                        draft.tenants(),
                        draft.shares()));
    }

    @Override
    public void close() {
        hearing.close();
    }
}
