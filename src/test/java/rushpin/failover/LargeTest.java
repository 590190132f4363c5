package rushpin.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import rushpin.accord.Picture;
import rushpin.accord.Plan;
import rushpin.failover.Scene.Ends;

/** 1,000 processes in 50 zones of 10 regions, four classes. */
class LargeTest {
    @Test
    void aThousandProcessesArePlanned() {
        List<List<String>> regions = new ArrayList<>();
        for (int r = 0; r < 10; r++) {
            List<String> zones = new ArrayList<>();
            for (int z = 0; z < 5; z++) {
                zones.add("region-" + r + "-zone-" + z);
            }
            regions.add(zones);
        }
        Scene scene =
                new Scene(Limits.USUAL.bearing(400_000), 20, 100, List.of("book", "cancel", "look", "track"), regions);
        scene.warm.replaceAll((zone, warm) -> 40_000L);
        String dead = "region-3-zone-2", half = "region-5-zone-0", cut = "region-7-zone-1";
        Scene.Nature fault = (from, to, of) ->
                to.equals(dead) || to.equals(half) && of.equals("book") || to.equals(cut) && from.equals(cut)
                        ? Ends.DEAD
                        : Ends.WELL;
        scene.turns(10, (from, to, of) -> Ends.WELL);
        int calm = scene.moves;
        scene.turns(15, fault);
        assertTrue(
                scene.part(dead, dead) <= 10 && scene.part(cut, cut) <= 10,
                () -> scene.plan.marks().toString());
        assertTrue(Fallback.part(scene.plan, half, "book", half) <= 10 && scene.part(half, half) > 980);
        for (String zone : scene.geography.zones()) {
            assertTrue(List.of(dead, half, cut).contains(zone) || scene.part(zone, zone) > 980, zone);
        }
        int faulty = scene.moves;
        scene.turns(60, (from, to, of) -> Ends.WELL);
        scene.geography.zones().forEach(zone -> assertTrue(scene.part(zone, zone) > 980, zone));
        assertEquals(1, calm);
        long began = System.nanoTime();
        Picture picture = scene.evidence.picture(scene.now);
        long seen = System.nanoTime();
        Planner.next(
                Plan.NONE,
                scene.learned.sight(picture, scene.limits, scene.now),
                scene.geography,
                scene.limits,
                scene.now);
        long end = System.nanoTime();
        System.out.printf(
                Locale.ROOT,
                "1,000 processes, 50 zones: picture %.1f ms, plan %.1f ms, %d plans in a fault of 15 s,"
                        + " %d on the way back, %d ways, %d marks%n",
                (seen - began) / 1e6,
                (end - seen) / 1e6,
                faulty - calm,
                scene.moves - faulty,
                scene.plan.ways().size(),
                scene.plan.marks().size());
    }
}
