package rushpin.accord;

/**
 * A process that holds a session.
 *
 * @param name the same over its restarts
 * @param incarnation drawn by chance at each start
 * @param zone where it stands
 * @param region what its zone belongs to; empty if the operator names none
 * @param level the newest form of commands it understands
 */
public record Who(String name, long incarnation, String zone, String region, int level) {
    /** The longest name of a process, zone, region or resource, in letters. */
    public static final int LONGEST = 100;

    /** Whether it can be a name: 1 to {@link #LONGEST} letters of a-z, A-Z, 0-9, '.', '-', '_', ':'. */
    public static boolean isName(String name) {
        if (name == null || name.isEmpty() || name.length() > LONGEST) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            char letter = name.charAt(i);
            boolean legal = letter >= 'a' && letter <= 'z'
                    || letter >= 'A' && letter <= 'Z'
                    || letter >= '0' && letter <= '9'
                    || letter == '.'
                    || letter == '-'
                    || letter == '_'
                    || letter == ':';
            if (!legal) {
                return false;
            }
        }
        return true;
    }
}
