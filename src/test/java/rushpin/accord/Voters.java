package rushpin.accord;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;

/**
 * Three voters with folders and what they say of themselves: a world for {@link Explore}. The log is told by how many
 * entries of a group a voter stores; an entry is decided by a majority of members of which one, the leader, has as many as
 * all of these.
 */
final class Voters {
    /** What is left out. */
    enum Fault {
        OLD_ID("a blank voter votes under its old id"),
        NOT_ALL("a majority of the listed voters founds"),
        NO_OFFERS("a voter founds once it has heard all others blank, without their offers");

        final String text;

        Fault(String text) {
            this.text = text;
        }
    }

    private static final String[] NAMES = {"a", "b", "c"};
    private static final List<String> LISTED = List.of(NAMES);

    /** A folder and what a process remembers; it is up where it has started. */
    private record Voter(
            String id,
            UUID group,
            UUID offer,
            Set<String> offered,
            boolean up,
            int stored,
            Map<String, Founding.Introduction> heard) {
        Voter with(UUID now, int entries) {
            return new Voter(id, now, null, Set.of(), up, entries, heard);
        }

        Voter offers(UUID now, Collection<String> ids) {
            return new Voter(id, null, now, new TreeSet<>(ids), up, 0, heard);
        }

        Voter hears(Map<String, Founding.Introduction> now) {
            return new Voter(id, group, offer, offered, up, stored, now);
        }
    }

    private final Fault fault;
    private final Voter[] voters;
    private final TreeMap<UUID, Set<String>> members;
    private final TreeMap<UUID, Integer> decided;
    private int losses, deaths, drawn;
    private String broken;

    /** All blank and up. */
    Voters(Fault fault, int losses, int deaths) {
        this.fault = fault;
        this.losses = losses;
        this.deaths = deaths;
        voters = new Voter[NAMES.length];
        members = new TreeMap<>();
        decided = new TreeMap<>();
        for (int v = 0; v < voters.length; v++) {
            voters[v] = new Voter(Founding.id(NAMES[v], 0), null, null, Set.of(), true, 0, Map.of());
        }
    }

    private Voters(Voters from) {
        fault = from.fault;
        voters = from.voters.clone();
        members = new TreeMap<>(from.members);
        decided = new TreeMap<>(from.decided);
        losses = from.losses;
        deaths = from.deaths;
        drawn = from.drawn;
    }

    private Founding.Introduction introduction(int v) {
        Voter voter = voters[v];
        boolean blank = voter.group == null;
        return new Founding.Introduction(
                NAMES[v],
                voter.id,
                blank,
                1,
                blank ? voter.offer : voter.group,
                List.copyOf(blank ? voter.offered : members.get(voter.group)));
    }

    private Founding.Step decide(int v) {
        Collection<Founding.Introduction> heard = voters[v].heard.values();
        Founding.Step step = Founding.decide(introduction(v), LISTED, voters[v].group == null ? 0 : 1, heard);
        if (fault == Fault.NOT_ALL && step instanceof Founding.Step.Wait && heard.size() == 1) {
            Set<String> ids =
                    new TreeSet<>(List.of(voters[v].id, heard.iterator().next().id()));
            return new Founding.Step.Found(Founding.group(1, ids), List.copyOf(ids));
        }
        return fault == Fault.NO_OFFERS && step instanceof Founding.Step.Offer offer
                ? new Founding.Step.Found(offer.group(), offer.memberIds())
                : step;
    }

    private Voters set(int v, Voter voter) {
        Voters next = new Voters(this);
        next.voters[v] = voter;
        return next;
    }

    private void next(Explore.Step<Voters> step) {
        for (int v = 0; v < voters.length; v++) {
            Voter voter = voters[v];
            int at = v;
            if (!voter.up) {
                step.to(
                        set(v, new Voter(voter.id, voter.group, null, Set.of(), true, voter.stored, voter.heard)),
                        () -> NAMES[at] + " starts");
                continue;
            }
            for (int w = 0; w < voters.length; w++) {
                if (w != v && voters[w].up) {
                    int other = w;
                    Map<String, Founding.Introduction> heard = new TreeMap<>(voter.heard);
                    heard.put(NAMES[w], introduction(w));
                    step.to(set(v, voter.hears(heard)), () -> NAMES[at] + " hears " + introduction(other));
                }
            }
            act(v, step);
            if (deaths > 0) {
                Voters next = set(v, new Voter(voter.id, voter.group, null, Set.of(), false, voter.stored, Map.of()));
                next.deaths--;
                step.to(next, () -> NAMES[at] + " dies");
            }
            if (losses > 0) {
                String id = fault == Fault.OLD_ID ? voter.id : Founding.id(NAMES[v], drawn + 1);
                Voters next = set(v, new Voter(id, null, null, Set.of(), true, 0, Map.of()));
                next.losses--;
                next.drawn++;
                step.to(next, () -> NAMES[at] + " dies, loses its folder and is now " + id);
            }
        }
        for (UUID group : members.keySet()) {
            entry(group, step);
        }
    }

