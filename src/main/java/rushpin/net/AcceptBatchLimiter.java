package rushpin.net;

import io.netty.channel.ChannelConfig;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * How many connections a listening socket takes in one go: as many as there are places, {@value #MOST} at most. Netty takes up to 16 before it
 * tells of the first one, so that whoever counts them then is over its bound by 15.
 */
final class AcceptBatchLimiter extends DefaultMaxMessagesRecvByteBufAllocator {
    /** Netty's own; the loop's other sockets wait meanwhile. */
    private static final int MOST = 16;

    private final IntSupplier places;

    /** Takes so many as {@code places} says just before; one, where it is asked at all. */
    AcceptBatchLimiter(IntSupplier places) {
        this.places = places;
    }

    @Override
    @SuppressWarnings("deprecation")
    public RecvByteBufAllocator.Handle newHandle() {
        return new MaxMessageHandle() {
            private ChannelConfig config;
            private int left;

            @Override
            public void reset(ChannelConfig of) {
                super.reset(of);
                config = of;
                left = Math.min(MOST, places.getAsInt());
            }

            @Override
            public boolean continueReading() {
                return --left > 0 && config.isAutoRead();
            }

            @Override
            public int guess() {
                // Connections are taken, no bytes read.
                return 0;
            }
        };
    }
}
