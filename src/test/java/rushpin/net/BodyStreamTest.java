package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BodyStreamTest {
    /** Whatever the order: bytes arrive in order, what is on the way is bounded, the end comes once, all is released. */
    @Property(tries = 1_000)
    void inOrderBoundedAndReleased(@ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 99) Integer> steps) {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        List<ByteBuf> made = new ArrayList<>();
        ArrayDeque<ByteBuf> unwritten = new ArrayDeque<>();
        List<Byte> took = new ArrayList<>();
        List<Boolean> ends = new ArrayList<>();
        boolean[] go = {true};
        BodyStream.Room room = new BodyStream.Room(Long.MAX_VALUE);
        int[] stopped = {0};
        BodyStream passage = new BodyStream(
                loop,
                new BodyStream.Source() {
                    @Override
                    public void flow(boolean now) {
                        go[0] = now;
                    }

                    @Override
                    public void stopped() {
                        stopped[0]++;
                    }
                },
                loop,
                room);
        BodyStream.Sink sink = new BodyStream.Sink() {
            @Override
            public void piece(ByteBuf piece) {
                took.add(piece.getByte(piece.readerIndex()));
                unwritten.add(piece);
            }

            @Override
            public void end(boolean whole) {
                ends.add(whole);
            }
        };
        boolean attached = false, over = false, ended = false;
        int sent = 0, onTheWay = 0;
        for (int step : steps) {
            if (step < 60) {
                if (go[0] && !ended && !over) {
                    int size = 1 + step * 200;
                    ByteBuf piece = Unpooled.buffer(size).writeZero(size);
                    piece.setByte(0, sent++);
                    made.add(piece);
                    onTheWay += size;
                    passage.push(piece);
                    assertTrue(onTheWay < BodyStream.MOST + 12_000, onTheWay + " on the way after " + steps);
                    assertEquals(onTheWay < BodyStream.MOST, go[0], "after " + steps);
                }
            } else if (step < 85) {
                ByteBuf written = unwritten.poll();
                if (written != null) {
                    int size = written.readableBytes();
                    written.release();
                    onTheWay -= size;
                    passage.written(size);
                }
            } else if (step < 92) {
                if (!attached && !over) {
                    attached = true;
                    passage.attach(sink);
                }
            } else if (step < 96) {
                ended = true;
                passage.end(step % 2 == 0);
            } else {
                over = true;
                passage.stop();
            }
        }
        for (int i = 0; i < took.size(); i++) {
            assertEquals((byte) i, took.get(i), "out of order after " + steps);
        }
        assertTrue(ends.size() <= 1, "ended " + ends + " after " + steps);
        assertTrue(stopped[0] <= 1);
        assertTrue(!(ended && attached) || over || ends.size() == 1, "no end was told after " + steps);
        passage.stop();
        unwritten.forEach(ByteBuf::release);
        made.forEach(piece -> assertEquals(0, piece.refCnt(), "not released after " + steps));
    }

    private static BodyStream.Source holding(boolean[] go) {
        return new BodyStream.Source() {
            @Override
            public void flow(boolean now) {
                go[0] = now;
            }

            @Override
            public void stopped() {
                go[0] = false;
            }
        };
    }

    /** However many go through at once, all together hold what there is room for, and a read for each. */
    @Test
    void allTogetherHoldNoMoreThanTheirRoom() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        BodyStream.Room room = new BodyStream.Room(400_000);
        int total = 0;
        List<BodyStream> all = new ArrayList<>();
        List<boolean[]> may = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            boolean[] go = {true};
            all.add(new BodyStream(loop, holding(go), loop, room));
            may.add(go);
        }
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < all.size(); i++) {
                if (may.get(i)[0]) {
                    all.get(i).push(Unpooled.buffer(1_000).writeZero(1_000));
                    total += 1_000;
                }
            }
        }
        assertTrue(total <= 400_000 + 50 * 1_000, total + " on the way");
        all.forEach(BodyStream::stop);
        assertEquals(0, room.open(), "room is given back");
    }

    /** What is sent to its end and not taken yet still takes room. */
    @Test
    void roomIsGivenBackOnceAllIsTaken() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        BodyStream.Room room = new BodyStream.Room(400_000);
        BodyStream passage = new BodyStream(loop, holding(new boolean[1]), loop, room);
        passage.push(Unpooled.buffer(500).writeZero(500));
        passage.end(true);
        assertEquals(1, room.open());
        passage.written(500);
        assertEquals(0, room.open());
        passage.stop();
        assertEquals(0, room.open());
    }
}
