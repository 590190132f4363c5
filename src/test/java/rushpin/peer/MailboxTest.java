package rushpin.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class MailboxTest {
    /** Even ones stand for themselves; odd ones are of three kinds of which the newest counts. */
    private static Integer kind(int message) {
        return message % 2 == 0 ? null : message % 3;
    }

    /** Step by step against a plain list: what is taken, replaced, refused, and the order. */
    @Property
    void doesAsAPlainListDoes(
            @ForAll @Size(max = 200) List<@IntRange(min = -1, max = 50) Integer> steps,
            @ForAll @IntRange(min = 1, max = 5) int most) {
        ArrayDeque<Runnable> turns = new ArrayDeque<>();
        List<Integer> read = new ArrayList<>(), unread = new ArrayList<>();
        Mailbox<Integer> mailbox = new Mailbox<>(most, MailboxTest::kind, turns::add, read::add, unread::add);
        List<Integer> list = new ArrayList<>(), listRead = new ArrayList<>(), listUnread = new ArrayList<>();
        for (int step : steps) {
            if (step < 0) {
                while (!turns.isEmpty()) {
                    turns.poll().run();
                }
                listRead.addAll(list);
                list.clear();
            } else if (kind(step) != null) {
                int same = -1;
                for (int i = 0; i < list.size(); i++) {
                    same = kind(step).equals(kind(list.get(i))) ? i : same;
                }
                if (same >= 0) {
                    listUnread.add(list.set(same, step));
                } else {
                    list.add(step);
                }
                assertEquals(same >= 0 ? Mailbox.Offer.REPLACED_OLDER : Mailbox.Offer.TAKEN, mailbox.offer(step));
            } else {
                boolean full = list.stream().filter(each -> kind(each) == null).count() >= most;
                if (!full) {
                    list.add(step);
                }
                assertEquals(full ? Mailbox.Offer.FULL : Mailbox.Offer.TAKEN, mailbox.offer(step));
            }
            assertEquals(listRead, read);
            assertEquals(listUnread, unread);
        }
        mailbox.close();
        listUnread.addAll(list);
        assertEquals(listUnread, unread);
        assertEquals(Mailbox.Offer.CLOSED, mailbox.offer(0));
    }

    /** Four senders at once and an end at any moment: each message has one end, and a sender's come in order. */
    @Property(tries = 40)
    void eachMessageHasOneEnd(@ForAll long seed) throws InterruptedException {
        int senders = 4, each = 500;
        ExecutorService reading = Executors.newSingleThreadExecutor();
        List<Integer> read = new ArrayList<>();
        ConcurrentLinkedQueue<Integer> unread = new ConcurrentLinkedQueue<>(), refused = new ConcurrentLinkedQueue<>();
        AtomicInteger inside = new AtomicInteger(), most = new AtomicInteger();
        Mailbox<Integer> mailbox = new Mailbox<>(
                8,
                MailboxTest::kind,
                reading,
                message -> {
                    most.accumulateAndGet(inside.incrementAndGet(), Math::max);
                    read.add(message);
                    inside.decrementAndGet();
                },
                unread::add);
        CountDownLatch begin = new CountDownLatch(1);
        List<Thread> threads = new ArrayList<>();
        for (int s = 0; s < senders; s++) {
            int sender = s;
            Thread thread = new Thread(() -> {
                try {
                    begin.await();
                } catch (InterruptedException e) {
                    return;
                }
                SplittableRandom random = new SplittableRandom(seed + sender);
                for (int i = 0; i < each; i++) {
                    int message = sender * each + i;
                    switch (mailbox.offer(message)) {
                        case FULL, CLOSED -> refused.add(message);
                        default -> {}
                    }
                    if (sender == 0 && i == each / 2 && random.nextInt(4) == 0) {
                        mailbox.close();
                    }
                    if (random.nextInt(8) == 0) {
                        Thread.yield();
                    }
                }
            });
            threads.add(thread);
            thread.start();
        }
        begin.countDown();
        for (Thread thread : threads) {
            thread.join();
        }
        CountDownLatch drained = new CountDownLatch(1);
        // Behind the turn that goes on, and behind one that it has put off.
        reading.execute(() -> reading.execute(drained::countDown));
        assertTrue(drained.await(20, TimeUnit.SECONDS), "seed " + seed);
        mailbox.close();
        reading.shutdown();
        assertTrue(reading.awaitTermination(20, TimeUnit.SECONDS), "seed " + seed);
        List<Integer> ends = new ArrayList<>(read);
        ends.addAll(unread);
        ends.addAll(refused);
        assertEquals(senders * each, ends.size(), "seed " + seed);
        assertEquals(senders * each, new HashSet<>(ends).size(), "seed " + seed);
        assertTrue(most.get() <= 1, "seed " + seed);
        Map<Integer, Integer> last = new HashMap<>();
        for (int message : read) {
            if (kind(message) == null) {
                Integer before = last.put(message / each, message);
                assertTrue(before == null || before < message, "seed " + seed);
            }
        }
    }

    @Example
    void aReaderThatFailsEndsThatMessageAlone() {
        ArrayDeque<Runnable> turns = new ArrayDeque<>();
        List<Integer> read = new ArrayList<>();
        Mailbox<Integer> mailbox = new Mailbox<>(
                8,
                MailboxTest::kind,
                turns::add,
                message -> {
                    read.add(message);
                    throw new IllegalStateException("on purpose");
                },
                message -> {});
        mailbox.offer(2);
        mailbox.offer(4);
        turns.poll().run();
        assertEquals(List.of(2, 4), read);
    }

    @Example
    void anExecutorThatHasEndedEndsTheMailbox() {
        ExecutorService over = Executors.newSingleThreadExecutor();
        over.shutdown();
        Set<Integer> unread = new HashSet<>();
        Mailbox<Integer> mailbox = new Mailbox<>(8, MailboxTest::kind, over, message -> {}, unread::add);
        assertEquals(Mailbox.Offer.TAKEN, mailbox.offer(2));
        assertEquals(Set.of(2), unread);
        assertEquals(Mailbox.Offer.CLOSED, mailbox.offer(4));
    }
}
