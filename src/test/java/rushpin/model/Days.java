package rushpin.model;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rushpin.gateway.Gateway;
import rushpin.gateway.SettingsReader;

/** Settings and days to play. */
final class Days {
    private Days() {}

    /** Two classes, a plan with a ceiling and one without, a counter. */
    static Map<String, String> settings() {
        Map<String, String> s = new HashMap<>();
        put(
                s,
                "tick-ns=2000000 weights=rough discovery=automatic my-number=0 siblings=3 my-zone=0 classes.count=2 "
                        + "classes.0.name=lookup classes.0.aim-ns=1500000000 classes.0.deadline-ns=4000000000 "
                        + "classes.0.idempotency=retryable classes.0.group=all classes.0.late-value=0.2 classes.0.worth=1 "
                        + "classes.1.name=order classes.1.aim-ns=1200000000 classes.1.deadline-ns=4000000000 classes.1.idempotency=dedup "
                        + "classes.1.group=all classes.1.key-ttl-ns=4000000000 classes.1.late-value=0.2 classes.1.worth=5 "
                        + "tariffs.count=2 tariffs.0.name=basic tariffs.0.units-per-s=5 tariffs.0.peak-units=15 tariffs.0.price=1.3 "
                        + "tariffs.0.beyond-earns=0 tariffs.0.beyond-costs=1 tariffs.0.hard-rate=10 tariffs.0.hard-burst=30 "
                        + "tariffs.0.hard-slack=8 tariffs.1.name=bulk tariffs.1.units-per-s=30 tariffs.1.peak-units=60 "
                        + "tariffs.1.price=1.6 tariffs.1.beyond-earns=0 tariffs.1.beyond-costs=0.8 caps.max-attempts=6 "
                        + "caps.max-open=2000 caps.probes=false caps.retry-after=true caps.max-retry-after-ns=2000000000 "
                        + "caps.connect-timeout-ns=250000000 caps.keepalive-ns=10000000000 domain.has-counter=true "
                        + "domain.count-wait-ns=50000000 domain.trued-up=false domain.units-top=8 rules.answer-slack-ns=50000000 "
                        + "rules.cold-from=0.21 rules.ramp-time-ns=18000000000 rules.overload-factor=2.5 rules.tip-after-ns=2000000000");
        return s;
    }

    /** Three nodes, ten servers of four cores, 140 requests a second of 150 ms: a good half of what they can do. */
    static Map<String, String> day(String... more) {
        Map<String, String> d = new TreeMap<>();
        put(
                d,
                "seconds=20 fleet.nodes=3 fleet.zones=2 servers.count=10 servers.cores=4 servers.line=16 "
                        + "clients.rate=140 class.lookup.share=0.65 class.order.share=0.35 plan.basic.share=0.43 "
                        + "plan.basic.customers=20 plan.bulk.share=0.57 plan.bulk.customers=6");
        d.put("class.lookup.work", "uniform 110 200");
        d.put("class.order.work", "uniform 110 200");
        d.put("fleet.node", "fixed 0.3");
        for (String each : more) {
            put(d, each);
        }
        return d;
    }

    private static void put(Map<String, String> to, String pairs) {
        for (String pair : pairs.split(" ")) {
            to.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
    }

    /** Troubles as {@code kind=... at-s=...}, one text each. */
    static Map<String, String> with(Map<String, String> day, String... troubles) {
        day.put("trouble.count", String.valueOf(troubles.length));
        for (int i = 0; i < troubles.length; i++) {
            put(day, "trouble." + i + "." + troubles[i].replace(" ", " trouble." + i + "."));
        }
        return day;
    }

    static Map<String, Object> play(Map<String, String> day, long seed) {
        return Play.play(settings(), day, null, null, seed);
    }

    static Map<String, Object> play(Map<String, String> day, long seed, World.Module module) {
        Map<String, String> settings = settings();
        return new World(
                        SettingsReader.read(settings),
                        Play.names(settings, "classes"),
                        Play.names(settings, "tariffs"),
                        Day.of(day),
                        null,
                        seed,
                        module)
                .play();
    }

    static World.Module gateway() {
        return Gateway::new;
    }

    static double number(Map<String, Object> run, String name) {
        return (Double) run.get(name);
    }
}
