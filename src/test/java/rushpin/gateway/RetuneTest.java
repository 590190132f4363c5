package rushpin.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushpin.gateway.Host.MS;
import static rushpin.gateway.Host.SAFE;
import static rushpin.gateway.Host.UNSAFE;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rushpin.gateway.Ports.Group;
import rushpin.gateway.Ports.Limits;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Plan;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Settings;

/** Changes of classes and limits while requests are open, and processes that share a ceiling. */
class RetuneTest {
    private static final RequestClass UNSAFE_CLASS =
            new RequestClass(1000 * MS, 3000 * MS, Repeat.UNSAFE, Group.ALL, 0, 0.2, 3);
    private static final RequestClass SAFE_CLASS =
            new RequestClass(1000 * MS, 3000 * MS, Repeat.SAFE, Group.ALL, 0, 0.2, 3);

    private static Settings settingsWith(List<RequestClass> classes, int attempts) {
        Settings s = Host.settings(Host.FREE, 2, 0, true, false);
        return new Settings(
                s.me(),
                s.siblings(),
                s.zone(),
                s.tick(),
                s.sizesAreWeights(),
                s.reports(),
                classes,
                s.plans(),
                new Limits(attempts, 1000, false, false, 0, false),
                s.counter(),
                s.rules());
    }

    private static List<RequestClass> defaultClasses() {
        return Host.settings(Host.FREE, 2, 0, true, false).classes();
    }

    @Test
    void openRequestsKeepTheirClassAndLaterOnesGetTheNew() {
        Host host = new Host(Host.FREE, 2, 0).servers(4);
        String before = host.request(UNSAFE, 1);
        List<RequestClass> changed = new ArrayList<>(defaultClasses());
        changed.set(UNSAFE, SAFE_CLASS);
        host.gateway.settings(host.now, settingsWith(changed, 4), new int[] {0, 1, 2, 3});
        String after = host.request(UNSAFE, 1);
        host.end(before, Outcome.RESET);
        assertEquals(List.of(before), host.failed, "it may have run, and its class was unsafe when it came");
        host.end(after, Outcome.RESET);
        assertEquals(2, host.attempts(after).size(), "now the class may be repeated");
    }

    @Test
    void lowerMaxAttemptsApplyToLaterRequests() {
        Host host = new Host(Host.FREE, 2, 0).servers(4);
        String before = host.request(SAFE, 1);
        host.gateway.settings(host.now, settingsWith(defaultClasses(), 1), new int[] {0, 1, 2, 3});
        String after = host.request(SAFE, 1);
        host.end(before, Outcome.FULL);
        host.end(after, Outcome.FULL);
        assertEquals(2, host.attempts(before).size());
        assertEquals(List.of(after), host.refused);
    }

