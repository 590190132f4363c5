package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The parts of a process's descriptors. */
class DescriptorsTest {
    @Property
    void allPartsAtTheirBoundsFit(@ForAll @IntRange(min = 90, max = 100_000) int all) {
        Descriptors parts = Descriptors.of(all);
        int own = all - parts.clients() - parts.servers();
        assertTrue(own >= 44 && own >= all / 8, all + ": " + parts);
        assertTrue(own <= Math.max(44, all / 8) + 2, "nothing lies idle: " + all + ": " + parts);
    }

    @Test
    void largeAndTinyOnes() {
        assertEquals(new Descriptors(512, 384), Descriptors.of(1_024));
        assertEquals(new Descriptors(84, 63), Descriptors.of(192));
        assertEquals(new Descriptors(8, 16), Descriptors.of(16));
    }
}
