package rushpin.authority.finding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Processes that tell, a planner that looks each second, and what it comes to. */
final class Town {
    static final long SECOND = 1_000_000_000L;

    final Limits limits;
    final Map<Long, Heard.Member> members = new TreeMap<>();
    final Map<Long, Long> rooms = new HashMap<>();
    /** By session and object. */
    final Map<Long, Map<String, Long>> asked = new TreeMap<>();
    /** Of a hundred attempts at a holder, how many are slow. */
    final Map<Long, Integer> slow = new HashMap<>();

    final Heard heard = new Heard(2_000, 5 * SECOND, 20, 30 * SECOND);
    Assignment assignment = Assignment.NONE;
    Sight sight = new Sight(List.of(), Map.of(), 0);
    long now, sequence;

    Town(Limits limits) {
        this.limits = limits;
    }

    void join(long session, String zone, String region, long room) {
        members.put(session, new Heard.Member(session, zone, region));
        rooms.put(session, room);
    }

    void ask(long session, String object, long heat) {
        asked.computeIfAbsent(session, any -> new TreeMap<>()).put(object, heat);
    }

    Told told(long session) {
        List<Told.Row> rows = new ArrayList<>();
        asked.getOrDefault(session, Map.of()).forEach((object, heat) -> rows.add(new Told.Row(object, heat)));
        rows.removeIf(row -> row.heat() == 0);
        rows.sort((a, b) -> Long.compare(b.heat(), a.heat()));
        List<Told.Answered> holders = new ArrayList<>();
        slow.forEach((holder, part) -> {
            if (holder != session && assignment.held().stream().anyMatch(each -> each.session() == holder)) {
                holders.add(new Told.Answered(holder, 100, part));
            }
        });
        return new Told(
                session,
                ++sequence,
                rooms.get(session),
                rows.subList(0, Math.min(rows.size(), Told.MOST_ROWS)),
                holders);
    }

    /** A second; what is drafted is in force at once. */
    Optional<Assignment> second() {
        now += SECOND;
        members.keySet().forEach(session -> heard.told(told(session), now));
        return look();
    }

    Optional<Assignment> look() {
        sight = heard.sight(members.values(), now);
        Optional<Assignment> next = Chooser.next(assignment, sight, limits, now)
                .map(draft -> assignment.with(draft, now).orElseThrow());
        next.ifPresent(each -> assignment = each);
        return next;
    }

    /** Seconds with a draft until there has been none for longer than an object stays. */
    int settle() {
        int drafts = 0;
        for (long calm = 0; calm <= limits.stay() / SECOND + 2; calm++) {
            if (second().isPresent()) {
                drafts++;
                calm = 0;
            }
        }
        return drafts;
    }

    long holder(String object) {
        return assignment.held().stream()
                .filter(each -> each.object().equals(object))
                .mapToLong(Assignment.Held::session)
                .findFirst()
                .orElse(0);
    }

    Map<Long, Long> counts() {
        Map<Long, Long> counts = new TreeMap<>();
        assignment.held().forEach(each -> counts.merge(each.session(), 1L, Long::sum));
        return counts;
    }
}
