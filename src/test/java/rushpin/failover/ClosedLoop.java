package rushpin.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import rushpin.accord.Evidence;
import rushpin.accord.Plan;
import rushpin.accord.Report;

/**
 * A fleet as flows, in quarters of a second: what is sent loads servers, what they can't take fails, and whoever decides
 * sees only what came of its own attempts. Servers that start are cold and warm up in 30 s; one that gets more than 1.2 times
 * what it can take for two seconds while cold is pushed over and starts again. All choices have the same retries (a fifth
 * of what enters, once, elsewhere) and the same care of cold servers: a process sends them no more than its part of what
 * they can take, by its count of the processes of one zone, as it knows of no others; the rest it sheds.
 */
final class ClosedLoop {
    enum Choice {
        PLAN,
        ALONE,
        SPILL
    }

    /** What is wrong with zones at a moment. */
    interface Fault {
        /** Whether the servers of a zone are up. */
        default boolean isUp(int zone, double second) {
            return true;
        }

        /** What is left of the speed of its servers. */
        default double speed(int zone, double second) {
            return 1;
        }

        /** Whether one zone's processes reach another's servers. */
        default boolean reaches(int from, int to, double second) {
            return true;
        }
    }

    /** From the fault to a minute after its end. */
    record Result(Choice choice, double served, double near, int pushedOver, double secondsToPlan, int moves) {
        double loss() {
            return 1 - served;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%-5s served %.4f near %.3f pushed over %d plan after %.2f s moves %d",
                    choice,
                    served,
                    near,
                    pushedOver,
                    secondsToPlan,
                    moves);
        }
    }

    private static final int PROCESSES = 8, SERVERS = 10, QUARTERS = 4;
    private static final double RATE = 100, BEGINS = 120, DT = 1.0 / QUARTERS;
    private static final long SECOND = 1_000_000_000L;

    private final Geography geography;
    private final List<String> zones;
    private final int many;
    private final Choice choice;
    private final Fault fault;
    private final Random random;
    private final double bears;
    private final double[] warm, over;
    private final int[] down;
    private final double[][] parts, seenOk, retries;
    private final double[][][] counts;
    private final boolean[][] fled;
    private final int[][] wrongs;
    private final Evidence evidence = new Evidence(1_000, 5 * SECOND, 2, 5);
    private final Learned learned = new Learned();
    private final Limits limits;
    private Plan plan = Plan.NONE, coming;
    private double comesAt, planned = -1;
    private int moves, pushedOver;
    private double asked, served, near, sent;

    ClosedLoop(Choice choice, int regions, int zonesEach, double use, Limits limits, Fault fault, long seed) {
        this.choice = choice;
        this.fault = fault;
        this.limits = limits;
        random = new Random(seed);
        List<Geography.Region> all = new ArrayList<>();
        for (int r = 0; r < regions; r++) {
            List<String> names = new ArrayList<>();
            for (int z = 0; z < zonesEach; z++) {
                names.add("r" + r + "z" + z);
            }
            all.add(new Geography.Region("r" + r, names));
        }
        geography = new Geography(all);
        zones = geography.zones();
        many = zones.size();
        bears = PROCESSES * RATE / SERVERS / use;
        warm = new double[many];
        Arrays.fill(warm, 1);
        over = new double[many];
        down = new int[many];
        parts = new double[many * PROCESSES][many];
        seenOk = new double[many * PROCESSES][many];
        retries = new double[many * PROCESSES][many];
        counts = new double[many * PROCESSES][many][4];
        fled = new boolean[many * PROCESSES][many];
        wrongs = new int[many * PROCESSES][many];
        for (int p = 0; p < parts.length; p++) {
            parts[p][p / PROCESSES] = 1;
            Arrays.fill(seenOk[p], 1);
        }
    }

    /** Plays until a minute after the fault's end. */
    Result play(double faultSeconds) {
        double end = BEGINS + faultSeconds + 60;
        for (int q = 0; q / (double) QUARTERS < end; q++) {
            double second = q / (double) QUARTERS;
            flow(second);
            if (q % QUARTERS == QUARTERS - 1) {
                decide(q / QUARTERS + 1);
            }
            if (coming != null && second >= comesAt) {
                plan = coming;
                coming = null;
                divide();
                if (second >= BEGINS && planned < 0) {
                    planned = second - BEGINS;
                }
            }
        }
        return new Result(choice, served / asked, near / sent, pushedOver, planned, moves);
    }

    private double sent(int p, int z) {
        double all = RATE * parts[p][z] + retries[p][z];
        return warm[z] < 1 && down[z] == 0 ? Math.min(all, 1.1 * SERVERS * bears * warm[z] / PROCESSES) : all;
    }

    private double can(int zone) {
        return down[zone] > 0 ? 0 : SERVERS * bears * warm[zone];
    }

    private void flow(double second) {
        boolean counted = second >= BEGINS;
        double[] load = new double[many], good = new double[many], slow = new double[many];
        for (int p = 0; p < parts.length; p++) {
            for (int z = 0; z < many; z++) {
                if (fault.reaches(p / PROCESSES, z, second)) {
                    load[z] += sent(p, z);
                }
            }
        }
        for (int z = 0; z < many; z++) {
            boolean up = fault.isUp(z, second);
            if (!up) {
                warm[z] = 0.1;
                down[z] = 0;
            }
            double can = up ? can(z) * fault.speed(z, second) : 0, reach = Math.min(load[z], 2 * can);
            good[z] = load[z] == 0 ? 1 : (reach <= can ? reach : can * can / reach) / load[z];
            slow[z] = load[z] > can || fault.speed(z, second) < 0.5 ? 1 : 0;
            servers(z, up, can, load[z], counted);
        }
        for (int p = 0; p < parts.length; p++) {
            int home = p / PROCESSES;
            double failed = 0;
            double[] next = new double[many];
            for (int z = 0; z < many; z++) {
                double rate = RATE * parts[p][z], all = sent(p, z);
                double part = fault.reaches(home, z, second) ? good[z] : 0;
                count(p, z, all * DT, part, slow[z]);
                failed += Math.max(0, rate - all) + Math.min(all, rate) * (1 - part);
                if (counted) {
                    served += all * part * DT;
                    near += z == home ? rate * DT : 0;
                    sent += rate * DT;
                }
            }
            asked += counted ? RATE * DT : 0;
            // Once, elsewhere than where most failed, and within a fifth of what enters.
            double again = Math.min(failed, RATE / 5), sum = 0;
            for (int z = 0; z < many; z++) {
                next[z] = parts[p][z] * (fault.reaches(home, z, second) ? good[z] : 0) + (z == home ? 0 : 1e-6);
                sum += next[z];
            }
            for (int z = 0; z < many; z++) {
                retries[p][z] = again * next[z] / sum;
            }
        }
    }

    private void servers(int z, boolean up, double can, double load, boolean counted) {
        if (down[z] > 0) {
            down[z]--;
            return;
        }
        if (!up) {
            return;
        }
        boolean tooMuch = warm[z] < 1 && load > 1.2 * can;
        over[z] = tooMuch ? over[z] + DT : 0;
        if (over[z] >= 2) {
            pushedOver += counted ? SERVERS : 0;
            warm[z] = 0.1;
            over[z] = 0;
            down[z] = 5 * QUARTERS;
        } else if (!tooMuch) {
            warm[z] = Math.min(1, warm[z] + DT / 30);
        }
    }

    private void count(int p, int z, double attempts, double part, double slow) {
        counts[p][z][0] += attempts;
        counts[p][z][1] += attempts * part;
        counts[p][z][2] += attempts * slow * part;
    }

    private void decide(int second) {
        long now = second * SECOND;
        for (int p = 0; p < parts.length; p++) {
            List<Report.Seen> seen = new ArrayList<>();
            for (int z = 0; z < many; z++) {
                double[] count = counts[p][z];
                // Whole requests; what is left over counts with the next ones.
                long all = (long) (count[0] + random.nextDouble());
                long ok = Math.min(all, Math.round(count[1] / count[0] * all));
                if (count[0] > 0 && all > 0) {
                    double part = count[1] / count[0];
                    seenOk[p][z] = (seenOk[p][z] + part) / 2;
                    wrongs[p][z] = part < 0.5 ? Math.max(1, wrongs[p][z] + 1) : Math.min(-1, wrongs[p][z] - 1);
                    seen.add(new Report.Seen(
                            zones.get(z),
                            "",
                            all,
                            ok,
                            all - ok,
                            Math.min(ok, Math.round(count[2] / count[0] * all)),
                            0));
                }
                Arrays.fill(count, 0);
            }
            if (choice == Choice.PLAN) {
                List<Report.Stock> stocks = new ArrayList<>();
                for (int z = 0; z < many; z++) {
                    stocks.add(new Report.Stock(zones.get(z), SERVERS, Math.round(SERVERS * warm[z] * 1_000)));
                }
                evidence.report(
                        new Report(
                                1,
                                second,
                                "p" + p,
                                zones.get(p / PROCESSES),
                                SECOND,
                                0,
                                seen,
                                stocks,
                                List.of(new Report.Entered("", (long) RATE))),
                        now);
            } else if (choice == Choice.ALONE) {
                alone(p);
            } else {
                spill(p);
            }
        }
        if (choice == Choice.PLAN && coming == null) {
            Sight sight = learned.sight(evidence.picture(now), limits, now);
            Planner.next(plan, sight, geography, limits, now).ifPresent(draft -> {
                coming = new Plan(plan.number() + 1, 1, draft.ways(), draft.marks());
                comesAt = second + 0.25;
                moves += second >= BEGINS ? 1 : 0;
            });
        }
    }

    private void divide() {
        for (int p = 0; p < parts.length; p++) {
            for (int z = 0; z < many; z++) {
                parts[p][z] = Fallback.part(plan, zones.get(p / PROCESSES), "", zones.get(z)) / 1_000.0;
            }
        }
    }

    /** Flees what fails by its own sight, to the nearest that doesn't, and looks at what it fled. */
    private void alone(int p) {
        int home = p / PROCESSES;
        for (int z = 0; z < many; z++) {
            fled[p][z] = fled[p][z] ? seenOk[p][z] < 0.9 : seenOk[p][z] < 0.7;
        }
        double[] next = new double[many];
        List<List<String>> levels = new ArrayList<>(List.of(List.of(zones.get(home))));
        levels.addAll(geography.levels(zones.get(home)));
        for (List<String> level : levels) {
            List<Integer> open =
                    level.stream().map(zones::indexOf).filter(z -> !fled[p][z]).toList();
            if (!open.isEmpty()) {
                open.forEach(z -> next[z] = 1.0 / open.size());
                break;
            }
        }
        set(p, next);
    }

    /** Health by three wrong seconds, or two right ones. */
    private void spill(int p) {
        Map<String, Spill.Health> health = new HashMap<>();
        for (int z = 0; z < many; z++) {
            fled[p][z] = fled[p][z] ? wrongs[p][z] > -2 : wrongs[p][z] >= 3;
            health.put(zones.get(z), new Spill.Health(SERVERS, fled[p][z] ? 0 : SERVERS));
        }
        double[] next = new double[many];
        Spill.parts(zones.get(p / PROCESSES), geography, health)
                .forEach((zone, part) -> next[zones.indexOf(zone)] = part);
        set(p, next);
    }

    private void set(int p, double[] next) {
        double sum = Arrays.stream(next).sum(), look = 0.002;
        for (int z = 0; z < many; z++) {
            double part = sum == 0 ? z == p / PROCESSES ? 1 : 0 : next[z] / sum;
            // Whoever decides alone looks at the others too.
            moves += Math.abs(part - parts[p][z]) > 0.03 && z == p / PROCESSES ? 1 : 0;
            parts[p][z] = part * (1 - look * many) + look;
        }
    }
}
