package rushpin.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** An event loop group of one NIO loop that reports its passes to a {@link LoopWatch}. */
public final class WatchedLoopGroup extends MultiThreadIoEventLoopGroup {
    /**
     * The longest poll. A stop of the process within a poll cannot be detected, so the length of each poll adds to the
     * possible age of what it finds.
     */
    private static final long MAX_POLL_NANOS = 10_000_000L;

    private final LoopWatch watch;

    /** Creates the group; its thread starts with the first task. */
    public WatchedLoopGroup() {
        this(new WatchedIoHandlerFactory());
    }

    private WatchedLoopGroup(WatchedIoHandlerFactory factory) {
        super(1, factory);
        watch = factory.watch;
    }

    LoopWatch watch() {
        return watch;
    }

    /** Creates the I/O handler of the one loop. */
    private static final class WatchedIoHandlerFactory implements IoHandlerFactory {
        private final IoHandlerFactory sockets = NioIoHandler.newFactory();
        private LoopWatch watch;

        @Override
        public IoHandler newHandler(ThreadAwareExecutor loop) {
            watch = new LoopWatch(System.nanoTime(), loop);
            return new WatchedIoHandler(sockets.newHandler(loop), watch);
        }
    }

    /** Wraps the NIO handler and reports each pass to the watch. */
    private static final class WatchedIoHandler implements IoHandler {
        private final IoHandler sockets;
        private final LoopWatch watch;
        /** The wrapper of the loop's context; a loop always passes the same one. */
        private BoundedPollContext context;

        WatchedIoHandler(IoHandler sockets, LoopWatch watch) {
            this.sockets = sockets;
            this.watch = watch;
        }

        @Override
        public int run(IoHandlerContext loop) {
            if (context == null || context.loop != loop) {
                context = new BoundedPollContext(loop, watch);
            }
            watch.pollBegins(System.nanoTime());
            int handled = sockets.run(context);
            watch.socketsRead();
            return handled;
        }

        @Override
        public void initialize() {
            sockets.initialize();
        }

        @Override
        public void prepareToDestroy() {
            sockets.prepareToDestroy();
        }

        @Override
        public void destroy() {
            sockets.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return sockets.register(handle);
        }

        @Override
        public void wakeup() {
            sockets.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return sockets.isCompatible(type);
        }
    }

    /** The loop's own context, but with a bounded poll. */
    private record BoundedPollContext(IoHandlerContext loop, LoopWatch watch) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return !watch.isAwaited() && loop.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return Math.min(MAX_POLL_NANOS, loop.delayNanos(now));
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            loop.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }
}
