package rushpin.failover;

import rushpin.accord.Plan;

/**
 * What is taken for what, and how fast. Parts are thousandths, spans nanoseconds.
 *
 * @param dead a zone is dead if as much of what is sent there fails
 * @param bad it fails in part if as much does, as one does that has too much to do
 * @param well it is well again if no more fails or is slow
 * @param slow it is slow if as much is slow
 * @param left the part of the zones that may be left at once; one of two or three in any case
 * @param reserve what stays unused of what servers are known to bear
 * @param growth what a target may get, of the most that servers were seen to bear; over {@link Plan#WHOLE}
 * @param perServer what a warm server is known to bear, requests in 1,000 s; 0 if that is to be learned
 * @param hold how long a zone that was left has to wait before traffic comes back, and what is doubled with each relapse
 * @param doublings how often it is doubled at most
 * @param step how long each step back takes, and each step of a slow zone
 * @param look the part of what enters in a zone that looks at each of some others, so that they are seen
 * @param looks at how many
 * @param least a plan that differs by less is not worth one
 */
public record Limits(
        int dead,
        int bad,
        int well,
        int slow,
        int left,
        int reserve,
        int growth,
        long perServer,
        long hold,
        int doublings,
        long step,
        int look,
        int looks,
        int least) {
    private static final long SECOND = 1_000_000_000L;

    /** As they stand without a word of the operator. */
    public static final Limits USUAL =
            new Limits(700, 300, 100, 500, 340, 100, 1_300, 0, 10 * SECOND, 6, 5 * SECOND, 2, 4, 30);

    /** Steps back of a mark: from nothing to the whole. */
    static final int STEPS_UP = 4;
    /** Steps down of a mark between two ways back. */
    static final int STEPS_DOWN = 6;

    /** With what a warm server is known to bear, requests in 1,000 s. */
    public Limits bearing(long perServer) {
        return new Limits(
                dead, bad, well, slow, left, reserve, growth, perServer, hold, doublings, step, look, looks, least);
    }

    /** With what an operator says of them. */
    public Limits with(int left, int reserve, long hold, long step) {
        return new Limits(
                dead, bad, well, slow, left, reserve, growth, perServer, hold, doublings, step, look, looks, least);
    }

    /** How long a zone waits after that many relapses. */
    long wait(int relapses) {
        return hold << Math.min(relapses, doublings);
    }

    /** How long a zone has to be whole before a relapse is forgotten. */
    long forget() {
        return wait(doublings);
    }

    /** How many of so many zones may be left at once. */
    int left(int zones) {
        return zones < 2 ? 0 : Math.max(1, zones * left / Plan.WHOLE);
    }

    /** How often traffic to a zone can change by one mark in a span of log time, whatever that zone does. */
    public int mostMoves(long span) {
        int cycles = 1;
        long spent = 0;
        while ((spent += wait(cycles - 1)) <= span) {
            cycles++;
        }
        return cycles * (STEPS_UP + STEPS_DOWN);
    }
}
