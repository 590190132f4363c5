package rushpin.peer;

import java.util.List;

/**
 * What a voter says of itself before there is a fleet.
 *
 * @param id drawn by chance when its folder was made
 * @param blank whether its folder holds no log
 * @param era the operator's number of the founding
 * @param group the group that its log is of, or null
 * @param members ids of the voters of that group
 */
public record Introduced(String name, String id, boolean blank, long era, String group, List<String> members) {
    /** Copies. */
    public Introduced {
        members = List.copyOf(members);
    }
}
