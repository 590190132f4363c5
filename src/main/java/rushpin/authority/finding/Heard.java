package rushpin.authority.finding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What processes told lately: the newest of each session, until it is too old by own time. Pure; one thread at a time.
 *
 * <p>Nobody is taken at his own word: of an object's heat the greatest part that any one process tells is left out, so that
 * with one liar it is never above what the honest ones see; likewise of a holder's slowness and of what a move gains.
 *
 * <p>Bounds: {@code most} sessions of {@link Told#MOST_ROWS} rows, and a moment for each member that was slow. At the bound a
 * new session is not heard until one is too old.
 */
public final class Heard {
    /** What became of what was told. */
    public enum Taken {
        YES,
        NOT_NEWER,
        UNSOUND,
        NO_ROOM
    }

    /** A process that may hold objects, by the log: its session lives. */
    public record Member(long session, String zone, String region) {}

    private record Kept(Told told, long at) {}

    /** Of one object, over all who tell. */
    private static final class Sum {
        final Map<String, long[]> zones = new HashMap<>();
        long all, first, second;
        String where;

        void add(String zone, long heat) {
            long[] part = zones.computeIfAbsent(zone, any -> new long[2]);
            part[0] += heat;
            part[1] = Math.max(part[1], heat);
            all += heat;
            if (heat > first) {
                second = first;
                first = heat;
                where = zone;
            } else {
                second = Math.max(second, heat);
            }
        }

        Sight.Demand demand() {
            Map<String, Sight.Part> parts = new TreeMap<>();
            zones.forEach((zone, part) -> parts.put(
                    zone, new Sight.Part(part[0], part[1], zone.equals(where) ? part[0] - first + second : part[0])));
            return new Sight.Demand(all - first, all - first + second, parts);
        }
    }

    /** Of one holder, over all others that tell. */
    private static final class Answers {
        long sent, mostSent, over, mostOver = Long.MIN_VALUE;

        void add(Told.Answered answered) {
            // Above 0 if more than half are slow.
            long more = 2 * answered.slow() - answered.sent();
            sent += answered.sent();
            mostSent = Math.max(mostSent, answered.sent());
            over += more;
            mostOver = Math.max(mostOver, more);
        }

        /** Whether half are slow whichever one process is left out. */
        boolean isSlow(long fewest) {
            return sent - mostSent >= fewest && over - mostOver >= 0;
        }
    }

    /** A process has no more room than so many times what half of them have. */
    private static final int ROOMS = 2;

    private final int most;
    private final long age, fewestSent, shun;
    private final Map<Long, Kept> kept = new HashMap<>();
    /** When a process was slow last: who has lost its objects is not told of any more, and isn't well for that. */
    private final Map<Long, Long> slow = new HashMap<>();

    /**
     * An empty table.
     *
     * @param most sessions
     * @param age until what was told is too old, nanoseconds of own time
     * @param fewestSent with fewer attempts at a holder than that nothing is known of it
     * @param shun for so long a process that was slow gets nothing, nanoseconds of own time
     */
    public Heard(int most, long age, long fewestSent, long shun) {
        this.most = most;
        this.age = age;
        this.fewestSent = Math.max(1, fewestSent);
        this.shun = shun;
    }

    /** Something is told. */
    public Taken told(Told told, long now) {
        if (!told.isSound()) {
            return Taken.UNSOUND;
        }
        Kept before = kept.get(told.session());
        if (before != null && told.sequence() <= before.told.sequence()) {
            return Taken.NOT_NEWER;
        }
        if (before == null && kept.size() >= most) {
            kept.values().removeIf(each -> now - each.at >= age);
            if (kept.size() >= most) {
                return Taken.NO_ROOM;
            }
        }
        kept.put(told.session(), new Kept(told, now));
        return Taken.YES;
    }

    /** How many are kept, those that are too old and not forgotten included. */
    public int size() {
        return kept.size();
    }

    /** All that is not too old, of those who are members. */
    public Sight sight(Collection<Member> members, long now) {
        Map<String, Sum> sums = new HashMap<>();
        Map<Long, Answers> answers = new HashMap<>();
        Map<Long, Long> rooms = new HashMap<>();
        for (Member member : members) {
            Kept each = kept.get(member.session);
            if (each == null || now - each.at >= age) {
                continue;
            }
            rooms.put(member.session, each.told.room());
            each.told
                    .rows()
                    .forEach(row ->
                            sums.computeIfAbsent(row.object(), any -> new Sum()).add(member.zone, row.heat()));
            each.told
                    .holders()
                    .forEach(one -> answers.computeIfAbsent(one.holder(), any -> new Answers())
                            .add(one));
        }
        long[] sorted = rooms.values().stream().mapToLong(room -> room).sorted().toArray();
        long mostRoom = sorted.length == 0 ? 0 : ROOMS * sorted[(sorted.length - 1) / 2];
        List<Sight.Edge> edges = new ArrayList<>();
        slow.values().removeIf(last -> now - last >= shun);
        for (Member member : members) {
            Answers of = answers.get(member.session);
            boolean isSlow = of != null && of.isSlow(fewestSent);
            if (isSlow) {
                slow.put(member.session, now);
            }
            long room = slow.containsKey(member.session)
                    ? Sight.UNKNOWN
                    : Math.min(mostRoom, rooms.getOrDefault(member.session, Sight.UNKNOWN));
            edges.add(new Sight.Edge(member.session, member.zone, member.region, room, isSlow));
        }
        Map<String, Sight.Demand> demands = new HashMap<>();
        sums.forEach((object, sum) -> {
            if (sum.all > sum.first) {
                demands.put(object, sum.demand());
            }
        });
        return new Sight(edges, demands, rooms.size());
    }
}
