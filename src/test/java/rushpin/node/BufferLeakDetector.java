package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Collects Netty's reports of buffers that were not released. Netty reports a buffer once the garbage collector has
 * found it: during the test that leaked it or a later one.
 */
final class BufferLeakDetector {
    private static final Queue<String> REPORTS = new ConcurrentLinkedQueue<>();

    static {
        ResourceLeakDetectorFactory.setResourceLeakDetectorFactory(new ResourceLeakDetectorFactory() {
            @Override
            public <T> ResourceLeakDetector<T> newResourceLeakDetector(Class<T> resource, int interval, long limit) {
                return new Detector<>(resource, interval);
            }
        });
    }

    private BufferLeakDetector() {}

    /** Installs the detector; must run before the process allocates its first buffer. */
    static void install() {
        // Loading the class runs its static initializer, which does the work.
    }

    static void assertNone() {
        assertEquals(List.of(), List.copyOf(REPORTS), "buffers that were not released");
    }

    private static final class Detector<T> extends ResourceLeakDetector<T> {
        Detector(Class<T> resource, int interval) {
            super(resource, interval);
        }

        @Override
        protected void reportTracedLeak(String type, String records) {
            REPORTS.add(type + records);
        }

        @Override
        protected void reportUntracedLeak(String type) {
            REPORTS.add(type);
        }

        @Override
        protected boolean needReport() {
            return true;
        }
    }
}
