package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How many connections are accepted in one batch. */
class AcceptBatchLimiterTest {
    /** One is always accepted; then as many as may be opened, 16 at most: the loop's other sockets wait meanwhile. */
    @ParameterizedTest
    @CsvSource({"-3,1", "0,1", "1,1", "2,2", "15,15", "16,16", "500,16"})
    void acceptsAsManyAsMayBeOpened(int freeConnections, int accepted) {
        EmbeddedChannel channel = new EmbeddedChannel();
        RecvByteBufAllocator.Handle handle = new AcceptBatchLimiter(() -> freeConnections).newHandle();
        handle.reset(channel.config());
        int count = 0;
        do {
            handle.incMessagesRead(1);
            count++;
        } while (count < 100 && handle.continueReading());
        assertEquals(accepted, count);
        channel.config().setAutoRead(false);
        handle.reset(channel.config());
        assertEquals(false, handle.continueReading(), "reading was paused within a batch");
        channel.close();
    }
}
