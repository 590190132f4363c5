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

/** Plays runs on several threads. Each run is one thread's from begin to end, so their number changes no figure. */
public final class Runner implements AutoCloseable {
    private static final MethodType PLAY =
            MethodType.methodType(Map.class, Map.class, Map.class, double[][].class, long[].class, long.class);

    /** One run. */
    public record Job(Choice choice, Map<String, String> day, Fit.Columns replay, long seed) {}

    /** Its figures, or why there are none. */
    public record Done(Map<String, Object> figures, String failure) {}

    private final ExecutorService threads;
    private final long most;
    private final Map<Path, MethodHandle> builds = new HashMap<>();
    /** Nanoseconds of all runs together, and how many requests they had. */
    private final AtomicLong spent = new AtomicLong(), asked = new AtomicLong();

    /** {@code most} seconds of real time a run; one that takes longer has failed, and its thread is left behind. */
    public Runner(int count, long most) {
        this.most = most;
        // A module that goes round can't be stopped: its thread must not keep the program from ending.
        threads = Executors.newFixedThreadPool(count, work -> {
            Thread made = new Thread(work, "model");
            made.setDaemon(true);
            return made;
        });
    }

    private MethodHandle handle(Path build) throws UnusableInputException {
        MethodHandle known = builds.get(build);
        if (known != null) {
            return known;
        }
        ClassLoader loader = build == null ? Runner.class.getClassLoader() : new BuildLoader(build);
        try {
            Class<?> play = Class.forName("rushpin.model.Play", true, loader);
            MethodHandle made = MethodHandles.publicLookup().findStatic(play, "play", PLAY);
            builds.put(build, made);
            return made;
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new UnusableInputException("the build " + build + " does not fit this model: " + e);
        }
    }

    /** Plays all, in the order of the jobs whatever the threads do. */
    public List<Done> play(List<Job> jobs) throws UnusableInputException, InterruptedException {
        List<Future<Map<String, Object>>> running = new ArrayList<>();
        for (Job job : jobs) {
            MethodHandle play = handle(job.choice().build());
            running.add(threads.submit(() -> one(play, job)));
        }
        List<Done> done = new ArrayList<>();
        boolean late = false;
        for (Future<Map<String, Object>> each : running) {
            try {
                // Those behind one that came to no end may have had no thread.
                done.add(new Done(each.get(late ? 1 : most, TimeUnit.SECONDS), null));
            } catch (ExecutionException e) {
                done.add(new Done(null, String.valueOf(e.getCause())));
            } catch (TimeoutException e) {
                late = true;
                each.cancel(true);
                done.add(new Done(null, "it came to no end within " + most + " s"));
            }
        }
        return done;
    }

    private Map<String, Object> one(MethodHandle play, Job job) throws Exception {
        long begin = System.nanoTime();
        try {
            double[][] columns = job.replay() == null ? null : job.replay().figures();
            long[] customers = job.replay() == null ? null : job.replay().customers();
            @SuppressWarnings("unchecked")
            Map<String, Object> figures = (Map<String, Object>)
                    play.invokeExact(job.choice().settings(), job.day(), columns, customers, job.seed());
            asked.addAndGet(Math.round((Double) figures.get("tries")));
            return figures;
        } catch (Exception e) {
            throw e;
        } catch (Throwable e) {
            // A module that overflows its stack, or that fits no port of this model, has failed like one that throws.
            throw new IllegalStateException(e);
        } finally {
            spent.addAndGet(System.nanoTime() - begin);
        }
    }

    /** Microseconds of one core for each simulated try, over all that was played. */
    public double microsPerTry() {
        return spent.get() / 1e3 / Math.max(1, asked.get());
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
