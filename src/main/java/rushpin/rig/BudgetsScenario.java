package rushpin.rig;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import rushpin.judge.Accords;
import rushpin.judge.Connections;
import rushpin.judge.Judge;
import rushpin.rig.BudgetSide.Tenant;
import rushpin.rig.Links.Way;
import rushpin.rig.TogetherFleet.Member;

/**
 * Five or six processes that share what a group of app servers takes, three tenants with skewed demand, a flood by one of
 * them; a process killed, one stopped for longer than its lease, one cut off, the number lowered. What was open is judged at
 * the servers.
 */
final class BudgetsScenario implements Scenario {
    private static final int MOST = 22, LOWERED = 12, RESERVE = 2;
    private static final String QUIET = "quiet", BULK = "bulk", SPOT = "spot";
    private static final List<Tenant> TENANTS =
            List.of(new Tenant(QUIET, 3, 1), new Tenant(BULK, 3, 2), new Tenant(SPOT, 0, 1));
    /** Requests a second at a process: one takes a third of a second of a connection. */
    private static final double FLOOD = 16, SOME = 2, FEW = 1;
    /** As short as the sessions bear, so that the waits for what is dead are. */
    private static final BudgetSide.Spans SHORT = new BudgetSide.Spans(2_000, 500, 2_000),
            LONG = new BudgetSide.Spans(BudgetSide.LEASE_MS, 500, BudgetSide.LEASE_MS);
    /** How much longer than its lease a process is stopped. */
    private static final long MORE_MS = 500, SHORT_SPAN_MS = 1_000, LONG_SPAN_MS = 15_000;

    @Override
    public String name() {
        return "budgets";
    }

    @Override
    public String line() {
        return "a group's connections divided: skewed demand, a flood, processes killed, stopped and cut off, the number lowered";
    }

    @Override
    public Report play(Options options) throws Exception {
        Report report = new Report(name(), options.seed());
        report.row(
                "what",
                "s",
                "most open",
                "of",
                "in use",
                "even part",
                "below exact",
                "quiet waits, ms",
                "handshakes",
                "requests",
                "s until",
                "at s");
        try (BudgetSide side = new BudgetSide(
                options.isShort() ? 5 : 6, MOST, RESERVE, options.isShort() ? SHORT : LONG, TENANTS, options.seed())) {
            Play play = new Play(options, report, side);
            play.run();
            side.end();
            report.claims("", Connections.Rule.values(), side.judged());
            report.claims("", Accords.Rule.values(), side.accords());
            report.add(side.rules().stream()
                    .filter(breach -> breach.rule() != Judge.Rule.COLD_NOT_PUSHED_OVER)
                    .toList());
        }
        return report;
    }

    /** One play of the script. */
    private static final class Play {
        private final Report report;
        private final BudgetSide side;
        private final List<Member> all;
        private final long span, began = System.nanoTime();
        private final boolean isShort;
        private String doing = "";

        Play(Options options, Report report, BudgetSide side) {
            this.report = report;
            this.side = side;
            all = side.fleet.members;
            isShort = options.isShort();
            span = isShort ? SHORT_SPAN_MS : LONG_SPAN_MS;
        }

        void run() throws Exception {
            try {
                doing = "start";
                side.begin();
                skewed();
                flood();
                deadCutAndStopped();
                lowered();
            } catch (TimeoutException e) {
                report.claim(doing + ": " + e.getMessage(), false);
            }
        }

        private void row(String what, long from, int of, String again) {
            long now = System.nanoTime();
            Map<String, Double> use = side.use(from, now);
            long[] waits = side.waits(QUIET, from, now);
            report.row(
                    what,
                    tenths((now - from) / 1e9),
                    Connections.most(side.door.opens(), from, now),
                    of,
                    tenths(use.values().stream().mapToDouble(each -> each).sum()),
                    tenths((double) side.divided() / all.size()),
                    tenths(side.below(use)),
                    waits.length == 0
                            ? "-"
                            : waits[waits.length / 2] / BudgetSide.MS + " p99 "
                                    + waits[waits.length * 99 / 100] / BudgetSide.MS,
                    side.door.opens().stream()
                            .filter(open -> open.from() >= from && open.from() < now)
                            .count(),
                    side.yard.records.attempts().stream()
                            .filter(one -> one.first() >= from && one.first() < now)
                            .count(),
                    again,
                    tenths((now - began) / 1e9));
        }

