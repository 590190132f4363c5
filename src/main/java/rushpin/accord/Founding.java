package rushpin.accord;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;

/**
 * What a voter does at its start, from its folder and from what the other listed voters say of themselves. Pure.
 *
 * <p>A voter's <em>id</em> is drawn by chance when its folder is made, and is on disk before anybody hears of it; a folder
 * has one id and at most one group, in one file that is replaced whole, and a group is written before anything is voted or
 * stored in it. So a blank folder has never voted in any group, under an id that nobody knows from before: a process that
 * lost its folder is another voter, of the same name.
 *
 * <p>A fleet is founded only by all listed voters. Each that has heard all others, blank and of the same era,
 * <em>offers</em> the group of all their ids, and says so; it begins in it once it has heard the same offer of every one.
 * The group's id is worked out from era and ids, so equal ids offer the same one. A voter that has begun never offers again:
 * what some of them heard before one lost its folder can't become a second founding. One that hears of a group with its own
 * id begins there too. All others ask to be taken in, in the place of the old id of their name. That is the group's to
 * decide, {@link #mayChange}.
 *
 * <p>What this can't see: a folder that is put back to an earlier moment knows its id and its group, but not what it voted
 * since. That is found by what a leader knows of its log.
 */
public final class Founding {
    private Founding() {}

    /**
     * What a voter says of itself.
     *
     * @param id of its folder, {@link #id}
     * @param blank whether the folder holds no group of its era
     * @param era the operator's number of the founding
     * @param groupId its group; of a blank one what it offers to found, or null
     * @param memberIds of the group as it is now, or is offered; empty without a group
     */
    public record Introduction(String name, String id, boolean blank, long era, UUID groupId, List<String> memberIds) {
        /** Copies, and sorts. */
        public Introduction {
            memberIds = List.copyOf(new TreeSet<>(memberIds));
            if (groupId == null != memberIds.isEmpty() || groupId == null && !blank) {
                throw new IllegalArgumentException(
                        "no introduction: blank " + blank + ", group " + groupId + " of " + memberIds);
            }
        }
    }

    /** What to do. */
    public sealed interface Step {
        /** Say from now on that this would be founded; need not be stored. */
        record Offer(UUID group, List<String> memberIds) implements Step {}

        /** Write this group to the folder, then start as one of its members with an empty log. */
        record Found(UUID group, List<String> memberIds) implements Step {}

        /** Start as the id in the folder. */
        record GoOn(UUID group) implements Step {}

        /**
         * Write the group to the folder, start, and ask it to be a voter in the place of {@code oldId}; null if it has none
         * of this name. Whoever is no member votes nowhere.
         */
        record AskToReplace(UUID group, String oldId, String newId) implements Step {}

        /** Nothing yet. */
        record Wait(String why) implements Step {}

        /** Nothing, until the operator changes something. */
        record Refuse(String why) implements Step {}
    }

    /** What a group says to one that wants to be a voter of it. */
    public enum Answer {
        /** Do it. */
        YES,
        /** It is a member already. */
        ALREADY,
        /** Its name is not listed, or the old id is not of its name. */
        NOT_ITS_PLACE,
        /** The old one is there. */
        OLD_IS_THERE,
        /** One change at a time. */
        CHANGING,
        /** Without the old one, less than a majority is there. */
        NO_MAJORITY
    }

    /** A voter's id: its name, a dot, and what was drawn. The old id of a name is known by it. */
    public static String id(String name, long drawn) {
        return name + "." + Long.toHexString(drawn);
    }

    /** The name in an id. */
    public static String name(String id) {
        return id.substring(0, Math.max(0, id.lastIndexOf('.')));
    }

