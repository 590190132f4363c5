package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rushpin.accord.Plan;

class NearTest {
    private static Plan.Way stays(String zone) {
        return new Plan.Way(zone, List.of(new Plan.Part(zone, 1_000)));
    }

    @Test
    void eachZoneKeepsWhatEntersThere() {
        assertEquals(List.of(stays("a"), stays("b")), Near.ways(List.of("b", "a", "b")));
        assertEquals(
                Plan.MOST_ZONES,
                Near.ways(IntStream.range(0, 100).mapToObj(i -> "z" + i).toList())
                        .size());
    }

    @Test
    void isSaidAnewWhenZonesOrThePlannerChangeAndElseNot() {
        assertTrue(Near.next(Plan.NONE, 7, List.of()).isEmpty(), "no zones, no plan");
        assertEquals(Optional.of(List.of(stays("a"))), Near.next(Plan.NONE, 7, List.of("a")));
        Plan inForce = new Plan(3, 7, List.of(stays("a"), stays("b")));
        assertTrue(Near.next(inForce, 7, List.of("b", "a")).isEmpty());
        assertEquals(Optional.of(List.of(stays("a"))), Near.next(inForce, 7, List.of("a")));
        assertEquals(Optional.of(inForce.ways()), Near.next(inForce, 9, List.of("a", "b")));
    }
}
