package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** How a process's descriptors are divided. */
class DescriptorsTest {
    @Property
    void allPartsAtTheirLimitsFit(@ForAll @IntRange(min = 90, max = 100_000) int total) {
        Descriptors parts = Descriptors.of(total);
        int own = total - parts.clients() - parts.servers();
        assertTrue(own >= 44 && own >= total / 8, total + ": " + parts);
        assertTrue(own <= Math.max(44, total / 8) + 2, "nothing is left unused: " + total + ": " + parts);
    }

    @Test
    void dividesLargeAndTinyNumbers() {
        assertEquals(new Descriptors(512, 384), Descriptors.of(1_024));
        assertEquals(new Descriptors(84, 63), Descriptors.of(192));
        assertEquals(new Descriptors(8, 16), Descriptors.of(16));
    }
}
