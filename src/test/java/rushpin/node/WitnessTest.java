package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rushpin.accord.Report;
import rushpin.accord.Who;
import rushpin.gateway.Ports.Group;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Readiness;
import rushpin.gateway.Ports.Repeat;
import rushpin.gateway.Ports.RequestClass;
import rushpin.gateway.Ports.Rules;
import rushpin.gateway.Ports.Server;
import rushpin.gateway.Ports.Settings;
import rushpin.membership.Names;

/** What a pool counts of zones, and what a process makes of its pools' counts. */
class WitnessTest {
    private static final long MS = 1_000_000L, S = 1_000 * MS;
    private static final Who WHO = new Who("n1", 7, "here", "r", 1);

    private final List<Witness.Account> told = new ArrayList<>();
    private long now;

    private Witness witness(String pool) {
        Names names = new Names(List.of("find", "book"), List.of(), List.of("a b", "c"), List.of());
        Settings settings = new Settings(
                0,
                1,
                0,
                10 * MS,
                true,
                List.of(),
                List.of(spec(), spec()),
                List.of(),
                null,
                null,
                new Rules(0, 0.25, 100 * S, 2, S));
        return new Witness(pool, names, settings, () -> now, told::add);
    }

    private static RequestClass spec() {
        return new RequestClass(50 * MS, 500 * MS, Repeat.SAFE, Group.ALL, 0, 0, 1);
    }

    private static Server server(String id, double size, int zone, Readiness is, long startedAt) {
        return new Server(id, size, zone, 0, 0, is, startedAt);
    }

    /** Beats until an account comes, each after a span. */
    private Witness.Account account(Witness of, long span) {
        for (int before = told.size(); told.size() == before; ) {
            now += span;
            of.beat(now);
        }
        return told.get(told.size() - 1);
    }

    @Test
    void attemptsAreCountedByZoneAndClassAndAnew() {
        Witness witness = witness("w");
        witness.listed(List.of(server("s0", 1, 0, Readiness.READY, 0), server("s1", 1, 1, Readiness.READY, 0)), true);
        witness.entered("find");
        witness.entered("gone");
        witness.ended("find", "s0", Outcome.OK, 50 * MS);
        witness.ended("find", "s0", Outcome.OK, 51 * MS);
        witness.ended("find", "s0", Outcome.FULL, MS);
        witness.ended("find", "s0", Outcome.TIMEOUT, 400 * MS);
        witness.ended("find", "s0", Outcome.CONNECT_FAILED, 300 * MS);
        witness.ended("find", "s0", Outcome.ERROR, MS);
        witness.ended("find", "s0", Outcome.NOT_SENT, 0);
        witness.ended("find", "s0", Outcome.CANCELLED, 0);
        witness.ended("find", "nobody", Outcome.ERROR, 0);
        witness.ended("book", "s1", Outcome.RESET, MS);
        Witness.Account first = account(witness, 100 * MS);
        assertEquals(
                List.of(new Report.Seen("a_b", "w.find", 6, 2, 3, 3, 1), new Report.Seen("c", "w.book", 1, 0, 1, 0, 0)),
                first.seen().stream()
                        .sorted((a, b) -> a.zone().compareTo(b.zone()))
                        .toList());
        assertEquals(List.of(new Report.Entered("w.find", 1)), first.entered());
        Witness.Account next = account(witness, 100 * MS);
        assertEquals(List.of(), next.seen());
        assertEquals(List.of(), next.entered());
    }

    @Test
    void aStockIsWhatServersCanDoNow() {
        Witness witness = witness("w");
        now = 200 * S;
        witness.listed(
                List.of(
                        server("old", 2, 0, Readiness.READY, 0),
                        server("new", 2, 0, Readiness.READY, now),
                        server("large", 8, 0, Readiness.READY, 1),
                        server("drains", 2, 0, Readiness.DRAINING, 0),
                        server("c", 2, 1, Readiness.READY, 0)),
                true);
        // The usual one has size 2; one that has just started does a quarter.
        assertEquals(
                List.of(new Report.Stock("a_b", 3, 5_250), new Report.Stock("c", 1, 1_000)),
                account(witness, 0).stocks());
        witness.listed(List.of(server("large", 8, 0, Readiness.GONE, 1)), false);
        now += 100 * S;
        witness.holds("old"::equals);
        assertEquals(
                new Report.Stock("a_b", 2, 2_000, 1),
                account(witness, 0).stocks().get(0));
        witness.retire();
        assertEquals(List.of(), account(witness, 0).stocks());
    }

    @Test
    void aLoopThatStandsStillSaysSo() {
        Witness witness = witness("w");
        assertEquals(0, account(witness, 120 * MS).late());
        now += 9 * S;
        Witness.Account account = account(witness, 100 * MS);
        assertEquals(9 * S, account.late());
        assertEquals(10 * S, account.span());
        Gathered gathered = new Gathered(10_000);
        gathered.add(account);
        assertEquals(900, gathered.report(WHO, 1, 1, List.of()).trouble());
    }

    @Test
    void poolsAreAddedUpAndTheGreatestRowsStay() {
        Gathered gathered = new Gathered(16 << 10);
        Witness one = witness("one"), other = witness("other");
        for (Witness each : List.of(one, other, one)) {
            each.listed(List.of(server("s", 1, 0, Readiness.READY, 0)), true);
            each.ended("find", "s", Outcome.OK, MS);
            gathered.add(account(each, 100 * MS));
        }
        Report report = gathered.report(WHO, 5, 9, List.of());
        assertTrue(report.isSound());
        assertEquals(3 * S, report.span());
        assertEquals(
                List.of(
                        new Report.Seen("a_b", "one.find", 2, 2, 0, 0, 0),
                        new Report.Seen("a_b", "other.find", 1, 1, 0, 0, 0)),
                report.seen());
        assertEquals(List.of(new Report.Stock("a_b", 2, 2_000)), report.stocks());
        assertEquals(List.of(), gathered.report(WHO, 5, 10, List.of()).seen());

        List<Report.Seen> seen = new ArrayList<>();
        List<Report.Entered> entered = new ArrayList<>();
        List<Report.Stock> stocks = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            String name = "z".repeat(96) + i;
            seen.add(new Report.Seen(name, name, i, 0, 0, 0, 0));
            entered.add(new Report.Entered(name, i));
            stocks.add(new Report.Stock(name, 1, i));
        }
        gathered.add(new Witness.Account(one, S, 0, seen, stocks, entered));
        Report cut = gathered.report(WHO, 5, 11, List.of());
        assertTrue(cut.isSound());
        assertEquals(399, cut.seen().get(0).sent());
        assertTrue(cut.seen().size() > 30, () -> "rows left: " + cut.seen().size());
        int names = cut.seen().stream()
                        .mapToInt(row -> row.zone().length() + row.of().length())
                        .sum()
                + cut.stocks().stream().mapToInt(row -> row.zone().length()).sum()
                + cut.entered().stream().mapToInt(row -> row.of().length()).sum();
        assertTrue(names <= 16 << 10, () -> names + " bytes of names");
    }
}
