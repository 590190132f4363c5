package rushpin.failover;

import java.util.Map;
import rushpin.accord.Picture;

/**
 * What a planner knows of the fleet at one moment.
 *
 * @param picture what processes say
 * @param capacity what each zone's servers can take now, requests a second; zones of which that is not known are not there
 */
public record Sight(Picture picture, Map<String, Double> capacity) {
    /** Copies. */
    public Sight {
        capacity = Map.copyOf(capacity);
    }
}
