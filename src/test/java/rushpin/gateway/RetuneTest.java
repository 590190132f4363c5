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

/** Classes and limits that change while requests are open, and processes that share a ceiling. */
class RetuneTest {
    private static final RequestClass ONCE =
            new RequestClass(1000 * MS, 3000 * MS, Repeat.UNSAFE, Group.ALL, 0, 0.2, 3);
    private static final RequestClass FREELY =
            new RequestClass(1000 * MS, 3000 * MS, Repeat.SAFE, Group.ALL, 0, 0.2, 3);

    private static Settings with(List<RequestClass> classes, int attempts) {
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

    private static List<RequestClass> usual() {
        return Host.settings(Host.FREE, 2, 0, true, false).classes();
    }

    @Test
    void whatIsOpenKeepsItsClassRulesAndNewOnesHaveTheNew() {
        Host host = new Host(Host.FREE, 2, 0).servers(4);
        String before = host.request(UNSAFE, 1);
        List<RequestClass> changed = new ArrayList<>(usual());
        changed.set(UNSAFE, FREELY);
        host.gateway.settings(host.now, with(changed, 4), new int[] {0, 1, 2, 3});
        String after = host.request(UNSAFE, 1);
        host.end(before, Outcome.RESET);
        assertEquals(List.of(before), host.failed, "it may have run, and was not to run twice when it came");
        host.end(after, Outcome.RESET);
        assertEquals(2, host.attempts(after).size(), "now the class may be repeated");
    }

    @Test
    void fewerAttemptsAreForThoseThatComeLater() {
        Host host = new Host(Host.FREE, 2, 0).servers(4);
        String before = host.request(SAFE, 1);
        host.gateway.settings(host.now, with(usual(), 1), new int[] {0, 1, 2, 3});
        String after = host.request(SAFE, 1);
        host.end(before, Outcome.FULL);
        host.end(after, Outcome.FULL);
        assertEquals(2, host.attempts(before).size());
        assertEquals(List.of(after), host.refused);
    }

    @Test
    void aDroppedClassEndsWithItsLastRequest() {
        Host host = new Host(Host.FREE, 2, 0).servers(1);
        List<String> unsafe = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            unsafe.add(host.request(UNSAFE, 1));
        }
        assertTrue(host.sent.size() < 8, "some are queued");
        host.gateway.settings(host.now, with(List.of(usual().get(1), usual().get(0)), 4), new int[] {1, 0});
        String gone = host.request(2, 1);
        assertTrue(host.refused.contains(gone), "there is no third class any more");
        for (int i = 0; i < host.sent.size(); i++) {
            host.end(host.sent.get(i).id(), Outcome.OK);
        }
        assertTrue(
                unsafe.stream().allMatch(id -> host.attempts(id).size() == 1 || host.refused.contains(id)),
                "all were answered");
        host.pass(3000 * MS);
        String lookup = host.request(1, 1);
        assertEquals(1, host.attempts(lookup).size());
    }