    private void act(int v, Explore.Step<Voters> step) {
        Voter voter = voters[v];
        Founding.Step decision = decide(v);
        if (decision instanceof Founding.Step.Offer offer) {
            step.to(set(v, voter.offers(offer.group(), offer.memberIds())), () -> NAMES[v] + " makes its " + offer);
        } else if (decision instanceof Founding.Step.Found found && voter.group == null) {
            Voters next = set(v, voter.with(found.group(), 0));
            next.members.putIfAbsent(found.group(), new TreeSet<>(found.memberIds()));
            step.to(next, () -> NAMES[v] + " begins in " + found);
        } else if (decision instanceof Founding.Step.AskToReplace ask && ask.oldId() != null) {
            Set<String> group = members.get(ask.group());
            Set<String> there = new TreeSet<>();
            int leader = -1;
            for (int w = 0; w < voters.length; w++) {
                if (w != v && voters[w].up && ask.group().equals(voters[w].group) && group.contains(voters[w].id)) {
                    there.add(voters[w].id);
                    leader = leader < 0 || voters[w].stored > voters[leader].stored ? w : leader;
                }
            }
            Founding.Answer answer = Founding.mayChange(group, there, false, LISTED, ask.oldId(), ask.newId());
            if (answer == Founding.Answer.YES) {
                Voters next = set(v, voter.with(ask.group(), voters[leader].stored));
                Set<String> changed = new TreeSet<>(group);
                changed.remove(ask.oldId());
                changed.add(ask.newId());
                next.members.put(ask.group(), changed);
                step.to(next, () -> "the group takes in " + ask);
            }
        }
    }

    /** Each majority of members that are up decides an entry, the others hear nothing of it. */
    private void entry(UUID group, Explore.Step<Voters> step) {
        for (int leader = 0; leader < voters.length; leader++) {
            for (int other = 0; other < voters.length; other++) {
                int last = leader, with = other;
                int stored = voters[leader].stored + 1;
                // The first entry is enough: a second first one is what must not be.
                if (leader != other
                        && isMember(leader, group)
                        && isMember(other, group)
                        && voters[leader].stored >= voters[other].stored
                        && stored == 1) {
                    Voters next = new Voters(this);
                    next.voters[leader] = voters[leader].with(group, stored);
                    next.voters[other] = voters[other].with(group, stored);
                    if (stored <= decided.getOrDefault(group, 0)) {
                        next.broken = "a decided entry was forgotten";
                    } else if (decided.keySet().stream().anyMatch(decidedBy -> !decidedBy.equals(group))) {
                        next.broken = "two foundings of one era decide";
                    }
                    next.decided.put(group, stored);
                    step.to(
                            next,
                            () -> NAMES[last] + " and " + NAMES[with] + " decide entry " + stored + " of " + group);
                }
            }
        }
    }

    private boolean isMember(int v, UUID group) {
        return voters[v].up
                && group.equals(voters[v].group)
                && members.get(group).contains(voters[v].id);
    }

    static final Explore.Rules<Voters> RULES = new Explore.Rules<>() {
        @Override
        public void next(Voters world, Explore.Step<Voters> step) {
            world.next(step);
        }

        @Override
        public String broken(Voters world) {
            return world.broken;
        }

        @Override
        public long print(Voters world) {
            Explore.Print print =
                    new Explore.Print().add(world.losses).add(world.deaths).add(world.drawn);
            for (Voter voter : world.voters) {
                print.add(voter.id.hashCode())
                        .add(hash(voter.group))
                        .add(hash(voter.offer))
                        .add(voter.up ? 1 : 0)
                        .add(voter.stored);
                for (Founding.Introduction said : voter.heard.values()) {
                    print.add(said.id().hashCode())
                            .add(said.blank() ? 1 : 0)
                            .add(hash(said.groupId()))
                            .add(said.memberIds().hashCode());
                }
                print.add(-1);
            }
            world.members.forEach((group, ids) -> print.add(hash(group)).add(ids.hashCode()));
            world.decided.forEach((group, entries) -> print.add(hash(group)).add(entries));
            return print.sum();
        }
    };

    private static long hash(UUID group) {
        return group == null ? 0 : group.getMostSignificantBits() ^ group.getLeastSignificantBits();
    }

    @Override
    public String toString() {
        return Arrays.toString(voters) + members + decided;
    }
}
