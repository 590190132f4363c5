package rushpin.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import rushpin.accord.Evidence.View;
import rushpin.accord.Picture;
import rushpin.accord.Plan;
import rushpin.accord.Plan.Mark;

/**
 * Which zones are left and how far traffic has come back, by pair of zones and class. One of these makes one step.
 *
 * <p>A mark goes down by what is bad and up by what is well, each by what the processes it is for say; between the two, and
 * without word, it stands. The value tells which way the last step went: a whole percent below {@link Plan#WHOLE} was gone
 * down to, all others up to. A step down after one up is a relapse.
 */
final class Marks {
    private enum Verdict {
        DEAD,
        FAILING,
        SLOW,
        UNSURE,
        WELL
    }

    private record Key(String from, String zone, String of) {
        static Key of(Mark mark) {
            return new Key(mark.from(), mark.zone(), mark.of());
        }
    }

    /** One that would be left. */
    private record Leaving(Key key, Verdict verdict, int how) {}

    /** Steps of a way back: each is followed only if the one before bore it. */
    private static final int[] UP = {125, 255, 505, Plan.WHOLE};
    /** What a slow zone keeps in any case. */
    private static final int SLOWEST = 160;
    /** So much of what is sent to a zone may come from others before that is why it has too much, in thousandths. */
    private static final int OTHERS = 50;
    /** Where too little is known of single classes, a zone is bad as a whole only if nearly all is. */
    private static final int NEARLY_ALL = 900;

    private final Plan inForce;
    private final Picture picture;
    private final List<String> zones;
    private final Limits limits;
    private final long now;
    private final Map<Key, Mark> marks = new TreeMap<>(
            Comparator.comparing(Key::from).thenComparing(Key::zone).thenComparing(Key::of));
    private final Map<String, Set<String>> classes;
    private final Set<String> sick = new TreeSet<>();
    /** By who looks ({@code ""} for all) and zone: what is to be said of each class, {@code ""} for the whole. */
    private final Map<List<String>, Map<String, Verdict>> verdicts = new HashMap<>();

    Marks(Plan inForce, Picture picture, Geography geography, Limits limits, long now) {
        this.inForce = inForce;
        this.picture = picture;
        this.zones = geography.zones();
        this.limits = limits;
        this.now = now;
        this.classes = picture.classes();
    }

    /** The marks of the next plan, in order. */
    List<Mark> next() {
        for (Mark mark : inForce.marks()) {
            if (zones.contains(mark.zone()) && (mark.from().isEmpty() || zones.contains(mark.from()))) {
                marks.put(Key.of(mark), mark);
            }
        }
        for (String zone : zones) {
            if (isSick(zone)) {
                sick.add(zone);
            }
        }
        for (String zone : zones) {
            verdicts.put(List.of("", zone), judge(zone, of -> picture.across(zone, of, sick)));
            for (String from : zones) {
                if (!sick.contains(from)) {
                    verdicts.put(List.of(from, zone), judge(zone, of -> picture.from(from, zone, of)));
                }
            }
        }
        down();
        up();
        return List.copyOf(marks.values());
    }

    private Verdict verdict(View view) {
        return view.failed() >= limits.dead()
                ? Verdict.DEAD
                : view.failed() >= limits.bad()
                        ? Verdict.FAILING
                        : view.slow() >= limits.slow()
                                ? Verdict.SLOW
                                : view.mostFailed() <= limits.well() && view.mostSlow() <= limits.well()
                                        ? Verdict.WELL
                                        : Verdict.UNSURE;
    }

    private static boolean isBad(Verdict verdict) {
        return verdict.compareTo(Verdict.UNSURE) < 0;
    }

    /** A zone that fails some of its classes does the rest well; one that fails all is told of as a whole. */
    private Map<String, Verdict> judge(String zone, Function<String, Optional<View>> views) {
        Optional<View> all = views.apply("");
        if (all.isEmpty()) {
            return Map.of();
        }
        Map<String, Verdict> of = new TreeMap<>();
        for (String each : classes.getOrDefault(zone, Set.of())) {
            views.apply(each).ifPresent(view -> of.put(each, verdict(view)));
        }
        long bad = of.values().stream().filter(Marks::isBad).count();
        Verdict whole = verdict(all.get());
        if (bad > 0 && bad < of.size()) {
            boolean well = of.values().stream().allMatch(each -> isBad(each) || each == Verdict.WELL);
            whole = well ? Verdict.WELL : Verdict.UNSURE;
        } else if (bad > 0) {
            of.replaceAll((each, any) -> Verdict.UNSURE);
        }
        if (of.size() < 2
                && classes.getOrDefault(zone, Set.of()).size() >= 2
                && isBad(whole)
                && Math.max(all.get().failed(), all.get().slow()) < NEARLY_ALL) {
            whole = Verdict.UNSURE;
        }
        of.put("", whole);
        return of;
    }

