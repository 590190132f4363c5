package rushpin.net;

import io.netty.channel.ChannelConfig;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Limits how many connections a listening socket accepts in one batch: to the free connections, and to {@value
 * #MAX_BATCH}. Netty accepts up to 16 before it announces the first one, so a limit that is checked only then is
 * exceeded by up to 15.
 */
final class AcceptBatchLimiter extends DefaultMaxMessagesRecvByteBufAllocator {
    /** Netty's own limit; the loop's other sockets wait meanwhile. */
    private static final int MAX_BATCH = 16;

    private final IntSupplier freeConnections;

    /**
     * Accepts as many connections as are free when a batch begins; one at least if it is asked at all.
     *
     * @param freeConnections how many more connections may be opened
     */
    AcceptBatchLimiter(IntSupplier freeConnections) {
        this.freeConnections = freeConnections;
    }

    @Override
    @SuppressWarnings("deprecation")
    public RecvByteBufAllocator.Handle newHandle() {
        return new MaxMessageHandle() {
            private ChannelConfig config;
            private int remaining;

            @Override
            public void reset(ChannelConfig channelConfig) {
                super.reset(channelConfig);
                config = channelConfig;
                remaining = Math.min(MAX_BATCH, freeConnections.getAsInt());
            }

            @Override
            public boolean continueReading() {
                return --remaining > 0 && config.isAutoRead();
            }

            @Override
            public int guess() {
                // Connections are accepted; no bytes are read.
                return 0;
            }
        };
    }
}
