package rushpin.judge;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** A rule of {@link Accords}, {@link Zones} or {@link Connections} that was broken, and by what. */
public record Breach<R extends Enum<R> & Breach.Rule>(R rule, String what) {
    private static final int MOST_SHOWN = 3;

    /** A rule of a judge. */
    public interface Rule {
        /** What it says, in one line. */
        String line();
    }

    /** By their rules, in the order in which these stand. */
    static <R extends Enum<R> & Rule> List<Breach<R>> sorted(Collection<Breach<R>> found) {
        return found.stream()
                .sorted(Comparator.comparing((Breach<R> each) -> each.rule))
                .toList();
    }

    /** The first breaches of a rule in one line; empty if there is none. */
    public static <R extends Enum<R> & Rule> String line(R rule, List<Breach<R>> found) {
        List<String> all = found.stream()
                .filter(each -> each.rule == rule)
                .map(Breach::what)
                .toList();
        return all.isEmpty()
                ? ""
                : all.size() + " times, such as " + String.join("; ", all.subList(0, Math.min(all.size(), MOST_SHOWN)));
    }
}
