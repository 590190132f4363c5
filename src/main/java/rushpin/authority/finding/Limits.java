package rushpin.authority.finding;

/**
 * What is hot, what a move is worth, and how fast. Heat and load are weights a second ({@link Finder#LOOK}), spans nanoseconds
 * of log time.
 *
 * @param hot from so much heat on an object is held
 * @param cool below so much it is given up
 * @param most objects held at most; {@link Assignment#MOST} at most
 * @param mostEach objects at one process
 * @param fill thousandths of a process's room that are filled; what it holds beyond the whole leaves it
 * @param steps objects that change with one assignment
 * @param slowSteps objects that one slow or overfull process loses with one assignment
 * @param slowPart thousandths of the processes that may be taken for slow; with more the observers are suspect
 * @param calm between two assignments
 * @param stay for so long an object stays where it is, unless its holder is gone, slow or overfull; what a move gains counts
 *     for as long
 * @param pause for so long an object's requests wait when it moves
 */
public record Limits(
        long hot,
        long cool,
        int most,
        int mostEach,
        int fill,
        int steps,
        int slowSteps,
        int slowPart,
        long calm,
        long stay,
        long pause) {
    private static final long SECOND = 1_000_000_000L;
    static final int WHOLE = 1_000;
    /** How far it is to another zone of the region, and to another region. */
    static final int NEAR = 1, FAR = 4;

    /** As they stand without a word of the operator. */
    public static final Limits USUAL = new Limits(50, 12, 512, 64, 750, 32, 4, 334, SECOND, 30 * SECOND, SECOND);

    /** Throws where one can't be. */
    public Limits {
        if (cool <= 0
                || cool >= hot
                || most < 1
                || most > Assignment.MOST
                || mostEach < 1
                || fill < 1
                || fill > WHOLE
                || steps < 2
                || slowSteps < 1
                || calm <= 0
                || stay < calm
                || pause < 0) {
            throw new IllegalArgumentException(
                    "limits of hot objects can't be these: " + hot + " " + cool + " " + most);
        }
    }

    /** Whether what a move gains a second, in load times distance, is worth it. */
    boolean isWorth(double gain, long load) {
        return gain > 0 && gain * stay >= (double) FAR * load * pause;
    }

    static int distance(String zone, String region, Sight.Edge to) {
        return zone.equals(to.zone()) ? 0 : !region.isEmpty() && region.equals(to.region()) ? NEAR : FAR;
    }
}
