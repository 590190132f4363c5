package rushpin.accord.log;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a disk is held to hang. */
class HangTest {
    private final Hang hang = new Hang(3);

    @Test
    void entriesThatWaitTooLongAreAHangUntilTheyAreStored() {
        hang.seen(5, 4);
        hang.seen(9, 4);
        assertFalse(hang.hangs());
        hang.seen(12, 4);
        assertTrue(hang.hangs());
        hang.seen(12, 5);
        assertFalse(hang.hangs());
    }

    @Test
    void aBusyDiskThatStoresIsNone() {
        for (int i = 0; i < 100; i++) {
            hang.seen(i + 2, i);
        }
        assertFalse(hang.hangs());
    }

    @Test
    void whatANewLeaderCutNeedsNoStoring() {
        hang.seen(30, 10);
        for (int i = 0; i < 10; i++) {
            hang.seen(12, 12);
        }
        assertFalse(hang.hangs());
    }

    @Test
    void silenceIsAHang() {
        for (int i = 0; i < 3; i++) {
            assertFalse(hang.hangs());
            hang.silent();
        }
        assertTrue(hang.hangs());
        hang.seen(1, 1);
        assertFalse(hang.hangs());
    }
}
