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
     */
    record Options(long seed, boolean isShort, Path other) {
    }

    /** Its name on the command line. */
    String name();

    /** What it shows, in one line. */
    String line();

    /** Plays it. */
    Report play(Options options) throws Exception;
}