        private static String tenths(double of) {
            return String.format(Locale.ROOT, "%.1f", of);
        }

        /** One process has nearly all of the demand; the others look in. */
        private void skewed() throws Exception {
            doing = "skewed demand";
            side.load(BULK, SOME / 2);
            Member loud = all.get(all.size() - 1);
            side.load(BULK, loud, 3 * FLOOD);
            side.await(
                    "the loud one's part is above an even one",
                    () -> side.permit(loud).most() > side.divided() / all.size());
            side.awaitOpen(side.divided() * 2 / 3);
            long from = System.nanoTime();
            BudgetSide.pass(span);
            row("skewed demand", from, MOST, "-");
            side.load(BULK, SOME);
        }

        /**
         * One tenant asks everywhere for more than there is beside a quiet one; then all do, and those with floors have them,
         * which takes longer than the short form has.
         */
        private void flood() throws Exception {
            doing = "flood";
            side.load(SPOT, FLOOD);
            side.load(QUIET, FEW);
            side.awaitOpen(side.divided() - 2);
            long from = System.nanoTime();
            side.load(BULK, FLOOD / 2);
            BudgetSide.pass(span);
            row("flood by one tenant", from, MOST, "-");
            if (isShort) {
                return;
            }
            from = System.nanoTime();
            side.load(QUIET, FLOOD / 2);
            side.asksForMore(QUIET);
            side.asksForMore(BULK);
            BudgetSide.pass(span);
            row("flood by all", from, MOST, "-");
        }

        /**
         * A process dies under load, one is cut off from all, and another is stopped for longer than its lease: what the dead
         * one had is in use again, a new one in its place, and those that wake and are let back have their parts again.
         */
        private void deadCutAndStopped() throws Exception {
            doing = "killed, cut off, stopped";
            side.askedEnough();
            Member dies = all.get(3), cut = all.get(all.size() - 1);
            // Who wakes within the fleet's wait gives the planner's part back itself, which is another rig's matter.
            Member stopped = all.stream()
                    .filter(member ->
                            member != cut && member != dies && side.fleet.holds(member, BudgetSide.PLANNER) == null)
                    .findFirst()
                    .orElseThrow();
            List<Member> out = List.of(dies, cut, stopped);
            long from = System.nanoTime();
            out.forEach(member -> side.away(member, true));
            dies.kill();
            side.apart(cut, Way.SILENT, Way.SILENT);
            long stoppedAt = stopped.stop();
            TimeUnit.MILLISECONDS.sleep(side.spans.lease() + MORE_MS);
            stopped.wake(stoppedAt);
            side.apart(cut, Way.THROUGH, Way.THROUGH);
            side.away(stopped, false);
            side.away(cut, false);
            List<Member> rest = all.stream().filter(member -> member != dies).toList();
            side.await("the rest is back", () -> rest.stream().allMatch(side.fleet::isConnected));
            // A new process under its name has nothing of what the dead one may still have open. It starts when those
            // who were
            // away have had time for what they had in hand.
            dies.start();
            side.away(dies, false);
            side.trouble(from);
            side.await("the dead one's part is given again", () -> side.parts(all) >= side.divided() - 1);
            long open = side.awaitOpen(side.divided() - 2);
            row(doing, from, MOST, tenths((open - from) / 1e9));
        }

        /** The operator lowers the number. */
        private void lowered() throws Exception {
            doing = "number lowered";
            long from = System.nanoTime();
            side.number(LOWERED);
            side.await("all keep to it", () -> side.parts(all) <= side.divided() && side.door.open() <= side.divided());
            side.settled();
            long kept = System.nanoTime();
            BudgetSide.pass(span);
            row("number lowered", kept, LOWERED, tenths((kept - from) / 1e9));
        }
    }
}