    /** The group that voters of these ids found: the same for the same era and ids, in any order. */
    public static UUID group(long era, Collection<String> ids) {
        return UUID.nameUUIDFromBytes(
                (era + "\n" + String.join("\n", new TreeSet<>(ids))).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Whether a process that has seen one founding may go on with another: the same one, or one of a later era. For those
     * too that only hold sessions.
     *
     * @param seenGroup null if none was seen
     */
    public static boolean accepts(long seenEra, UUID seenGroup, long era, UUID group) {
        return seenGroup == null || era > seenEra || era == seenEra && seenGroup.equals(group);
    }

    /**
     * What to do now; asked again with each introduction.
     *
     * @param self what this voter says of itself: blank if its folder's group is of an earlier era than the operator's
     * @param listed names of the voters that the operator lists
     * @param folderEra the era of the group in its folder, 0 for none
     * @param heard the newest introduction of each other listed voter, any order; each the answer to a question that was
     *     asked after this start: what was said before it may have been said to a folder that is lost
     */
    public static Step decide(
            Introduction self, Collection<String> listed, long folderEra, Collection<Introduction> heard) {
        if (!listed.contains(self.name())) {
            return new Step.Refuse("not listed as a voter");
        }
        if (folderEra > self.era()) {
            return new Step.Refuse("era " + self.era() + " is lower than " + folderEra + " in the folder");
        }
        Map<String, Introduction> others = new TreeMap<>();
        UUID group = self.blank() ? null : self.groupId();
        for (Introduction other : heard) {
            if (other.name().equals(self.name()) || !listed.contains(other.name())) {
                continue;
            }
            others.put(other.name(), other);
            // A blank one's higher era founds nothing without this voter, so only groups count: one wrong file stops
            // nobody.
            if (!other.blank() && other.era() > self.era()) {
                return new Step.Refuse("era " + self.era() + " is lower than " + other.era() + " of " + other.name());
            }
            if (!other.blank() && other.era() == self.era()) {
                if (group != null && !group.equals(other.groupId())) {
                    return new Step.Refuse("two foundings of era " + self.era() + ", one with " + other.name());
                }
                group = other.groupId();
            }
        }
        return group == null ? found(self, listed, others) : member(self, group, others.values());
    }

    private static Step found(Introduction self, Collection<String> listed, Map<String, Introduction> others) {
        TreeSet<String> ids = new TreeSet<>(List.of(self.id()));
        for (String name : new TreeSet<>(listed)) {
            if (name.equals(self.name())) {
                continue;
            }
            Introduction other = others.get(name);
            if (other == null || other.era() != self.era()) {
                return new Step.Wait(other == null ? "not heard of " + name : name + " is of era " + other.era());
            }
            ids.add(other.id());
        }
        UUID group = group(self.era(), ids);
        if (!group.equals(self.groupId())) {
            return new Step.Offer(group, List.copyOf(ids));
        }
        for (Introduction other : others.values()) {
            // Where lists of voters differ, offers do.
            if (!group.equals(other.groupId())) {
                return new Step.Wait(
                        other.name() + " offers " + (other.groupId() == null ? "nothing yet" : other.memberIds()));
            }
        }
        return new Step.Found(group, List.copyOf(ids));
    }

    private static Step member(Introduction self, UUID group, Collection<Introduction> others) {
        String old = null;
        boolean heard = false;
        for (Introduction other : others) {
            if (other.blank() || !group.equals(other.groupId())) {
                continue;
            }
            heard = true;
            if (other.memberIds().contains(self.id())) {
                // A blank one is a founder that had not begun, or was taken in and has not heard: it has voted nowhere.
                return self.blank() ? new Step.Found(group, other.memberIds()) : new Step.GoOn(group);
            }
            for (String id : other.memberIds()) {
                old = name(id).equals(self.name()) ? id : old;
            }
        }
        return heard ? new Step.AskToReplace(group, old, self.id()) : new Step.GoOn(group);
    }

    /**
     * Whether a group may take a new id in, in the place of an old one or (null) beside the others.
     *
     * @param memberIds of the group as it is
     * @param there ids of members that are heard of now, the one that decides included
     * @param changing whether a change of voters is under way
     * @param listed names that the operator lists now
     */
    public static Answer mayChange(
            Collection<String> memberIds,
            Collection<String> there,
            boolean changing,
            Collection<String> listed,
            String oldId,
            String newId) {
        Set<String> rest = new HashSet<>(memberIds);
        if (rest.contains(newId)) {
            return Answer.ALREADY;
        }
        String name = name(newId);
        boolean other = memberIds.stream().anyMatch(id -> name(id).equals(name) && !id.equals(oldId));
        if (!listed.contains(name)
                || other
                || oldId != null && (!rest.contains(oldId) || !name(oldId).equals(name))) {
            return Answer.NOT_ITS_PLACE;
        }
        if (oldId != null && there.contains(oldId)) {
            return Answer.OLD_IS_THERE;
        }
        if (changing) {
            return Answer.CHANGING;
        }
        rest.retainAll(new HashSet<>(there));
        return rest.size() > memberIds.size() / 2 ? Answer.YES : Answer.NO_MAJORITY;
    }
}
