package rushpin.accord.log;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.ratis.metrics.LongCounter;
import org.apache.ratis.metrics.MetricRegistries;
import org.apache.ratis.metrics.MetricRegistryInfo;
import org.apache.ratis.metrics.RatisMetricRegistry;
import org.apache.ratis.metrics.Timekeeper;
import org.apache.ratis.util.TimeDuration;

/** The library insists on a place for its figures; nobody reads them, so this keeps none. Found by {@code META-INF/services}. */
public final class Unmeasured extends MetricRegistries {
    @Override
    public void clear() {
        // nothing is kept
    }

    @Override
    public RatisMetricRegistry create(MetricRegistryInfo info) {
        return new Nowhere(info);
    }

    @Override
    public boolean remove(MetricRegistryInfo info) {
        return true;
    }

    @Override
    public Optional<RatisMetricRegistry> get(MetricRegistryInfo info) {
        return Optional.empty();
    }

    @Override
    public Set<MetricRegistryInfo> getMetricRegistryInfos() {
        return Set.of();
    }

    @Override
    public Collection<RatisMetricRegistry> getMetricRegistries() {
        return List.of();
    }

    @Override
    public void addReporterRegistration(Consumer<RatisMetricRegistry> report, Consumer<RatisMetricRegistry> stop) {
        // nobody reports
    }

    @Override
    public void enableJmxReporter() {
        // nobody reports
    }

    @Override
    public void enableConsoleReporter(TimeDuration rate) {
        // nobody reports
    }

    private record Nowhere(MetricRegistryInfo getMetricRegistryInfo) implements RatisMetricRegistry {
        private static final Timekeeper TIMER = () -> () -> 0;
        private static final LongCounter COUNTER = new LongCounter() {
            @Override
            public void inc(long more) {
                // not counted
            }

            @Override
            public void dec(long less) {
                // not counted
            }

            @Override
            public long getCount() {
                return 0;
            }
        };

        @Override
        public Timekeeper timer(String name) {
            return TIMER;
        }

        @Override
        public LongCounter counter(String name) {
            return COUNTER;
        }

        @Override
        public boolean remove(String name) {
            return true;
        }

        @Override
        public <T> void gauge(String name, Supplier<Supplier<T>> value) {
            // not asked
        }
    }
}
