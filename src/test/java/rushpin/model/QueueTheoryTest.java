package rushpin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Rules;

/**
 * The model's servers against the closed forms. Independent seeds are the unit; the form has to lie within the interval at 99.9% of
 * their means. All is drawn from fixed seeds, so the verdict is the same every time.
 */
class QueueTheoryTest {
    private static final double MS = 1e6, S = 1e9;
    private static final Rules RULES = new Rules(0, 0.25, (long) (10 * S), 3, (long) (2 * S));
    private static final int SEEDS = 24;

    /** What was seen of a server under Poisson arrivals: mean span in ms, part turned away, mean number present. */
    private record Seen(double sojourn, double turnedAway, double present, double served) {}

    private static Seen play(double perSecond, Work work, int cores, int line, double seconds, long seed) {
        Timeline time = new Timeline();
        Station station = new Station("s", 0, 0, time, RULES, cores, line, true, () -> {});
        SplittableRandom random = new SplittableRandom(seed);
        SummaryStatistics spans = new SummaryStatistics();
        int[] counts = new int[2];
        double warm = seconds / 5;
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            long came = time.now();
            station.arrive(new Station.Visit(work.nanos(random.nextDouble()), random.nextDouble()) {
                @Override
                void ends(Outcome outcome) {
                    if (came > warm * S) {
                        counts[outcome == Outcome.OK ? 0 : 1]++;
                        if (outcome == Outcome.OK) {
                            spans.addValue((time.now() - came) / MS);
                        }
                    }
                }
            });
            time.after((long) (-Math.log(1 - random.nextDouble()) / perSecond * S), next[0]);
        };
        next[0].run();
        time.run((long) (warm * S));
        double before = station.little()[0];
        time.run((long) (seconds * S));
        double[] little = station.little();
        assertEquals(little[0], little[1], 1e-6 * little[0] + 1e-9, "Little's law, seed " + seed);
        return new Seen(
                spans.getMean(),
                counts[1] / Math.max(1.0, counts[0] + counts[1]),
                (little[0] - before) / (seconds - warm),
                counts[0] / (seconds - warm));
    }

    private static void holds(String what, double theory, java.util.function.LongToDoubleFunction seen) {
        SummaryStatistics of = new SummaryStatistics();
        for (long seed = 1; seed <= SEEDS; seed++) {
            of.addValue(seen.applyAsDouble(seed));
        }
        double half = new TDistribution(null, SEEDS - 1).inverseCumulativeProbability(0.9995)
                * of.getStandardDeviation()
                / Math.sqrt(SEEDS);
        assertTrue(
                Math.abs(of.getMean() - theory) <= half,
                what + ": theory " + theory + ", seen " + of.getMean() + " +- " + half);
        assertTrue(half < 0.12 * theory, what + ": " + half + " is too wide to say anything of " + theory);
    }

    @Test
    void oneServerOfExponentialWork() {
        // M/M/1: W = 1 / (mu - lambda) = 1 / (100 - 70).
        Work work = Work.of("exponential 10");
        holds(
                "M/M/1 span",
                1e3 / 30,
                seed -> play(70, work, 1, 1_000_000, 400, seed).sojourn());
        holds(
                "M/M/1 present",
                0.7 / 0.3,
                seed -> play(70, work, 1, 1_000_000, 400, seed).present());
    }

    @Test
    void fourServersOfExponentialWork() {
        // M/M/c by Erlang's C: c = 4, a = 3.2.
        double a = 3.2, sum = 0, term = 1;
        for (int k = 0; k < 4; k++) {
            sum += term;
            term *= a / (k + 1);
        }
        double c = term / (1 - a / 4) / (sum + term / (1 - a / 4));
        holds(
                "M/M/4 span",
                10 + c * 10 / (4 - a),
                seed -> play(320, Work.of("exponential 10"), 4, 1_000_000, 200, seed)
                        .sojourn());
    }

    @Test
    void oneServerOfAnyWork() {
        // Pollaczek and Khinchine: W = E[S] + lambda E[S^2] / 2 (1 - rho); uniform from 4 to 16 ms, E[S^2] = 112.
        holds(
                "M/G/1 span",
                10 + 0.07 * 112 / (2 * 0.3),
                seed -> play(70, Work.of("uniform 4 16"), 1, 1_000_000, 300, seed)
                        .sojourn());
    }

    @Test
    void moreThanCanBeServedIsTurnedAwayAtTheRate() {
        // M/M/1/K with K = 11: of twice the load nearly half is turned away.
        double rho = 2, blocked = (1 - rho) * Math.pow(rho, 11) / (1 - Math.pow(rho, 12));
        holds(
                "M/M/1/11 turned away",
                blocked,
                seed -> play(200, Work.of("exponential 10"), 1, 10, 100, seed).turnedAway());
        holds(
                "overloaded, served a second",
                100,
                seed -> play(300, Work.of("exponential 10"), 1, 50, 100, seed).served());
    }

    @Test
    void aPauseDoesNoWorkAndLosesNone() {
        Timeline time = new Timeline();
        Station station = new Station("s", 0, 0, time, RULES, 1, 10, true, () -> {});
        long[] ended = new long[2];
        for (int i = 0; i < 2; i++) {
            int mine = i;
            station.arrive(new Station.Visit((long) (100 * MS), 1) {
                @Override
                void ends(Outcome outcome) {
                    ended[mine] = time.now();
                }
            });
        }
        time.at((long) (40 * MS), () -> station.pause((long) (540 * MS)));
        time.run((long) (2 * S));
        assertEquals(600 * MS, ended[0]);
        assertEquals(700 * MS, ended[1]);
        assertEquals(0.7, station.busy(), 1e-9);
    }

    @Test
    void workThatIsCalledOffFreesItsCoreOnlyWhereItCan() {
        for (boolean stops : new boolean[] {true, false}) {
            Timeline time = new Timeline();
            Station station = new Station("s", 0, 0, time, RULES, 1, 10, stops, () -> {});
            Station.Visit first = new Station.Visit((long) (100 * MS), 1);
            long[] ended = new long[1];
            station.arrive(first);
            station.arrive(new Station.Visit((long) (100 * MS), 1) {
                @Override
                void ends(Outcome outcome) {
                    ended[0] = time.now();
                }
            });
            time.at((long) (30 * MS), () -> station.cancel(first));
            time.run((long) S);
            assertEquals((stops ? 130 : 200) * MS, ended[0]);
            assertEquals(stops ? 0.13 : 0.2, station.busy(), 1e-9, "work conserved");
        }
    }

    @Test
    void aColdServerIsSlowAndFallsWhenItIsSentTooMuch() {
        Timeline time = new Timeline();
        int[] falls = new int[1];
        Station station = new Station("s", 0, 0, time, RULES, 4, 1_000, true, () -> falls[0]++);
        time.run((long) S);
        station.start();
        long[] ended = new long[1];
        station.arrive(new Station.Visit((long) (10 * MS), 1) {
            @Override
            void ends(Outcome outcome) {
                ended[0] = time.now();
            }
        });
        time.run((long) (2 * S));
        assertEquals(1_040 * MS, ended[0], 1 * MS);
        for (int i = 0; i < 1_000; i++) {
            station.arrive(new Station.Visit((long) (1_000 * MS), 1));
        }
        time.run((long) (10 * S));
        assertEquals(1, falls[0]);
        assertTrue(!station.isUp());
    }

    @Test
    void noEventBeforeItsCauseAndNoneGoesRound() {
        Timeline time = new Timeline();
        time.run(100);
        assertThrows(IllegalStateException.class, () -> time.at(99, () -> {}));
        Runnable[] round = new Runnable[1];
        round[0] = () -> time.after(0, round[0]);
        round[0].run();
        assertTrue(assertThrows(IllegalStateException.class, () -> time.run(200))
                .getMessage()
                .contains("goes round"));
    }
}
