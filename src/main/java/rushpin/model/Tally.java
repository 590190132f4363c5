package rushpin.model;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Settings;

/**
 * Service as the users count it: the worth answered in time over the worth asked for inside the quotas, a client's tries together.
 * Half by the whole run, a quarter by its worst 10 s, a tenth by the worst class, 15 in 100 by the worst plan, less the prices
 * of late failures, waste, calls and crossings.
 */
final class Tally {
    private static final int WINDOW_S = 10;
    private static final double WHOLE = 0.5, WORST = 0.25, CLASS = 0.1, PLAN = 0.15;
    private static final double LATE_FAILS = 0.05, WASTE = 0.03, CROSSING = 0.01, CALLS = 0.02;
    /** A window, class or plan with less of the mean worth than this says nothing. */
    private static final double ENOUGH = 0.1;

    private static final long HIGHEST_US = 120_000_000L;

    /** A customer's quota as the users hold it: what is asked for, and what is sent on, each against its own store. */
    private static final class Account {
        double askStore, sentStore;
        long askedAt, sentAt;

        Account(double full) {
            askStore = full;
            sentStore = full;
        }
    }

    private final Settings settings;
    private final List<String> classNames, planNames;
    private final int seconds, warmSeconds;
    private final double[] asked, earned, classAsked, classEarned, planAsked, planEarned;
    private final double[] sentSeries, okSeries, refusedSeries, failedSeries;
    private final Map<Long, Account> accounts = new HashMap<>();
    private final Histogram served = new Histogram(HIGHEST_US, 3);
    private long asks, ok, refused, failed, none, lateFails, tries, attempts, crossings, beyond;
    private double workAsked, workDone, goodWork;

    Tally(Settings settings, List<String> classNames, List<String> planNames, long span, long warmUp) {
        this.settings = settings;
        this.classNames = classNames;
        this.planNames = planNames;
        seconds = (int) Math.ceil(span / 1e9);
        warmSeconds = (int) (warmUp / 1_000_000_000L);
        asked = new double[seconds];
        earned = new double[seconds];
        sentSeries = new double[seconds];
        okSeries = new double[seconds];
        refusedSeries = new double[seconds];
        failedSeries = new double[seconds];
        classAsked = new double[classNames.size()];
        classEarned = new double[classNames.size()];
        planAsked = new double[planNames.size()];
        planEarned = new double[planNames.size()];
    }

    private Account account(Ask ask) {
        return accounts.computeIfAbsent(
                ask.customer, c -> new Account(settings.plans().get(ask.plan).burst()));
    }

    private double worth(Ask ask) {
        return settings.classes().get(ask.requestClass).worth()
                * settings.plans().get(ask.plan).price()
                * ask.units;
    }

    private int second(Ask ask) {
        return (int) Math.min(seconds - 1, ask.at / 1_000_000_000L);
    }

    /** A client asks for the first time. */
    void asked(Ask ask, long work) {
        Plan plan = settings.plans().get(ask.plan);
        Account account = account(ask);
        account.askStore = Math.min(plan.burst(), account.askStore + plan.rate() * (ask.at - account.askedAt) / 1e9);
        account.askedAt = ask.at;
        ask.inside = plan.rate() <= 0 || account.askStore >= ask.units;
        if (ask.inside) {
            account.askStore -= ask.units;
        }
        if (!ask.counted) {
            return;
        }
        asks++;
        workAsked += work;
        sentSeries[second(ask)]++;
        if (ask.inside) {
            double worth = worth(ask);
            asked[second(ask)] += worth;
            classAsked[ask.requestClass] += worth;
            planAsked[ask.plan] += worth;
        }
    }

    /** A try. */
    void tried(Ask ask) {
        tries += ask.counted ? 1 : 0;
    }

    /** A try is sent on for the first time; whether that is within the customer's quota. */
    boolean sentOn(Ask ask, long now) {
        Plan plan = settings.plans().get(ask.plan);
        Account account = account(ask);
        account.sentStore = Math.min(plan.burst(), account.sentStore + plan.rate() * (now - account.sentAt) / 1e9);
        account.sentAt = now;
        // What was sent beyond the quota took nothing from it.
        boolean within = plan.rate() <= 0 || account.sentStore >= 0;
        if (within) {
            account.sentStore -= ask.units;
        } else if (ask.counted) {
            beyond++;
            earn(ask, -plan.beyondCosts() * worth(ask));
        }
        return within;
    }

    /** An attempt has come to a server. */
    void attempt(Ask ask, boolean crossed) {
        if (ask.counted) {
            attempts++;
            crossings += crossed ? 1 : 0;
        }
    }

    /** Work begun at a server. */
    void worked(Ask ask, long work) {
        workDone += ask.counted ? work : 0;
    }

