package rushpin.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Shares and their lender with delayed messages, as between threads. */
class LenderPropertiesTest {
    /** A pool's share and the two message queues between it and the lender. */
    private static final class Borrower {
        final String name;
        final ArrayDeque<Runnable> toLender = new ArrayDeque<>();
        final ArrayDeque<Runnable> toShare = new ArrayDeque<>();
        final Share share;
        long guaranteed;

        Borrower(String name, Lender lender, long guaranteed) {
            this.name = name;
            this.guaranteed = guaranteed;
            share = new Share(guaranteed, new Share.Port() {
                @Override
                public void request(long units) {
                    toLender.add(() -> lender.request(name, units));
                }

                @Override
                public void giveBack(long units) {
                    toLender.add(() -> lender.giveBack(name, units));
                }
            });
            reserve(lender, guaranteed);
        }

        void reserve(Lender lender, long units) {
            guaranteed = units;
            toShare.add(() -> share.setGuarantee(units));
            lender.reserve(name, units, new Lender.Port() {
                @Override
                public void grant(long granted) {
                    toShare.add(() -> share.granted(granted));
                }

                @Override
                public void recall(long wanted) {
                    toShare.add(() -> share.recall(wanted));
                }
            });
        }

        void deliver(ArrayDeque<Runnable> messages) {
            Runnable next = messages.poll();
            if (next != null) {
                next.run();
            }
        }
    }

    private static void deliverAll(List<Borrower> all) {
        boolean more = true;
        while (more) {
            more = false;
            for (Borrower borrower : all) {
                while (!borrower.toLender.isEmpty() || !borrower.toShare.isEmpty()) {
                    more = true;
                    borrower.deliver(borrower.toLender);
                    borrower.deliver(borrower.toShare);
                }
            }
        }
    }

    @Property
    void useNeverExceedsTheTotalAndGuaranteesAreAlwaysServed(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5) int pools,
            @ForAll @IntRange(min = 0, max = 40) int rest) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Borrower> all = new ArrayList<>();
        long[] guaranteed = random.longs(pools, 1, 20).toArray();
        long total = rest;
        for (long one : guaranteed) {
            total += one;
        }
        Lender lender = new Lender(total);
        for (int i = 0; i < pools; i++) {
            all.add(new Borrower("p" + i, lender, guaranteed[i]));
        }
        deliverAll(all);
        for (int step = 0; step < 400; step++) {
            Borrower borrower = all.get(random.nextInt(pools));
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    long units = random.nextLong(1, 4);
                    boolean guaranteedUnit = borrower.share.used() + units <= borrower.guaranteed;
                    boolean acquired = borrower.share.tryAcquire(units);
                    assertTrue(
                            acquired || !guaranteedUnit,
                            "seed " + seed + ": a guaranteed unit was not served at step " + step);
                }
                case 2 -> {
                    if (borrower.share.used() > 0) {
                        borrower.share.release(random.nextLong(1, borrower.share.used() + 1));
                    }
                }
                case 3 -> borrower.deliver(borrower.toLender);
                case 4 -> borrower.deliver(borrower.toShare);
                default -> borrower.share.returnSpare();
            }
            long used = all.stream().mapToLong(each -> each.share.used()).sum();
            assertTrue(used <= total, "seed " + seed + ": " + used + " of " + total + " in use at step " + step);
            assertTrue(lender.granted() <= total, "seed " + seed + ": granted " + lender.granted());
        }
        // After everything is released and given back, one pool alone can borrow the whole rest.
        all.forEach(each -> each.share.release(each.share.used()));
        for (int i = 0; i < 50; i++) {
            deliverAll(all);
            all.forEach(each -> each.share.returnSpare());
        }
        Borrower first = all.get(0);
        long max = first.guaranteed + rest;
        for (int i = 0; i < 200 && first.share.used() < max; i++) {
            first.share.tryAcquire(1);
            deliverAll(all);
        }
        assertTrue(
                first.share.used() >= first.guaranteed + rest / 2,
                "seed " + seed + ": only " + first.share.used() + " of " + max
                        + " units were granted to the only pool that requests some");
    }

    @Test
    void lentUnitsAreRecalledForAPoolWithASmallerLoan() {
        Lender lender = new Lender(20);
        Borrower borrowing = new Borrower("borrowing", lender, 5);
        Borrower requesting = new Borrower("requesting", lender, 5);
        List<Borrower> all = List.of(borrowing, requesting);
        deliverAll(all);
        for (int i = 0; i < 40; i++) {
            borrowing.share.tryAcquire(1);
            deliverAll(all);
        }
        assertEquals(15, borrowing.share.used(), "its guarantee and the whole rest");
        for (int i = 0; i < 5; i++) {
            assertTrue(requesting.share.tryAcquire(1), "the guarantee was never lent");
        }
        deliverAll(all);
        boolean beyond = requesting.share.tryAcquire(1);
        deliverAll(all);
        assertEquals(false, beyond);
        assertTrue(borrowing.share.owed() > 0, "a part of the loan is recalled");
        borrowing.share.release(6);
        deliverAll(all);
        assertTrue(requesting.share.tryAcquire(1), "recalled units are lent to the requesting pool");
        assertEquals(9, borrowing.share.used());
    }

    @Test
    void aNewPoolsGuaranteeIsFilledBeforeAnyLoan() {
        Lender lender = new Lender(10);
        Borrower old = new Borrower("old", lender, 2);
        deliverAll(List.of(old));
        for (int i = 0; i < 20; i++) {
            old.share.tryAcquire(1);
            deliverAll(List.of(old));
        }
        assertEquals(10, old.share.used());
        Borrower added = new Borrower("added", lender, 6);
        List<Borrower> all = List.of(old, added);
        deliverAll(all);
        assertEquals(0, added.share.held());
        old.share.release(3);
        deliverAll(all);
        assertEquals(3, added.share.held());
        old.share.release(5);
        deliverAll(all);
        assertEquals(6, added.share.held());
        lender.remove("added");
        for (int i = 0; i < 20; i++) {
            old.share.tryAcquire(1);
            deliverAll(List.of(old));
        }
        assertEquals(10, old.share.used(), "units of a removed pool can be lent again");
    }

    @Test
    void aReducedTotalIsReachedAsUnitsAreGivenBack() {
        Lender lender = new Lender(10);
        Borrower borrower = new Borrower("one", lender, 2);
        List<Borrower> all = List.of(borrower);
        deliverAll(all);
        for (int i = 0; i < 20; i++) {
            borrower.share.tryAcquire(1);
            deliverAll(all);
        }
        lender.resize(4);
        deliverAll(all);
        borrower.share.release(10);
        deliverAll(all);
        for (int i = 0; i < 20; i++) {
            borrower.share.tryAcquire(1);
            deliverAll(all);
        }
        assertEquals(4, borrower.share.used());
    }
}