    /** Whatever classes come and go, each request ends once, and one that may run once is never sent again. */
    @Property(tries = 300)
    void eachRequestEndsOnceUnderTheRulesItCameWith(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 0, max = 99) Integer> steps) {
        Host host = new Host(Host.FREE, 2, 0).servers(3);
        // Which old class each of the present ones is, by a number that is never used again.
        List<Integer> present = new ArrayList<>(List.of(0, 1, 2, 3));
        List<RequestClass> specs = new ArrayList<>(usual());
        Set<String> once = new HashSet<>(), all = new HashSet<>(), out = new HashSet<>();
        int next = 4;
        for (int step : steps) {
            int what = step / 10, which = step % 10;
            if (what < 4) {
                int place = which % specs.size();
                String id = host.request(place, 1);
                all.add(id);
                if (specs.get(place).repeat() == Repeat.UNSAFE) {
                    once.add(id);
                }
            } else if (what < 7) {
                host.sent.stream()
                        .map(Host.Sent::id)
                        .filter(id -> !out.contains(id))
                        .skip(which)
                        .findFirst()
                        .ifPresent(id -> {
                            int attempts = host.attempts(id).size();
                            host.end(id, which % 2 == 0 ? Outcome.RESET : Outcome.OK);
                            if (which % 2 == 1 || host.attempts(id).size() == attempts) {
                                out.add(id);
                            }
                        });
            } else if (what < 9) {
                List<Integer> was = new ArrayList<>();
                List<RequestClass> to = new ArrayList<>();
                List<Integer> names = new ArrayList<>();
                for (int i = specs.size() - 1; i >= 0; i--) {
                    if (i != which || specs.size() == 1) {
                        was.add(i);
                        names.add(present.get(i));
                        to.add(which % 3 == 0 && specs.get(i).repeat() == Repeat.UNSAFE ? FREELY : specs.get(i));
                    }
                }
                if (which % 2 == 0) {
                    was.add(-1);
                    names.add(next++);
                    to.add(ONCE);
                }
                host.gateway.settings(
                        host.now,
                        with(to, 1 + which % 4),
                        was.stream().mapToInt(i -> i).toArray());
                present = names;
                specs = to;
            } else {
                host.pass(which * 20L * MS);
            }
        }
        host.pass(4000 * MS);
        for (String id : all) {
            int answers = (int) (host.refused.stream().filter(id::equals).count()
                    + host.failed.stream().filter(id::equals).count());
            assertTrue(answers <= 1, id + " was answered " + answers + " times after " + steps);
            assertTrue(answers == 1 || !host.attempts(id).isEmpty(), id + " was forgotten after " + steps);
            assertTrue(
                    !once.contains(id) || host.attempts(id).size() <= 1,
                    id + " may run once, and was sent again after " + steps);
        }
    }

    /** Two processes of one gateway together send no more under a ceiling than one may. */
    @Test
    void processesOfOneGatewayShareItsPartOfACeiling() {
        // Beyond the quota it still earns, so that nothing but the ceiling holds it.
        Plan plan = new Plan(5, 10, 0, 1, 1, 0, 10, 20, 0);
        double alone = sent(plan, 1);
        double two = sent(plan, 2);
        assertTrue(two <= alone + 2, two + " sent by two, " + alone + " by one");
        assertTrue(two >= alone / 2, "two must not be starved either: " + two + " of " + alone);
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

    /** A process that begins is given its part, and however often units go to and fro their sum never grows. */
    @Property(tries = 200)
    void whatIsGivenNeverGrows(@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 59) Integer> steps) {
        Plan plan = new Plan(50, 100, 0, 1, 1, 0, 10, 20, 0);
        Host[] hosts = {new Host(plan, 2, 0, false).servers(8), new Host(plan, 2, 0, false).servers(8)};
        int sent = 0;
        long began = hosts[0].now;
        for (Host host : hosts) {
            host.gateway.processes(host.now, 2);
        }
        for (int step : steps) {
            int who = step % 2;
            Host from = hosts[who], to = hosts[1 - who];
            if (step < 20) {
                int before = from.gave.size();
                from.gateway.releaseCeiling(from.now, step / 20.0);
                from.gave
                        .subList(before, from.gave.size())
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
        double most = 20 / 2.0 + (hosts[0].now - began) / 1e9 * 10 / 2.0 + 1;
        assertTrue(sent <= most, sent + " sent, " + most + " allowed, after " + steps);
    }

    @Test
    void whoBeginsHasWhatItIsGiven() {
        Plan plan = new Plan(50, 100, 0, 1, 1, 0, 10, 20, 0);
        Host old = new Host(plan, 2, 0, false).servers(8);
        old.pass(4000 * MS);
        old.end(old.request(SAFE, 0, 9, 1, old.now + 3000 * MS), Outcome.OK);
        Host fresh = new Host(plan, 2, 0, false).servers(8);
        String none = fresh.request(SAFE, 0, 9, 1, fresh.now + 3000 * MS);
        assertTrue(fresh.refused.contains(none), "a ceiling starts with nothing");
        old.gateway.releaseCeiling(old.now, 0.5);
        assertEquals(1, old.gave.size());
        old.gave.forEach(units -> fresh.gateway.acquireCeiling(fresh.now, 9, 0, 2, units));
        String some = fresh.request(SAFE, 0, 9, 1, fresh.now + 3000 * MS);
        assertEquals(1, fresh.attempts(some).size());
        fresh.gateway.acquireCeiling(fresh.now, 9, 0, 2, 1e9);
        fresh.gateway.releaseCeiling(fresh.now, 1);
        assertTrue(fresh.gave.get(0) <= 10, "no more than its part, whoever says so: " + fresh.gave);
    }

    @Test
    void aServerThatIsAvoidedIsCounted() {
        Host host = new Host(Host.FREE, 2, 0).servers(1);
        assertEquals(0, host.gateway.ejected());
        for (int i = 0; i < 6; i++) {
            host.end(host.request(SAFE, 1), Outcome.CONNECT_FAILED, true);
        }
        assertEquals(1, host.gateway.ejected());
        host.server("a", 0, Readiness.GONE, 0);
        assertEquals(0, host.gateway.ejected(), "only those that are listed");
    }
}
