package rushpin.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rushpin.model.Day;
import rushpin.model.Play;
import rushpin.model.Work;
import rushpin.traffic.Entry;
import rushpin.traffic.RecordedTraffic;

/** Fits days to records that are drawn from known distributions. */
class FitTest {
    private static Map<String, String> settings() {
        Map<String, String> s = new HashMap<>();
        for (String pair :
                ("siblings=2 classes.count=2 classes.0.name=lookup classes.0.deadline-ns=4e9 classes.1.name=order "
                                + "classes.1.deadline-ns=4e9 tariffs.count=2 tariffs.0.name=basic tariffs.1.name=bulk")
                        .split(" ")) {
            s.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        return s;
    }

    private static Map<String, String> given() {
        return new HashMap<>(Map.of("servers.cores", "2", "network.one-way-us", "100"));
    }

    private static Entry entry(
            String node, long at, String requestClass, String plan, long customer, boolean repeat, long worked) {
        return new Entry(
                node,
                "p",
                at,
                requestClass,
                plan,
                customer,
                1,
                0,
                3_000_000,
                repeat,
                2,
                0,
                Entry.End.SERVED,
                worked + 700,
                List.of(new Entry.Try("s-" + customer % 4, 300, worked + 200, "OK")),
                0);
    }

    /** Lookups of 20 to 40 ms, 50 per second, from 20 customers over two nodes. */
    private static List<Entry> entries(int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Entry> entries = new ArrayList<>();
        double at = 1e12;
        for (int i = 0; i < count; i++) {
            at += -Math.log(1 - random.nextDouble()) / 50 * 1e6;
            entries.add(entry(
                    "n" + i % 2,
                    (long) at,
                    "lookup",
                    "bulk",
                    random.nextInt(20),
                    false,
                    20_000 + random.nextInt(20_000)));
        }
        return entries;
    }

    private static RecordedTraffic recorded(List<Entry> entries) {
        List<Entry> sorted = new ArrayList<>(entries);
        sorted.sort(Comparator.comparingLong(Entry::at));
        return new RecordedTraffic(sorted, List.of(), 0);
    }

    private static Fit fit(List<Entry> entries) {
        return new Fit(recorded(entries), settings(), given(), "p");
    }

    @Test
    void theDistributionOfTheRecordsIsFoundAndTheDayIsValid() {
        Fit fit = fit(entries(4_000, 1));
        Map<String, String> day = fit.day();
        assertEquals(50, Double.parseDouble(day.get("clients.rate")), 3);
        assertEquals("20", day.get("plan.bulk.customers"));
        assertEquals(0, Double.parseDouble(day.get("plan.bulk.skew")), 0.25);
        assertEquals("uniform", fit.distributions().get("lookup").name());
        assertEquals(30, Work.of(day.get("class.lookup.work")).mean(), 0.5);
        assertEquals(0.5, Work.of(day.get("fleet.node")).mean(), 0.01);
        assertEquals("2", day.get("fleet.nodes"));
        assertEquals("4", day.get("servers.count"));
        assertEquals(50 * 0.03 / 8, Day.of(day).load(), 0.02);
        assertTrue(
                fit.notes().stream().anyMatch(n -> n.startsWith("servers.line: the records can't tell")),
                fit.notes().toString());
        assertEquals(List.of("lookup", "order"), Play.names(settings(), "classes"));
    }

    @Test
    void queueingIsNotCountedAsWork() {
        List<Entry> entries = entries(4_000, 2);
        // Every third request is followed by three more at its server; the last two of them queue, as it has two cores.
        List<Entry> more = new ArrayList<>(entries);
        SplittableRandom random = new SplittableRandom(9);
        for (int i = 0; i < entries.size(); i += 3) {
            Entry e = entries.get(i);
            for (int k = 1; k <= 3; k++) {
                more.add(entry(
                        "n1",
                        e.at() + k,
                        "lookup",
                        "bulk",
                        e.customer(),
                        false,
                        k < 2 ? 20_000 + random.nextInt(20_000) : 100_000));
            }
        }
        assertEquals(30, Work.of(fit(more).day().get("class.lookup.work")).mean(), 1);
    }

    @Test
    void repeatsAreNeitherReplayedNorCountedAsRequests() {
        List<Entry> entries = entries(1_000, 3);
        int firsts = entries.size();
        for (int i = 0; i < 300; i++) {
            Entry e = entries.get(i);
            entries.add(entry("n0", e.at() + 200_000, "lookup", "bulk", e.customer(), true, 25_000));
        }
        Fit fit = fit(entries);
        assertEquals(firsts, fit.columns().customers().length);
        assertEquals(50, Double.parseDouble(fit.day().get("clients.rate")), 5);
        double[] at = fit.columns().figures()[0];
        assertEquals(0, at[0]);
        for (int i = 1; i < at.length; i++) {
            assertTrue(at[i] >= at[i - 1]);
        }
    }

    @Test
    void requestsUnknownToTheSettingsAreCountedAndLeftOut() {
        List<Entry> entries = entries(500, 4);
        entries.add(entry("n0", 1_000_000_000_000L, "refund", "bulk", 1, false, 1));
        entries.add(entry("n0", 1_000_000_000_001L, "lookup", "gold", 1, false, 1));
        entries.add(new Entry(
                "n0", "other", 1, "lookup", "bulk", 1, 1, 0, 1, false, 1, 0, Entry.End.SERVED, 1, List.of(), 0));
        List<String> notes = fit(entries).notes();
        for (String part : List.of(
                "1 requests left out: class refund", "1 requests left out: plan gold", "left out: pool \"other\"")) {
            assertTrue(notes.stream().anyMatch(n -> n.contains(part)), notes.toString());
        }
    }

    @Test
    void aMissingNodeDroppedRequestsAndTooFewRequestsAreReported() {
        List<Entry> alone =
                entries(500, 5).stream().filter(e -> e.node().equals("n0")).toList();
        assertTrue(fit(alone).notes().stream()
                .anyMatch(n -> n.startsWith("records of 1 nodes (n0), the settings know of 2")));
        Fit dropped = new Fit(
                new RecordedTraffic(entries(500, 5), List.of("n0-1.avro: read up to"), 12), settings(), given(), "p");
        assertTrue(dropped.notes().get(0).startsWith("n0-1.avro"));
        assertTrue(dropped.notes().get(1).startsWith("12 requests were not written"));
        String message = assertThrows(IllegalArgumentException.class, () -> fit(entries(39, 6)))
                .getMessage();
        assertTrue(message.contains("39 first tries"), message);
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> new Fit(recorded(entries(500, 7)), settings(), new HashMap<>(), "p"))
                .getMessage()
                .contains("servers.cores is missing"));
    }

    @Test
    void arrivalsInBurstsAreNotExponential() {
        List<Entry> bursts = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            bursts.add(entry(
                    "n" + i % 2,
                    1_000_000_000L * 1_000 + i / 50 * 2_000_000L + i % 50 * 100,
                    "lookup",
                    "bulk",
                    i % 20,
                    false,
                    20_000));
        }
        assertTrue(
                fit(bursts).notes().stream()
                        .anyMatch(n -> n.startsWith("arrivals") && n.contains("p = 0.000") && n.contains("replay")),
                fit(bursts).notes().toString());
    }

    @ParameterizedTest
    @CsvSource({"exponential 30", "uniform 30 60", "normal 60 5", "lognormal 3 0.7", "gamma 3 12", "weibull 0.8 30"})
    void eachFamilyIsAcceptedForItsOwnSample(String text) {
        int kept = 0;
        Work work = Work.of(text);
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double[] sample = random.doubles(800).map(u -> quantile(work, u)).toArray();
            FittedDistribution found = FittedDistribution.of(sample);
            kept += found.kept() ? 1 : 0;
            var statistics = new org.apache.commons.math3.stat.descriptive.DescriptiveStatistics(sample);
            assertEquals(
                    statistics.getMean(),
                    Work.of(found.work()).mean(),
                    2.01 * statistics.getStandardDeviation() / Math.sqrt(800),
                    text + ", seed " + seed);
        }
        assertTrue(kept >= 17, text + ": accepted " + kept + " of 20");
    }

    @Test
    void aBimodalSampleIsNoFamilyAndKeepsItsQuantiles() {
        SplittableRandom random = new SplittableRandom(1);
        double[] sample = random.doubles(2_000)
                .map(u -> u < 0.5 ? 10 + 4 * u : 90 + 10 * u)
                .toArray();
        FittedDistribution found = FittedDistribution.of(sample);
        assertTrue(!found.kept() && found.work().startsWith("quantiles"), found.toString());
        assertEquals(
                java.util.Arrays.stream(sample).average().orElseThrow(),
                Work.of(found.work()).mean(),
                1);
    }

    private static double quantile(Work work, double u) {
        String[] parts = work.toString().split(" ");
        double[] f = new double[parts.length - 1];
        for (int i = 0; i < f.length; i++) {
            f[i] = Double.parseDouble(parts[i + 1]);
        }
        return Work.family(parts[0], f).inverseCumulativeProbability(Math.min(1 - 1e-9, Math.max(1e-9, u)));
    }
}
