package rushpin.model;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The front and the clients behind it: who asks for what when, through which node, and who comes again. */
final class Clients {
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS;
    /** A node that is back is asked for its health so often. */
    private static final long LOOK = 50 * MS;

    private final World world;
    private final Day day;
    private final String[] classNames;
    private final int[] classes, plans;
    private final double[] classShare, planShare;
    private final double[][] weights;
    private final boolean[] in;
    private final Replay replay;
    private final SplittableRandom random, spread, extra;
    private final long tail;
    private int number, tries;
    private double most = 1;

    Clients(World world, List<String> classNames, List<String> planNames, Replay replay) {
        this.world = world;
        this.replay = replay;
        day = world.day;
        this.classNames = classNames.toArray(String[]::new);
        classes = day.classes.keySet().stream()
                .mapToInt(name -> index(classNames, name, "class"))
                .toArray();
        plans = day.plans.keySet().stream()
                .mapToInt(name -> index(planNames, name, "plan"))
                .toArray();
        classShare =
                day.classes.values().stream().mapToDouble(Day.ClassLoad::share).toArray();
        planShare = day.plans.values().stream().mapToDouble(Day.PlanLoad::share).toArray();
        weights = day.plans.values().stream().map(Clients::weights).toArray(double[][]::new);
        in = new boolean[day.nodes];
        Arrays.fill(in, true);
        random = world.chance.stream("clients", 0);
        spread = world.chance.stream("front", 0);
        extra = world.chance.stream("heavy", 0);
        long longest = 0;
        for (int each : classes) {
            longest = Math.max(longest, world.settings.classes().get(each).deadline());
        }
        long wait = Math.max(day.retryWait, world.settings.limits().maxRetryAfter());
        // The last that is counted meets the load that the first met, to the end of its last try.
        tail = (day.retries + 1) * longest + day.retries * wait;
        for (Day.Trouble t : day.troubles) {
            most *= t.kind() == Day.Kind.OVERLOAD ? Math.max(1, t.strength()) : 1;
        }
        if (day.rate * most * (day.span + tail) / SECOND > Day.MOST_TRIES) {
            throw new IllegalArgumentException(
                    "clients.rate over seconds is more than " + Day.MOST_TRIES + " requests");
        }
    }

