package rushpin.rig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import rushpin.rig.Links.Link;
import rushpin.rig.Links.Way;

/** Timed faults of links: drawn from a seed, so that a run can be played again. */
final class LinkFaults {
    /** One fault, from so many milliseconds of a run on, for so long. */
    record Fault(Link link, Way way, long fromMs, long forMs) {}

    private LinkFaults() {}

    /**
     * Spells over a run, in order of their start, each some part of a second to some seconds long; on one link never two at
     * once. After the run's end none is on.
     */
    static List<Fault> drawn(long seed, long runMs, List<Link> links, List<Way> ways) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> drawn = new ArrayList<>();
        for (Link link : links) {
            for (long at = random.nextLong(200, 4_000); at < runMs; ) {
                long span = Math.min(random.nextLong(200, 2_500), runMs - at);
                drawn.add(new Fault(link, ways.get(random.nextInt(ways.size())), at, span));
                at += span + random.nextLong(500, 6_000);
            }
        }
        drawn.sort(Comparator.comparingLong(Fault::fromMs));
        return drawn;
    }
}