    @Test
    void removedClassEndsWithItsLastRequest() {
        Host host = new Host(Host.FREE, 2, 0).servers(1);
        List<String> unsafe = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            unsafe.add(host.request(UNSAFE, 1));
        }
        assertTrue(host.sent.size() < 8, "some are queued");
        host.gateway.settings(
                host.now,
                settingsWith(List.of(defaultClasses().get(1), defaultClasses().get(0)), 4),
                new int[] {1, 0});
        String gone = host.request(2, 1);
        assertTrue(host.refused.contains(gone), "there is no third class any more");
        for (int i = 0; i < host.sent.size(); i++) {
            host.end(host.sent.get(i).id(), Outcome.OK);
        }
        assertTrue(
                unsafe.stream().allMatch(id -> host.attempts(id).size() == 1 || host.refused.contains(id)),
                "all were answered");
        host.pass(3000 * MS);
        String later = host.request(1, 1);
        assertEquals(1, host.attempts(later).size());
    }

    /** Whatever classes are added and removed, each request ends once, and an unsafe one is never sent twice. */
    @Property(tries = 300)
    void eachRequestEndsOnceByTheClassItCameWith(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 99) Integer> steps) {
        Host host = new Host(Host.FREE, 2, 0).servers(3);
        // The identity of each present class, a number that is never reused.
        List<Integer> presentIdentities = new ArrayList<>(List.of(0, 1, 2, 3));
        List<RequestClass> specs = new ArrayList<>(defaultClasses());
        Set<String> unsafeIds = new HashSet<>();
        Set<String> ids = new HashSet<>();
        Set<String> endedIds = new HashSet<>();
        int next = 4;
        for (int step : steps) {
            int kind = step / 10;
            int which = step % 10;
            if (kind < 4) {
                int place = which % specs.size();
                String id = host.request(place, 1);
                ids.add(id);
                if (specs.get(place).repeat() == Repeat.UNSAFE) {
                    unsafeIds.add(id);
                }
            } else if (kind < 7) {
                host.sent.stream()
                        .map(Host.Sent::id)
                        .filter(id -> !endedIds.contains(id))
                        .skip(which)
                        .findFirst()
                        .ifPresent(id -> {
                            int attempts = host.attempts(id).size();
                            host.end(id, which % 2 == 0 ? Outcome.RESET : Outcome.OK);
                            if (which % 2 == 1 || host.attempts(id).size() == attempts) {
                                endedIds.add(id);
                            }
                        });
            } else if (kind < 9) {
                List<Integer> previous = new ArrayList<>();
                List<RequestClass> nextClasses = new ArrayList<>();
                List<Integer> identities = new ArrayList<>();
                for (int i = specs.size() - 1; i >= 0; i--) {
                    if (i != which || specs.size() == 1) {
                        previous.add(i);
                        identities.add(presentIdentities.get(i));
                        nextClasses.add(
                                which % 3 == 0 && specs.get(i).repeat() == Repeat.UNSAFE ? SAFE_CLASS : specs.get(i));
                    }
                }
                if (which % 2 == 0) {
                    previous.add(-1);
                    identities.add(next++);
                    nextClasses.add(UNSAFE_CLASS);
                }
                host.gateway.settings(
                        host.now,
                        settingsWith(nextClasses, 1 + which % 4),
                        previous.stream().mapToInt(i -> i).toArray());
                presentIdentities = identities;
                specs = nextClasses;
            } else {
                host.pass(which * 20L * MS);
            }
        }
        host.pass(4000 * MS);
        for (String id : ids) {
            int answers = (int) (host.refused.stream().filter(id::equals).count()
                    + host.failed.stream().filter(id::equals).count());
            assertTrue(answers <= 1, id + " was answered " + answers + " times after " + steps);
            assertTrue(answers == 1 || !host.attempts(id).isEmpty(), id + " was forgotten after " + steps);
            assertTrue(
                    !unsafeIds.contains(id) || host.attempts(id).size() <= 1,
                    id + " is unsafe and was sent again after " + steps);
        }
    }

    /** Two processes of one gateway together send no more under a ceiling than one may. */
    @Test
    void processesOfOneGatewayShareItsPartOfACeiling() {
        // Requests beyond the quota earn something, so that only the ceiling limits them.
        Plan plan = new Plan(5, 10, 0, 1, 1, 0, 10, 20, 0);
        double alone = sent(plan, 1);
        double two = sent(plan, 2);
        assertTrue(two <= alone + 2, two + " sent by two, " + alone + " by one");
        assertTrue(two >= alone / 2, "two processes must not be starved either: " + two + " of " + alone);
    }

    private static double sent(Plan plan, int processes) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            Host host = new Host(plan, 2, 0, false).servers(8);
            host.gateway.processes(host.now, processes);
            hosts.add(host);
        }
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            for (Host host : hosts) {
                host.pass(25 * MS);
                String id = host.request(SAFE, 0, 9, 1, host.now + 3000 * MS);
                if (!host.attempts(id).isEmpty()) {
                    sent++;
                    host.end(id, Outcome.OK);
                }
            }
        }
        return sent;
    }

    /** However often two processes hand units of a ceiling to each other, the sum must not grow. */
    @Property(tries = 200)
    void handingUnitsOverNeverAddsAny(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 59) Integer> steps) {
        Plan plan = new Plan(50, 100, 0, 1, 1, 0, 10, 20, 0);
        Host[] hosts = {new Host(plan, 2, 0, false).servers(8), new Host(plan, 2, 0, false).servers(8)};
        int sent = 0;
        long startedAt = hosts[0].now;
        for (Host host : hosts) {
            host.gateway.processes(host.now, 2);
        }
        for (int step : steps) {
            int who = step % 2;
            Host from = hosts[who];
            Host to = hosts[1 - who];
            if (step < 20) {
                int before = from.ceilingReleased.size();
                from.gateway.releaseCeiling(from.now, step / 20.0);
                from.ceilingReleased
                        .subList(before, from.ceilingReleased.size())
                        .forEach(units -> to.gateway.acquireCeiling(to.now, 9, 0, 2, units));
            } else if (step < 45) {
                for (int i = 0; i < step % 7; i++) {
                    String id = from.request(SAFE, 0, 9, 1, from.now + 3000 * MS);
                    if (!from.attempts(id).isEmpty()) {
                        sent++;
                        from.end(id, Outcome.OK);
                    }
                }
            } else {
                for (Host host : hosts) {
                    host.pass(step * 10L * MS);
                }
            }
        }
        double allowed = 20 / 2.0 + (hosts[0].now - startedAt) / 1e9 * 10 / 2.0 + 1;
        assertTrue(sent <= allowed, sent + " sent, " + allowed + " allowed, after " + steps);
    }

    @Test
    void newProcessHasTheUnitsHandedToIt() {
        Plan plan = new Plan(50, 100, 0, 1, 1, 0, 10, 20, 0);
        Host old = new Host(plan, 2, 0, false).servers(8);
        old.pass(4000 * MS);
        old.end(old.request(SAFE, 0, 9, 1, old.now + 3000 * MS), Outcome.OK);
        Host fresh = new Host(plan, 2, 0, false).servers(8);
        String none = fresh.request(SAFE, 0, 9, 1, fresh.now + 3000 * MS);
        assertTrue(fresh.refused.contains(none), "a ceiling starts with nothing");
        old.gateway.releaseCeiling(old.now, 0.5);
        assertEquals(1, old.ceilingReleased.size());
        old.ceilingReleased.forEach(units -> fresh.gateway.acquireCeiling(fresh.now, 9, 0, 2, units));
        String some = fresh.request(SAFE, 0, 9, 1, fresh.now + 3000 * MS);
        assertEquals(1, fresh.attempts(some).size());
        fresh.gateway.acquireCeiling(fresh.now, 9, 0, 2, 1e9);
        fresh.gateway.releaseCeiling(fresh.now, 1);
        assertTrue(
                fresh.ceilingReleased.get(0) <= 10,
                "no more than its part, however much is handed over: " + fresh.ceilingReleased);
    }

    @Test
    void ejectedServerIsCounted() {
        Host host = new Host(Host.FREE, 2, 0).servers(1);
        assertEquals(0, host.gateway.ejected());
        for (int i = 0; i < 6; i++) {
            host.end(host.request(SAFE, 1), Outcome.CONNECT_FAILED, true);
        }
        assertEquals(1, host.gateway.ejected());
        host.server("a", 0, Readiness.GONE, 0);
        assertEquals(0, host.gateway.ejected(), "only listed servers count");
    }
}