    private static int index(List<String> names, String name, String what) {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new IllegalArgumentException(what + "." + name + ": the settings have " + String.join(", ", names));
        }
        return index;
    }

    private static double[] weights(Day.PlanLoad load) {
        double[] sums = new double[load.customers()];
        double sum = 0;
        for (int i = 0; i < sums.length; i++) {
            sum += Math.pow(i + 1, -load.skew());
            sums[i] = sum;
        }
        return sums;
    }

    /** When all that is counted has been answered, and all rules could have been broken. */
    long end() {
        return day.span + tail + SECOND;
    }

    int tries() {
        return tries;
    }

    void start() {
        if (replay != null) {
            recorded(0);
        } else if (day.rate > 0) {
            next();
        }
        for (Day.Trouble t : day.troubles) {
            if (t.kind() == Day.Kind.HEAVY_CUSTOMER) {
                world.time.at(t.at(), () -> heavy(t));
            }
        }
    }

    private void recorded(int from) {
        if (from < replay.at().length) {
            world.time.at(replay.at()[from], () -> {
                for (int i = from; i < replay.at().length && replay.at()[i] <= world.time.now(); i++) {
                    ask(
                            replay.requestClass()[i],
                            replay.plan()[i],
                            replay.customer()[i],
                            replay.units()[i],
                            replay.patience()[i],
                            random.nextDouble());
                }
                int next = from;
                while (next < replay.at().length && replay.at()[next] <= world.time.now()) {
                    next++;
                }
                recorded(next);
            });
        }
    }

    private double factor() {
        double factor = 1;
        for (Day.Trouble t : day.troubles) {
            boolean on =
                    t.kind() == Day.Kind.OVERLOAD && world.time.now() >= t.at() && world.time.now() < t.at() + t.span();
            factor *= on ? t.strength() : 1;
        }
        return factor;
    }

    private static long gap(SplittableRandom from, double rate) {
        return (long) (-Math.log(1 - from.nextDouble()) / rate * SECOND);
    }

    private void next() {
        world.time.after(gap(random, day.rate * most), () -> {
            if (world.time.now() >= day.span + tail) {
                return;
            }
            // Every figure is drawn whether or not it is needed: the rest of the stream stays as it is.
            boolean comes = random.nextDouble() * most < factor();
            int c = pick(classShare, random.nextDouble()), p = pick(planShare, random.nextDouble());
            int customer = find(weights[p], random.nextDouble());
            double units = units(random.nextDouble()), waits = random.nextDouble(), work = random.nextDouble();
            if (comes) {
                ask(
                        classes[c],
                        plans[p],
                        (plans[p] + 1L) << 24 | customer + 1,
                        units,
                        patience(classes[c], waits),
                        work);
            }
            next();
        });
    }

    /** One customer of the plan with the least quota asks for a part of all traffic. */
    private void heavy(Day.Trouble t) {
        world.time.after(gap(extra, day.rate * t.strength()), () -> {
            if (world.time.now() < Math.min(t.at() + t.span(), day.span + tail)) {
                int plan = plans[0];
                for (int each : plans) {
                    plan = world.settings.plans().get(each).rate()
                                    < world.settings.plans().get(plan).rate()
                            ? each
                            : plan;
                }
                int c = classes[pick(classShare, extra.nextDouble())];
                ask(
                        c,
                        plan,
                        (plan + 1L) << 24,
                        units(extra.nextDouble()),
                        patience(c, extra.nextDouble()),
                        extra.nextDouble());
                heavy(t);
            }
        });
    }

    private static int pick(double[] shares, double at) {
        double sum = Arrays.stream(shares).sum() * at;
        for (int i = 0; i < shares.length; i++) {
            sum -= shares[i];
            if (sum < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private static int find(double[] sums, double at) {
        int found = Arrays.binarySearch(sums, at * sums[sums.length - 1]);
        return Math.min(sums.length - 1, found >= 0 ? found + 1 : -found - 1);
    }

    /** From 1 on, most of them small. */
    private double units(double at) {
        double more = day.unitsMean - 1;
        return more <= 0 ? day.unitsMean : Math.min(day.unitsMost, 1 + Math.floor(-Math.log(1 - at) * more + 0.5));
    }

    private long patience(int requestClass, double at) {
        double part = day.patience[0] + at * (day.patience[1] - day.patience[0]);
        return Math.max(20 * MS, (long)
                (part * world.settings.classes().get(requestClass).deadline()));
    }

    private void ask(int requestClass, int plan, long customer, double units, long patience, double work) {
        if (!day.classes.containsKey(classNames[requestClass])) {
            throw new IllegalArgumentException("class." + classNames[requestClass] + " is missing: it was recorded");
        }
        long now = world.time.now();
        Ask made = new Ask(
                number++,
                requestClass,
                plan,
                customer,
                units,
                patience,
                now,
                work,
                now >= day.warmUp && now < day.span);
        world.tally.asked(made, world.work(made));
        attempt(made);
    }

    private int first(long customer) {
        return (int) Math.floorMod(Chance.mix(customer), (long) day.nodes);
    }

    private Node pick(Ask ask) {
        int first = first(ask.customer),
                start = (int) (world.chance.one("front", ask.number * 16L + ask.tries) * day.spread);
        for (int i = 0; i < day.spread; i++) {
            int at = (first + (start + i) % day.spread) % day.nodes;
            if (in[at]) {
                return world.nodes.get(at);
            }
        }
        return world.nodes.get((first + start) % day.nodes);
    }

    private void attempt(Ask ask) {
        if (tries++ > 2 * Day.MOST_TRIES) {
            throw new IllegalStateException("more than " + 2 * Day.MOST_TRIES + " tries");
        }
        Node node = pick(ask);
        world.tally.tried(ask);
        String id = ask.id();
        long at = world.time.now();
        Node.Client client = (status, retryAfter, within) -> answered(ask, id, at, status, retryAfter, within);
        world.time.after(day.oneWay + world.nodeSpan(ask) / 2, () -> {
            if (node.isAlive()) {
                node.take(ask, day.spread, first(ask.customer), client);
            } else {
                world.time.after(day.reconnect + 2 * day.oneWay, () -> again(node, ask, client));
            }
        });
    }

    /** The node was dead: now it takes the try, or the client hears that nobody does. */
    private void again(Node node, Ask ask, Node.Client client) {
        if (node.isAlive()) {
            node.take(ask, day.spread, first(ask.customer), client);
        } else {
            world.time.after(day.oneWay, () -> client.answered(0, 0, true));
        }
    }

    private void answered(Ask ask, String id, long at, int status, long retryAfter, boolean within) {
        world.exchange(ask, id, at, status);
        boolean again = status != 200 && ask.tries < day.retries;
        if (!again) {
            world.tally.over(ask, status, world.time.now(), within);
            return;
        }
        ask.tries++;
        long most = world.settings.limits().maxRetryAfter();
        long heeded = !day.heed ? 0 : most > 0 ? Math.min(most, retryAfter) : retryAfter;
        world.time.after(Math.max(day.retryWait, heeded), () -> attempt(ask));
    }

    /** The front hears late that a node is dead. */
    void died(Node node) {
        double drawn = world.chance.one("notice", node.number * 1_000L + world.time.now() / SECOND);
        long notice = (long) ((day.notice[0] + drawn * (day.notice[1] - day.notice[0])) * MS);
        world.time.after(notice, () -> in[node.number] = node.isAlive());
    }

    /** It answers that it is healthy. */
    void back(Node node) {
        world.time.after(LOOK, () -> in[node.number] = node.isAlive());
    }
}
