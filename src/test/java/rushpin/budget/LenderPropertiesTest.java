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

/** Shares and their lender with messages that take their time, as between threads. */
class LenderPropertiesTest {
    /** A pool's share and the two lines of messages between it and the lender. */
    private static final class Borrower {
        final String name;
        final ArrayDeque<Runnable> toLender = new ArrayDeque<>(), toShare = new ArrayDeque<>();
        final Share share;
        long guaranteed;

        Borrower(String name, Lender lender, long guaranteed) {
            this.name = name;
            this.guaranteed = guaranteed;
            share = new Share(guaranteed, new Share.OperatorState() {
                @Override
                public void ask(long units) {
                    toLender.add(() -> lender.ask(name, units));
                }

                @Override
                public void back(long units) {
                    toLender.add(() -> lender.back(name, units));
                }
            });
            reserve(lender, guaranteed);
        }

        void reserve(Lender lender, long units) {
            guaranteed = units;
            toShare.add(() -> share.guarantee(units));
            lender.reserve(name, units, new Lender.Port() {
                @Override
                public void hand(long handed) {
                    toShare.add(() -> share.handed(handed));
                }

                @Override
                public void recall(long wanted) {
                    toShare.add(() -> share.recalled(wanted));
                }
            });
        }

        void deliver(ArrayDeque<Runnable> line) {
            Runnable next = line.poll();
            if (next != null) {
                next.run();
            }
        }
    }

    private static void deliverAll(List<Borrower> all) {
        boolean more = true;
        while (more) {
            more = false;
            for (Borrower one : all) {
                while (!one.toLender.isEmpty() || !one.toShare.isEmpty()) {
                    more = true;
                    one.deliver(one.toLender);
                    one.deliver(one.toShare);
                }
            }
        }
    }

    @Property
    void useNeverExceedsTheTotalAndAGuaranteeIsAlwaysServed(
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
            Borrower one = all.get(random.nextInt(pools));
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    long units = random.nextLong(1, 4);
                    boolean due = one.share.used() + units <= one.guaranteed;
                    boolean got = one.share.take(units);
                    assertTrue(got || !due, "seed " + seed + ": a guaranteed unit was not served at step " + step);
                }
                case 2 -> {
                    if (one.share.used() > 0) {
                        one.share.give(random.nextLong(1, one.share.used() + 1));
                    }
                }
                case 3 -> one.deliver(one.toLender);
                case 4 -> one.deliver(one.toShare);
                default -> one.share.sweep();
            }
            long used = all.stream().mapToLong(each -> each.share.used()).sum();
            assertTrue(used <= total, "seed " + seed + ": " + used + " of " + total + " in use at step " + step);
            assertTrue(lender.handedOut() <= total, "seed " + seed + ": handed out " + lender.handedOut());
        }
        // When all is given back and swept, one pool alone can have the whole rest.
        all.forEach(each -> each.share.give(each.share.used()));
        for (int i = 0; i < 50; i++) {
            deliverAll(all);
            all.forEach(each -> each.share.sweep());
        }
        Borrower first = all.get(0);
        long most = first.guaranteed + rest;
        for (int i = 0; i < 200 && first.share.used() < most; i++) {
            first.share.take(1);
            deliverAll(all);
        }
        assertTrue(
                first.share.used() >= first.guaranteed + rest / 2,
                "seed " + seed + ": only " + first.share.used() + " of " + most
                        + " came to the one pool that wants some");
    }

    @Test
    void lentUnitsComeBackToWhoHasFewer() {
        Lender lender = new Lender(20);
        Borrower rich = new Borrower("rich", lender, 5), poor = new Borrower("poor", lender, 5);
        List<Borrower> all = List.of(rich, poor);
        deliverAll(all);
        for (int i = 0; i < 40; i++) {
            rich.share.take(1);
            deliverAll(all);
        }
        assertEquals(15, rich.share.used(), "its own and the whole rest");
        for (int i = 0; i < 5; i++) {
            assertTrue(poor.share.take(1), "the guarantee was never lent");
        }
        deliverAll(all);
        boolean beyond = poor.share.take(1);
        deliverAll(all);
        assertEquals(false, beyond);
        assertTrue(rich.share.owed() > 0, "a part of the loan is called back");
        rich.share.give(6);
        deliverAll(all);
        assertTrue(poor.share.take(1), "and goes to who wants it");
        assertEquals(9, rich.share.used());
    }

    @Test
    void aNewPoolsGuaranteeIsFilledBeforeAnyLoan() {
        Lender lender = new Lender(10);
        Borrower old = new Borrower("old", lender, 2);
        deliverAll(List.of(old));
        for (int i = 0; i < 20; i++) {
            old.share.take(1);
            deliverAll(List.of(old));
        }
        assertEquals(10, old.share.used());
        Borrower fresh = new Borrower("fresh", lender, 6);
        List<Borrower> all = List.of(old, fresh);
        deliverAll(all);
        assertEquals(0, fresh.share.held());
        old.share.give(3);
        deliverAll(all);
        assertEquals(3, fresh.share.held());
        old.share.give(5);
        deliverAll(all);
        assertEquals(6, fresh.share.held());
        lender.leave("fresh");
        for (int i = 0; i < 20; i++) {
            old.share.take(1);
            deliverAll(List.of(old));
        }
        assertEquals(10, old.share.used(), "what a pool had that has ended can be lent again");
    }

    @Test
    void aSmallerTotalIsReachedAsUnitsComeBack() {
        Lender lender = new Lender(10);
        Borrower one = new Borrower("one", lender, 2);
        List<Borrower> all = List.of(one);
        deliverAll(all);
        for (int i = 0; i < 20; i++) {
            one.share.take(1);
            deliverAll(all);
        }
        lender.resize(4);
        deliverAll(all);
        one.share.give(10);
        deliverAll(all);
        for (int i = 0; i < 20; i++) {
            one.share.take(1);
            deliverAll(all);
        }
        assertEquals(4, one.share.used());
    }
}