    /**
     * Whose edges are sick: its own servers look bad from there, and so do most others that all the rest see in order. What
     * they say of servers says something of themselves.
     */
    private boolean isSick(String from) {
        Optional<View> own = picture.from(from, from, "");
        if (own.isEmpty() || !isBad(verdict(own.get()))) {
            return false;
        }
        int seen = 0, alone = 0;
        for (String zone : zones) {
            Optional<View> view = zone.equals(from) ? Optional.empty() : picture.from(from, zone, "");
            if (view.isPresent()) {
                seen++;
                Optional<View> others = picture.across(zone, "", Set.of(from));
                alone += isBad(verdict(view.get())) && others.isPresent() && !isBad(verdict(others.get())) ? 1 : 0;
            }
        }
        return seen > 0 && 2 * alone > seen;
    }

    private Verdict verdict(String from, String zone, String of) {
        Verdict verdict = verdicts.getOrDefault(List.of(from, zone), Map.of()).get(of);
        return verdict == null ? Verdict.UNSURE : verdict;
    }

    /** One alone that sees its own zone in order says enough: it moves nobody by that, and holds nobody up by less. */
    private boolean isKnown(String zone, String of) {
        return verdicts.get(List.of("", zone)).containsKey(of)
                || verdicts.getOrDefault(List.of(zone, zone), Map.of()).containsKey(of)
                || !sick.contains(zone)
                        && picture.own(zone, of)
                                .filter(view -> !isBad(verdict(view)))
                                .isPresent();
    }

    private boolean isBad(String zone, String of) {
        return isBad(verdict("", zone, of)) || isBad(verdict(zone, zone, of));
    }

    /** Whether so much looks bad that it is who looks, or what all need: leaving would only spread it. */
    private boolean isSuspect(String of) {
        long known = zones.stream().filter(zone -> isKnown(zone, of)).count();
        long bad = zones.stream()
                .filter(zone -> isBad(zone, of) || !of.isEmpty() && isBad(zone, ""))
                .count();
        return 2 * bad > known;
    }

    private void down() {
        List<Leaving> leaving = new ArrayList<>();
        Map<String, Boolean> suspect = new HashMap<>();
        verdicts.forEach((pair, each) -> each.forEach((of, verdict) -> {
            if (isBad(verdict) && !suspect.computeIfAbsent(of, this::isSuspect)) {
                Key key = new Key(pair.get(0), pair.get(1), of);
                if ((verdict == Verdict.DEAD || !takesOthers(key.zone))
                        && (!isOwn(key) || seesOthersWell(key.zone))
                        && (key.from.isEmpty() || isAlone(key))) {
                    leaving.add(new Leaving(key, verdict, how(key)));
                }
            }
        }));
        // What concerns all first, then the worst; a pair of which both ends are the same is next to all of a zone.
        leaving.sort(Comparator.comparing((Leaving each) -> each.key.from.isEmpty() ? 0 : isOwn(each.key) ? 1 : 2)
                .thenComparing(each -> each.key.of.isEmpty() ? 0 : 1)
                .thenComparing(each -> -each.how)
                .thenComparing(each -> each.key.zone)
                .thenComparing(each -> each.key.from)
                .thenComparing(each -> each.key.of));
        leaving.forEach(this::leave);
    }

    private int how(Key key) {
        return (key.from.isEmpty() ? picture.across(key.zone, key.of, sick) : picture.from(key.from, key.zone, key.of))
                .map(view -> view.failed() + view.slow())
                .orElse(0);
    }

    private static boolean isOwn(Key key) {
        return key.from.equals(key.zone);
    }

    /** Who sees others fail as its own is suspect; a zone that sees no others has only its own to go by. */
    private boolean seesOthersWell(String from) {
        return picture.elsewhere(from)
                .map(view -> verdict(view) == Verdict.WELL)
                .orElse(true);
    }

