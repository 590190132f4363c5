package rushpin.rig;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import rushpin.judge.Breach;
import rushpin.judge.Judge;
import rushpin.study.TextTable;

/** What a scenario measured, what it claims, and which rules were broken. */
public final class Report {
    private static final int MOST_BREACHES = 20;

    private record Claim(String what, boolean holds) {}

    private final String scenario;
    private final long seed;
    private final List<List<String>> rows = new ArrayList<>();
    private final List<Claim> claims = new ArrayList<>();
    private final List<Judge.Breach> breaches = new ArrayList<>();

    /** A report of one play. */
    public Report(String scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /** Adds a row of the table; the first is its head. */
    public void row(Object... cells) {
        rows.add(Arrays.stream(cells).map(String::valueOf).toList());
    }

    /** Says something that must hold, with the figure it was found to have. */
    public void claim(String what, boolean holds) {
        claims.add(new Claim(what, holds));
    }

    /** Says of each rule of a judge that it holds, or what broke it; {@code of} says of which play, as in "seed 7: ". */
    public <R extends Enum<R> & Breach.Rule> void claims(String of, R[] rules, List<Breach<R>> found) {
        for (R rule : rules) {
            String broken = Breach.line(rule, found);
            claim(of + rule.line() + (broken.isEmpty() ? "" : ": " + broken), broken.isEmpty());
        }
    }

    /** Adds what the judge found. */
    public void add(List<Judge.Breach> found) {
        breaches.addAll(found);
    }

    /** Whether nothing was measured. */
    public boolean isEmpty() {
        return rows.size() <= 1;
    }

    /** The rules that were broken, and by what; empty if none was. */
    public String brokenRules() {
        return String.join(
                "; ",
                breaches.stream()
                        .map(breach -> breach.rule() + ": " + breach.what())
                        .toList());
    }

    /** Whether all claims hold and no rule was broken. */
    public boolean holds() {
        return breaches.isEmpty() && claims.stream().allMatch(Claim::holds);
    }

    /** What falls short; empty if nothing does. */
    public String shortfall() {
        List<String> all = new ArrayList<>();
        claims.stream().filter(claim -> !claim.holds).forEach(claim -> all.add(claim.what));
        if (!breaches.isEmpty()) {
            all.add(breaches.size() + " breaches, the first: " + breaches.get(0).rule() + ": "
                    + breaches.get(0).what());
        }
        return String.join("; ", all);
    }

    /** Prints the table, the claims, the breaches and the verdict. */
    public void print(PrintStream out) {
        out.println();
        out.println("rig " + scenario + ", seed " + seed);
        TextTable.lines(rows).forEach(out::println);
        for (Claim claim : claims) {
            out.println((claim.holds ? "holds:        " : "falls short:  ") + claim.what);
        }
        breaches.stream()
                .limit(MOST_BREACHES)
                .forEach(breach -> out.println("broken:       " + breach.rule() + ": " + breach.what()));
        if (breaches.isEmpty()) {
            out.println("holds:        the five rules");
        }
        out.println(holds() ? "verdict: holds" : "verdict: falls short: " + shortfall());
    }

    /** Writes the same as JSON. */
    public void write(Path file) throws IOException {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("scenario", scenario)
                .put("seed", seed)
                .put("holds", holds());
        ArrayNode table = root.putArray("table");
        rows.forEach(row -> {
            ArrayNode cells = table.addArray();
            row.forEach(cells::add);
        });
        ArrayNode said = root.putArray("claims");
        claims.forEach(claim -> said.addObject().put("what", claim.what).put("holds", claim.holds));
        ArrayNode broken = root.putArray("breaches");
        breaches.forEach(
                breach -> broken.addObject().put("rule", breach.rule().name()).put("what", breach.what()));
        Files.writeString(file, root.toPrettyString() + "\n");
    }
}
