package rushpin.peer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The threads that all sockets between processes share: one for reading and writing, at most {@value #WORKERS} for calls
 * between voters, and one that looks names up; these end when they have had nothing to do for {@value #IDLE_S} s. Never the
 * pools' loops.
 *
 * <p>Tasks that wait for the workers: at most one a call that is out or in, and those are bounded where calls are made.
 */
public final class Sockets implements AutoCloseable {
    /** Two, so that a vote is not behind an entry that waits for the disk. */
    private static final int WORKERS = 2;

    private static final int IDLE_S = 30;

    /** The library's word, with a stack trace, on each stream that its other side has left: no news here. */
    private static final Logger QUIET = Logger.getLogger("io.grpc.netty.NettyServerHandler");

    static {
        if (QUIET.getLevel() == null) {
            QUIET.setLevel(Level.OFF);
        }
    }

    private final EventLoopGroup loop;
    private final ThreadPoolExecutor work, names;

    /** Opens nothing yet. */
    public Sockets() {
        loop = new MultiThreadIoEventLoopGroup(
                1, (ThreadFactory) task -> daemon(task, "peer sockets"), NioIoHandler.newFactory());
        work = pool(WORKERS, "peer work");
        names = pool(1, "peer names");
    }

    private static ThreadPoolExecutor pool(int threads, String name) {
        ThreadPoolExecutor made = new ThreadPoolExecutor(
                threads, threads, IDLE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> daemon(task, name));
        made.allowCoreThreadTimeOut(true);
        return made;
    }

    static Thread daemon(Runnable task, String name) {
        Thread made = new Thread(task, name);
        made.setDaemon(true);
        return made;
    }

    EventLoopGroup loop() {
        return loop;
    }

    Executor work() {
        return work;
    }

    /** Looks names up, which blocks for as long as the system's resolver does. */
    Executor names() {
        return names;
    }

    /** Ends all; whoever uses them has ended before. */
    @Override
    public void close() {
        loop.shutdownGracefully(0, 2, TimeUnit.SECONDS);
        work.shutdown();
        names.shutdown();
    }
}