    private void earn(Ask ask, double worth) {
        earned[second(ask)] += worth;
        classEarned[ask.requestClass] += worth;
        planEarned[ask.plan] += worth;
    }

    /** A client's last try is over. {@code status} is 200, 429, 500 or 0 for none. */
    void over(Ask ask, int status, long now, boolean within) {
        ask.done = true;
        if (!ask.counted) {
            return;
        }
        long took = now - ask.at;
        RequestClass spec = settings.classes().get(ask.requestClass);
        int second = second(ask);
        if (status == 200) {
            ok++;
            okSeries[second]++;
            served.recordValue(Math.min(HIGHEST_US, took / 1_000));
            double part = took <= spec.aim() ? 1 : spec.lateValue();
            double plan = within ? 1 : settings.plans().get(ask.plan).beyondEarns();
            earn(ask, part * plan * worth(ask));
            return;
        }
        refused += status == 429 ? 1 : 0;
        refusedSeries[second] += status == 429 ? 1 : 0;
        failed += status == 500 ? 1 : 0;
        none += status == 0 ? 1 : 0;
        failedSeries[second] += status == 429 ? 0 : 1;
        lateFails += took > spec.aim() ? 1 : 0;
    }

    private static double ratio(double part, double whole) {
        return whole > 0 ? part / whole : 1;
    }

    private double worstWindow() {
        double mean = Arrays.stream(asked).sum()
                / Math.max(1, seconds - warmSeconds)
                * Math.min(WINDOW_S, seconds - warmSeconds);
        double worst = 1;
        for (int from = warmSeconds; from + Math.min(WINDOW_S, seconds - warmSeconds) <= seconds; from++) {
            double a = 0, e = 0;
            for (int i = from; i < Math.min(seconds, from + WINDOW_S); i++) {
                a += asked[i];
                e += earned[i];
            }
            worst = a > ENOUGH * mean ? Math.min(worst, e / a) : worst;
        }
        return worst;
    }

    private static double worst(double[] earned, double[] asked) {
        double sum = Arrays.stream(asked).sum(), worst = 1;
        for (int i = 0; i < asked.length; i++) {
            worst = asked[i] > ENOUGH * sum / asked.length ? Math.min(worst, earned[i] / asked[i]) : worst;
        }
        return worst;
    }

    /** The figures by name, and series by the second. */
    Map<String, Object> result(long calls) {
        if (ok + refused + failed + none != asks) {
            throw new IllegalStateException("an ask without its end: " + this);
        }
        Map<String, Object> to = new TreeMap<>();
        double whole = ratio(Arrays.stream(earned).sum(), Arrays.stream(asked).sum());
        double window = worstWindow();
        double n = Math.max(1, asks);
        double waste = Math.max(0, workDone - goodWork) / Math.max(1, workAsked);
        double price = LATE_FAILS * lateFails / n
                + WASTE * Math.min(1, waste)
                + CROSSING * Math.min(1, crossings / n)
                + CALLS * Math.min(1, calls / Math.max(1.0, tries));
        to.put(
                "service",
                WHOLE * whole
                        + WORST * window
                        + CLASS * worst(classEarned, classAsked)
                        + PLAN * worst(planEarned, planAsked)
                        - price);
        to.put("whole", whole);
        to.put("worst-10s", window);
        for (int i = 0; i < classAsked.length; i++) {
            // Nothing asked for is no service.
            if (classAsked[i] > 0) {
                to.put("class." + classNames.get(i), ratio(classEarned[i], classAsked[i]));
            }
        }
        for (int i = 0; i < planAsked.length; i++) {
            if (planAsked[i] > 0) {
                to.put("plan." + planNames.get(i), ratio(planEarned[i], planAsked[i]));
            }
        }
        to.put("served", ok / n);
        to.put("served-tries", ok / Math.max(1.0, tries));
        to.put("refused", refused / n);
        to.put("failed", (failed + none) / n);
        to.put("beyond", beyond / n);
        to.put("p50-ms", served.getValueAtPercentile(50) / 1e3);
        to.put("p99-ms", served.getValueAtPercentile(99) / 1e3);
        to.put("calls", calls / Math.max(1.0, tries));
        to.put("attempts", attempts / n);
        to.put("waste", waste);
        to.put("asks", (double) asks);
        to.put("series.asked", sentSeries);
        to.put("series.served", okSeries);
        to.put("series.refused", refusedSeries);
        to.put("series.failed", failedSeries);
        to.put("latency-ms", percentiles());
        return to;
    }

    /** Work whose answer reached its client. */
    void good(Ask ask, long work) {
        goodWork += ask.counted ? work : 0;
    }

    private double[] percentiles() {
        double[] at = new double[101];
        for (int i = 0; i < at.length; i++) {
            at[i] = served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(i) / 1e3;
        }
        return at;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%d asked, %d served, %d refused, %d failed, %d unheard", asks, ok, refused, failed, none);
    }
}
