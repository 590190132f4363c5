package rushpin.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** One event loop on NIO sockets that reports its passes to a {@link LoopWatch}. */
public final class WatchedLoopGroup extends MultiThreadIoEventLoopGroup {
    /**
     * The longest poll, nanoseconds. Whether the process was stopped in the middle of a poll can't be told, so that each
     * one adds its length to how old what it finds may be.
     */
    private static final long LONGEST_POLL = 10_000_000L;

    private final LoopWatch watch;

    /** Starts no thread yet. */
    public WatchedLoopGroup() {
        this(new Reporters());
    }

    private WatchedLoopGroup(Reporters reporters) {
        super(1, reporters);
        watch = reporters.watch;
    }

    LoopWatch watch() {
        return watch;
    }

    /** Makes the handler of the one loop. */
    private static final class Reporters implements IoHandlerFactory {
        private final IoHandlerFactory sockets = NioIoHandler.newFactory();
        private LoopWatch watch;

        @Override
        public IoHandler newHandler(ThreadAwareExecutor loop) {
            watch = new LoopWatch(System.nanoTime(), loop);
            return new Reporting(sockets.newHandler(loop), watch);
        }
    }

    /** The sockets' handler, with each pass told to the watch. */
    private static final class Reporting implements IoHandler {
        private final IoHandler sockets;
        private final LoopWatch watch;
        /** A loop has one context. */
        private Bounded context;

        Reporting(IoHandler sockets, LoopWatch watch) {
            this.sockets = sockets;
            this.watch = watch;
        }

        @Override
        public int run(IoHandlerContext loop) {
            if (context == null || context.loop != loop) {
                context = new Bounded(loop, watch);
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
        public boolean isCompatible(Class<? extends IoHandle> kind) {
            return sockets.isCompatible(kind);
        }
    }

    /** The loop's own wishes, with a poll that is bounded. */
    private record Bounded(IoHandlerContext loop, LoopWatch watch) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return !watch.isAwaited() && loop.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return Math.min(LONGEST_POLL, loop.delayNanos(now));
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
