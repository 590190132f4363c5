package rushpin.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rushpin.accord.Evidence;
import rushpin.accord.Picture;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.failover.Geography;
import rushpin.failover.Learned;
import rushpin.failover.Limits;
import rushpin.failover.Planner;

/**
 * What the one process that makes the plans knows of the fleet, and what {@link Planner} makes of it: a task of its own, see
 * {@link Hearing}. Reports that are older than {@value #AGE_S} s say nothing any more.
 */
final class Planning implements AutoCloseable {
    /** What is to be published in place of a plan, under a fence. */
    record Draft(long after, long fence, List<Plan.Way> ways, List<Plan.Mark> marks) {}

    /**
     * What the log says, at the moment of a look.
     *
     * @param fence the planner's
     * @param regions of each zone in which a process stands
     * @param at log time
     * @param geography the operator's order of regions and zones; may be empty
     */
    record Look(Plan inForce, long fence, Map<String, String> regions, long at, Geography geography, Limits limits) {}

    private static final int AGE_S = 5;
    /** From so many zones somebody has to tell; who sent less has seen too little to tell alone. */
    private static final int FEWEST_ZONES = 2, FEWEST_SENT = 5;
    /** So long a zone that is marked and without processes is kept in the plan by one planner, nanoseconds. */
    private static final long KEPT = 60_000_000_000L;

    private static final String UNSEEN = "unseen";

    private final Consumer<Optional<Draft>> drafts;
    private final Hearing<Look> hearing;
    private final Evidence evidence;
    private final Learned learned = new Learned();
    /** Of zones in which processes stand, and of those in which they stood and servers do. */
    private final Map<String, String> regions = new TreeMap<>();
    /** Under this fence: since when zones are there by their marks alone. */
    private final Map<String, Long> marked = new TreeMap<>();

    private long fence;
    /** What the last lines say of each zone. */
    private final Map<String, String> said = new TreeMap<>();

    /** Knows nothing; {@code drafts} hears what came of each look, on this task's thread; one a process is heard. */
    Planning(int mostProcesses, Consumer<Optional<Draft>> drafts) {
        this.drafts = drafts;
        evidence = new Evidence(mostProcesses, TimeUnit.SECONDS.toNanos(AGE_S), FEWEST_ZONES, FEWEST_SENT);
        hearing = new Hearing<>(
                "fleet planner",
                mostProcesses,
                report -> evidence.report(report, System.nanoTime()),
                Look.class,
                this::read);
    }

    /** A report has come, sound or not; any thread. */
    void heard(Report report) {
        hearing.heard(report);
    }

    /** Asks what is to be published now; any thread. */
    void look(Look at) {
        hearing.look(at);
    }

    private void read(Look look) {
        long now = System.nanoTime();
        evidence.forget(now);
        Picture picture = evidence.picture(now);
        say(picture, look.limits());
        drafts.accept(next(look, picture));
    }

    private Optional<Draft> next(Look look, Picture picture) {
        long now = System.nanoTime();
        if (look.fence() != fence) {
            fence = look.fence();
            marked.clear();
        }
        // A zone whose processes are all gone may have servers yet, or they come back after a while without sessions:
        // what is known of it goes on.
        regions.keySet().removeIf(zone -> picture.stock(zone).isEmpty());
        regions.putAll(look.regions());
        marked.keySet().removeAll(look.regions().keySet());
        for (Plan.Mark mark : look.inForce().marks()) {
            for (String zone : List.of(mark.zone(), mark.from())) {
                if (!zone.isEmpty()
                        && !regions.containsKey(zone)
                        && now - marked.computeIfAbsent(zone, first -> now) < KEPT) {
                    regions.put(zone, "");
                }
            }
        }
        Optional<Planner.Draft> next = Planner.next(
                look.inForce(),
                learned.sight(picture, look.limits(), look.at()),
                look.geography().with(regions),
                look.limits(),
                look.at());
        if (next.isEmpty() && look.inForce().number() > 0 && look.inForce().fence() != look.fence()) {
            // Another one's plan stands: it is said anew, so that all know whose word counts.
            next = Optional.of(
                    new Planner.Draft(look.inForce().ways(), look.inForce().marks()));
        }
        return next.map(draft -> new Draft(look.inForce().number(), look.fence(), draft.ways(), draft.marks()));
    }

    /** A line for each zone of which the fleet's view has changed. */
    private void say(Picture picture, Limits limits) {
        Set<String> zones = picture.seen();
        zones.addAll(said.keySet());
        for (String zone : zones) {
            // Where hardly anybody else sends, those of the zone itself tell of it.
            Optional<Evidence.View> view = picture.across(zone, "", Set.of()).or(() -> picture.from(zone, zone, ""));
            String before = said.getOrDefault(zone, UNSEEN), as = state(view, before, limits);
            if (!as.equals(before)) {
                said.put(zone, as);
                System.out.println("fleet sees zone=" + zone + " as=" + as
                        + view.map(of -> " reporters=" + of.reporters()
                                        + " zones=" + of.zones() + " failed=" + of.failed() + " slow=" + of.slow()
                                        + " unreachable="
                                        + of.unreachable())
                                .orElse("")
                        + " at=" + System.nanoTime());
            }
        }
        said.values().removeIf(UNSEEN::equals);
    }

    /** By the planner's bounds; between what is ill and what is well it is said to be as it was. */
    private static String state(Optional<Evidence.View> view, String before, Limits limits) {
        if (view.isEmpty()) {
            return UNSEEN;
        }
        Evidence.View of = view.get();
        return of.failed() >= limits.bad()
                ? "failing"
                : of.slow() >= limits.slow()
                        ? "slow"
                        : before.equals(UNSEEN) || of.mostFailed() <= limits.well() && of.mostSlow() <= limits.well()
                                ? "well"
                                : before;
    }

    @Override
    public void close() {
        hearing.close();
    }
}
