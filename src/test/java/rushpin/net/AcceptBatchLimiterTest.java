package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How many connections are taken in one go. */
class AcceptBatchLimiterTest {
    /** Whoever asks takes one; then as many as there are places, no more than the loop's other sockets can wait for. */
    @ParameterizedTest
    @CsvSource({"-3,1", "0,1", "1,1", "2,2", "15,15", "16,16", "500,16"})
    void asManyAsThereArePlaces(int places, int taken) {
        EmbeddedChannel channel = new EmbeddedChannel();
        RecvByteBufAllocator.Handle handle = new AcceptBatchLimiter(() -> places).newHandle();
        handle.reset(channel.config());
        int count = 0;
        do {
            handle.incMessagesRead(1);
            count++;
        } while (count < 100 && handle.continueReading());
        assertEquals(taken, count);
        channel.config().setAutoRead(false);
        handle.reset(channel.config());
        assertEquals(false, handle.continueReading(), "the bound was met in the middle");
        channel.close();
    }
}
