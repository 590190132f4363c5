package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rushpin.failover.Geography.Region;
import rushpin.failover.Spill.Health;

/** Figures of the published rule: overprovisioning 1.4, panic below half. */
class SpillTest {
    private static final Geography PLACES =
            new Geography(List.of(new Region("r", List.of("a", "b")), new Region("s", List.of("c"))));

    private static Map<String, Double> parts(int a, int b, int c) {
        return Spill.parts(
                "a", PLACES, Map.of("a", new Health(100, a), "b", new Health(100, b), "c", new Health(100, c)));
    }

    private static void are(Map<String, Double> parts, double a, double b, double c) {
        assertEquals(a, parts.getOrDefault("a", 0.0), 1e-9);
        assertEquals(b, parts.getOrDefault("b", 0.0), 1e-9);
        assertEquals(c, parts.getOrDefault("c", 0.0), 1e-9);
    }

    @Test
    void aLevelTakesItsHealthyPartTimesTheFactor() {
        are(parts(72, 100, 100), 1, 0, 0);
        are(parts(50, 100, 100), 0.7, 0.3, 0);
        are(parts(25, 25, 100), 0.35, 0.35, 0.3);
        are(parts(0, 0, 100), 0, 0, 1);
    }

    @Test
    void whereAllAreTooFewTheyAreTakenUpInProportion() {
        are(parts(25, 25, 0), 0.5, 0.5, 0);
    }
}
