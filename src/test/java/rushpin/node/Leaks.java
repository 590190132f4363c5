package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Hears of buffers that nobody released. Each is told when the collector has found it: in its own test or a later one. */
final class Leaks {
    private static final Queue<String> SEEN = new ConcurrentLinkedQueue<>();

    static {
        ResourceLeakDetectorFactory.setResourceLeakDetectorFactory(new ResourceLeakDetectorFactory() {
            @Override
            public <T> ResourceLeakDetector<T> newResourceLeakDetector(Class<T> resource, int interval, long most) {
                return new Detector<>(resource, interval);
            }
        });
    }

    private Leaks() {}

    /** Must come before the first buffer of the process. */
    static void watch() {
        // The work is the class's own.
    }

    static void assertNone() {
        assertEquals(List.of(), List.copyOf(SEEN), "buffers that were not released");
    }

    private static final class Detector<T> extends ResourceLeakDetector<T> {
        Detector(Class<T> resource, int interval) {
            super(resource, interval);
        }

        @Override
        protected void reportTracedLeak(String type, String records) {
            SEEN.add(type + records);
        }

        @Override
        protected void reportUntracedLeak(String type) {
            SEEN.add(type);
        }

        @Override
        protected boolean needReport() {
            return true;
        }
    }
}