    /** A zone that is slow, or fails in part, under what others send there gets less of that first. */
    private boolean takesOthers(String zone) {
        return picture.fromOthers(zone) > OTHERS;
    }

    /** A pair of two zones is bad by itself only if the target is well seen from elsewhere. */
    private boolean isAlone(Key key) {
        return isOwn(key)
                || verdict("", key.zone, key.of) == Verdict.WELL
                || verdict(key.zone, key.zone, key.of) == Verdict.WELL;
    }

    private void leave(Leaving leaving) {
        Key key = leaving.key;
        Mark mark = marks.get(key);
        int open = mark == null ? Plan.WHOLE : mark.open();
        boolean gone = key.from.isEmpty()
                ? !key.of.isEmpty() && isLeft("", key.zone, "")
                : isLeft("", key.zone, key.of)
                        || isLeft("", key.zone, "")
                        || !key.of.isEmpty() && isLeft(key.from, key.zone, "");
        if (open == Plan.WHOLE && (gone || !mayLeave(key) || mark == null && marks.size() >= Plan.MOST_MARKS)) {
            return;
        }
        int to = switch (leaving.verdict) {
            case DEAD -> 0;
            case FAILING -> open <= SLOWEST ? 0 : open / 2 / 10 * 10;
            default -> Math.min(open, Math.max(SLOWEST, open * 7 / 100 * 10));
        };
        boolean relapse = mark != null && !isDown(open);
        // A zone that has too much to do is given the time to show what the last step did.
        if (to < open && (leaving.verdict == Verdict.DEAD || mark == null || now - mark.since() >= limits.step())) {
            int relapses = mark == null ? 0 : mark.relapses() + (relapse ? 1 : 0);
            marks.put(key, new Mark(key.from, key.zone, key.of, to, now, relapses));
        }
    }

    private boolean isLeft(String from, String zone, String of) {
        Mark mark = marks.get(new Key(from, zone, of));
        return mark != null && mark.open() < Plan.WHOLE;
    }

    /** Whether one more may be left: by all, or by what enters there; a single pair of two zones is as it may be. */
    private boolean mayLeave(Key key) {
        if (!key.from.isEmpty() && !isOwn(key)) {
            return true;
        }
        long left = zones.stream()
                .filter(zone -> !zone.equals(key.zone)
                        && (isLeft("", zone, "")
                                || isLeft(zone, zone, "")
                                || isLeft("", zone, key.of)
                                || isLeft(zone, zone, key.of)))
                .count();
        return left < limits.left(zones.size());
    }

    private static boolean isDown(int open) {
        return open % 10 == 0 && open < Plan.WHOLE;
    }

    /** Where looks are too few to tell, the first step back is the look: processes are there, and sent next to nothing. */
    private boolean isUnseen(Key key) {
        return !sick.contains(key.from)
                && (key.from.isEmpty()
                        ? !picture.reporters().isEmpty()
                        : picture.reporters().containsKey(key.from))
                && !verdicts.getOrDefault(List.of(key.from, key.zone), Map.of()).containsKey(key.of);
    }

    private void up() {
        for (Mark mark : List.copyOf(marks.values())) {
            Key key = Key.of(mark);
            boolean well = verdict(mark.from(), mark.zone(), mark.of()) == Verdict.WELL;
            if (!well && !(mark.open() == 0 && isUnseen(key)) || mark.since() == now) {
                continue;
            }
            long since = now - mark.since();
            if (mark.open() == Plan.WHOLE) {
                if (since >= limits.forget() && mark.relapses() > 0) {
                    marks.put(key, new Mark(mark.from(), mark.zone(), mark.of(), Plan.WHOLE, now, mark.relapses() - 1));
                } else if (since >= limits.forget()) {
                    marks.remove(key);
                }
            } else if (since >= (isDown(mark.open()) ? limits.wait(mark.relapses()) : limits.step())) {
                int to = Plan.WHOLE;
                for (int i = UP.length - 1; i >= 0; i--) {
                    to = UP[i] > mark.open() ? UP[i] : to;
                }
                marks.put(key, new Mark(mark.from(), mark.zone(), mark.of(), to, now, mark.relapses()));
            }
        }
    }
}
