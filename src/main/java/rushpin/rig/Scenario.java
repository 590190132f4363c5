package rushpin.rig;

import java.nio.file.Path;

/** Something that the rig plays. */
public interface Scenario {
    /**
     * How it is played.
     *
     * @param seed from which all chance is drawn
     * @param isShort whether it takes 30 s at most
     * @param other a jar of another build to compare with; null for none
     * @param flood how many times its quota a flooded pool is asked for
     * @param size how many processes decide in common where their cost is measured; 0 where it is not
     */
    record Options(long seed, boolean isShort, Path other, double flood, int size) {
        /** Without what is asked of one scenario alone. */
        public Options(long seed, boolean isShort, Path other, double flood) {
            this(seed, isShort, other, flood, 0);
        }
    }

    /** Its name on the command line. */
    String name();

    /** What it shows, in one line. */
    String line();

    /** Plays it. */
    Report play(Options options) throws Exception;
}
