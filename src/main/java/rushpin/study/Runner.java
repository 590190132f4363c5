package rushpin.study;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import rushpin.fit.Fit;

/**
 * Runs simulations on several threads. Each run stays on one thread from start to end, so the number of threads does
 * not affect results.
 */
public final class Runner implements AutoCloseable {
    private static final MethodType PLAY =
            MethodType.methodType(Map.class, Map.class, Map.class, double[][].class, long[].class, long.class);

    /** One run to simulate; {@code replay} is null if arrivals are drawn at random. */
    public record Job(Choice choice, Map<String, String> day, Fit.Columns replay, long seed) {}

    /** The result of a run: its figures, or the reason of its failure; the other is null. */
    public record Result(Map<String, Object> figures, String failure) {}

    private final ExecutorService executor;
    private final long timeoutS;
    private final Map<Path, MethodHandle> playByBuild = new HashMap<>();
    /** Sum of all runs' durations, nanoseconds. */
    private final AtomicLong totalNanos = new AtomicLong();

    /** Sum of all runs' simulated requests, counting each retry by a client. */
    private final AtomicLong totalTries = new AtomicLong();

    /**
     * Creates a runner.
     *
     * @param threads the number of threads
     * @param timeoutS real time allowed for a run, in seconds; a run that takes longer has failed, and its thread is
     *     abandoned
     */
    public Runner(int threads, long timeoutS) {
        this.timeoutS = timeoutS;
        // A module in an endless loop can't be stopped, so its daemon thread must not keep the JVM from exiting.
        executor = Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "model");
            thread.setDaemon(true);
            return thread;
        });
    }

    private MethodHandle playMethod(Path build) throws UnusableInputException {
        MethodHandle cached = playByBuild.get(build);
        if (cached != null) {
            return cached;
        }
        ClassLoader loader = build == null ? Runner.class.getClassLoader() : new BuildLoader(build);
        try {
            Class<?> play = Class.forName("rushpin.model.Play", true, loader);
            MethodHandle method = MethodHandles.publicLookup().findStatic(play, "play", PLAY);
            playByBuild.put(build, method);
            return method;
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new UnusableInputException("the build " + build + " does not fit this model: " + e);
        }
    }

    /**
     * Runs all jobs; results are in the order of the jobs.
     *
     * @throws UnusableInputException if a build can't be used with this model
     */
    public List<Result> play(List<Job> jobs) throws UnusableInputException, InterruptedException {
        List<Future<Map<String, Object>>> running = new ArrayList<>();
        for (Job job : jobs) {
            MethodHandle play = playMethod(job.choice().build());
            running.add(executor.submit(() -> run(play, job)));
        }
        List<Result> results = new ArrayList<>();
        boolean hasTimedOut = false;
        for (Future<Map<String, Object>> run : running) {
            try {
                // Runs queued behind one that did not end may never have had a thread: wait for them only briefly.
                results.add(new Result(run.get(hasTimedOut ? 1 : timeoutS, TimeUnit.SECONDS), null));
            } catch (ExecutionException e) {
                results.add(new Result(null, String.valueOf(e.getCause())));
            } catch (TimeoutException e) {
                hasTimedOut = true;
                run.cancel(true);
                results.add(new Result(null, "it did not end within " + timeoutS + " s"));
            }
        }
        return results;
    }

    private Map<String, Object> run(MethodHandle play, Job job) throws Exception {
        long start = System.nanoTime();
        try {
            double[][] columns = job.replay() == null ? null : job.replay().figures();
            long[] customers = job.replay() == null ? null : job.replay().customers();
            @SuppressWarnings("unchecked")
            Map<String, Object> figures = (Map<String, Object>)
                    play.invokeExact(job.choice().settings(), job.day(), columns, customers, job.seed());
            totalTries.addAndGet(Math.round((Double) figures.get("tries")));
            return figures;
        } catch (Exception e) {
            throw e;
        } catch (Throwable e) {
            // A stack overflow or a linkage error in the module is a failed run, like an exception.
            throw new IllegalStateException(e);
        } finally {
            totalNanos.addAndGet(System.nanoTime() - start);
        }
    }

    /** Returns the average real time per simulated request, retries included, in microseconds of one thread. */
    public double microsPerTry() {
        return totalNanos.get() / 1e3 / Math.max(1, totalTries.get());
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
