package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Order, bounds and release of the chunks of a streamed body. */
class BodyStreamTest {
    /**
     * Whatever the order of calls: chunks arrive in order, bytes in flight are bounded, the end is announced once, all
     * chunks are released.
     */
    @Property(tries = 1_000)
    void inOrderBoundedAndReleased(@ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 99) Integer> steps) {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        List<ByteBuf> made = new ArrayList<>();
        ArrayDeque<ByteBuf> unwritten = new ArrayDeque<>();
        List<Byte> received = new ArrayList<>();
        List<Boolean> ends = new ArrayList<>();
        boolean[] go = {true};
        BodyStream.BufferBudget budget = new BodyStream.BufferBudget(Long.MAX_VALUE);
        int[] stopped = {0};
        BodyStream stream = new BodyStream(
                loop,
                new BodyStream.Source() {
                    @Override
                    public void flow(boolean on) {
                        go[0] = on;
                    }

                    @Override
                    public void stopped() {
                        stopped[0]++;
                    }
                },
                loop,
                budget);
        BodyStream.Sink sink = new BodyStream.Sink() {
            @Override
            public void piece(ByteBuf chunk) {
                received.add(chunk.getByte(chunk.readerIndex()));
                unwritten.add(chunk);
            }

            @Override
            public void end(boolean whole) {
                ends.add(whole);
            }
        };
        boolean attached = false;
        boolean stoppedByReceiver = false;
        boolean ended = false;
        int sent = 0;
        int inFlight = 0;
        for (int step : steps) {
            if (step < 60) {
                if (go[0] && !ended && !stoppedByReceiver) {
                    int size = 1 + step * 200;
                    ByteBuf chunk = Unpooled.buffer(size).writeZero(size);
                    chunk.setByte(0, sent++);
                    made.add(chunk);
                    inFlight += size + BodyStream.CHUNK_OVERHEAD_BYTES;
                    stream.push(chunk);
                    assertTrue(
                            inFlight < BodyStream.MAX_IN_FLIGHT + 12_000 + BodyStream.CHUNK_OVERHEAD_BYTES,
                            inFlight + " in flight after " + steps);
                    assertEquals(inFlight < BodyStream.MAX_IN_FLIGHT, go[0], "after " + steps);
                }
            } else if (step < 85) {
                ByteBuf written = unwritten.poll();
                if (written != null) {
                    int size = written.readableBytes();
                    written.release();
                    inFlight -= size + BodyStream.CHUNK_OVERHEAD_BYTES;
                    stream.written(size);
                }
            } else if (step < 92) {
                if (!attached && !stoppedByReceiver) {
                    attached = true;
                    stream.attach(sink);
                }
            } else if (step < 96) {
                ended = true;
                stream.end(step % 2 == 0);
            } else {
                stoppedByReceiver = true;
                stream.stop();
            }
        }
        for (int i = 0; i < received.size(); i++) {
            assertEquals((byte) i, received.get(i), "out of order after " + steps);
        }
        assertTrue(ends.size() <= 1, "ended " + ends + " after " + steps);
        assertTrue(stopped[0] <= 1);
        assertTrue(
                !(ended && attached) || stoppedByReceiver || ends.size() == 1, "no end was announced after " + steps);
        stream.stop();
        unwritten.forEach(ByteBuf::release);
        made.forEach(chunk -> assertEquals(0, chunk.refCnt(), "not released after " + steps));
    }

    private static BodyStream.Source recordingFlow(boolean[] go) {
        return new BodyStream.Source() {
            @Override
            public void flow(boolean on) {
                go[0] = on;
            }

            @Override
            public void stopped() {
                go[0] = false;
            }
        };
    }

    /** Guards against a peer that sends its body byte by byte: thousands of chunks would be kept. */
    @Test
    void chunksOfOneByteCountWithTheirOverhead() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        boolean[] go = {true};
        BodyStream stream = new BodyStream(loop, recordingFlow(go), loop, new BodyStream.BufferBudget(Long.MAX_VALUE));
        int chunks = 0;
        for (; go[0]; chunks++) {
            stream.push(Unpooled.buffer(1).writeZero(1));
        }
        assertTrue(chunks <= BodyStream.MAX_IN_FLIGHT / BodyStream.CHUNK_OVERHEAD_BYTES, chunks + " chunks");
        stream.stop();
    }

    /** However many streams there are, together they hold no more than the budget and one read each. */
    @Test
    void allStreamsTogetherStayWithinTheBudget() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        BodyStream.BufferBudget budget = new BodyStream.BufferBudget(400_000);
        int total = 0;
        List<BodyStream> all = new ArrayList<>();
        List<boolean[]> flows = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            boolean[] go = {true};
            all.add(new BodyStream(loop, recordingFlow(go), loop, budget));
            flows.add(go);
        }
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < all.size(); i++) {
                if (flows.get(i)[0]) {
                    all.get(i).push(Unpooled.buffer(1_000).writeZero(1_000));
                    total += 1_000;
                }
            }
        }
        assertTrue(total <= 400_000 + 50 * 1_000, total + " in flight");
        all.forEach(BodyStream::stop);
        assertEquals(0, budget.open(), "the budget is given back");
    }

    /** A stream that has ended uses the budget until its last chunk is written. */
    @Test
    void theBudgetIsGivenBackOnceAllIsWritten() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        BodyStream.BufferBudget budget = new BodyStream.BufferBudget(400_000);
        BodyStream stream = new BodyStream(loop, recordingFlow(new boolean[1]), loop, budget);
        stream.push(Unpooled.buffer(500).writeZero(500));
        stream.end(true);
        assertEquals(1, budget.open());
        stream.written(500);
        assertEquals(0, budget.open());
        stream.stop();
        assertEquals(0, budget.open());
    }

    /** Guards against chunks that are lost between two sinks, and against more of them than may be in flight. */
    @Test
    void chunksWithoutASinkWaitForTheNextOneWithinTheBound() {
        EventLoop loop = new EmbeddedChannel().eventLoop();
        boolean[] go = {true};
        BodyStream stream = new BodyStream(loop, recordingFlow(go), loop, new BodyStream.BufferBudget(Long.MAX_VALUE));
        List<String> events = new ArrayList<>();
        BodyStream.Sink first = recordingSink("first", events, stream);
        stream.attach(first);
        stream.detach(first);
        int chunks = 0;
        for (; go[0]; chunks++) {
            stream.push(Unpooled.buffer(1_000).writeZero(1_000));
        }
        stream.end(true);
        assertTrue(chunks <= 1 + BodyStream.MAX_IN_FLIGHT / 1_000, chunks + " chunks");
        assertEquals(List.of(), events);
        BodyStream.Sink second = recordingSink("second", events, stream);
        stream.attach(second);
        stream.detach(first);
        List<String> expected = new ArrayList<>(Collections.nCopies(chunks, "second chunk"));
        expected.add("second end");
        assertEquals(expected, events);
        assertTrue(stream.isPassedOn());
        stream.stop();
    }

    private static BodyStream.Sink recordingSink(String name, List<String> events, BodyStream stream) {
        return new BodyStream.Sink() {
            @Override
            public void piece(ByteBuf chunk) {
                events.add(name + " chunk");
                int size = chunk.readableBytes();
                chunk.release();
                stream.written(size);
            }

            @Override
            public void end(boolean whole) {
                events.add(name + " end");
            }
        };
    }
}
