package rushpin.study;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import rushpin.model.Comparison;
import rushpin.model.Comparison.Figure;

/** A comparison as a table, as JSON, and as one page that needs nothing else. */
public final class Reports {
    private static final int WIDE = 860, HIGH = 320;

    private Reports() {}

    /** The verdict in words: A, B, or cannot tell. */
    public static String verdict(Comparison of) {
        return switch (of.verdict()) {
            case A -> "A";
            case B -> "B";
            case CANNOT_TELL -> "cannot tell";
        };
    }

    private static String number(double x) {
        return Double.isInfinite(x) ? (x < 0 ? "-inf" : "inf") : String.format(Locale.ROOT, "%.4f", x);
    }

    private static List<String> row(Figure f) {
        return List.of(
                f.name(),
                number(f.a()),
                number(f.b()),
                number(f.difference().middle()),
                number(f.difference().low()),
                number(f.difference().high()),
                String.format(Locale.ROOT, "%.2f%%", 100 * f.level()),
                f.difference().differs() ? (f.difference().low() > 0 ? "B more" : "A more") : "");
    }

    private static final List<String> HEAD = List.of("figure", "A", "B", "B less A", "from", "to", "level", "");

    /** Lines for a terminal. */
    public static List<String> table(Comparison of, String a, String b) {
        List<List<String>> rows = new ArrayList<>(List.of(HEAD));
        of.figures().forEach(figure -> rows.add(row(figure)));
        List<String> lines =
                new ArrayList<>(List.of("A: " + a, "B: " + b, of.seeds() + " seeds, both choices on each", ""));
        lines.addAll(TextTable.lines(rows));
        lines.add("");
        for (boolean ofA : new boolean[] {true, false}) {
            Comparison.Worst worst = of.worst(ofA);
            if (worst != null) {
                lines.add("worst seed of " + (ofA ? "A" : "B") + ": " + worst.seed() + ", service "
                        + number(worst.service()));
            }
        }
        lines.addAll(of.reasons());
        lines.add("verdict: " + verdict(of));
        return lines;
    }

    /** The same for programs. */
    public static String json(Comparison of, String a, String b, Map<String, String> day) {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("a", a)
                .put("b", b)
                .put("seeds", of.seeds())
                .put("verdict", verdict(of));
        ArrayNode reasons = root.putArray("reasons");
        of.reasons().forEach(reasons::add);
        ArrayNode figures = root.putArray("figures");
        for (Figure f : of.figures()) {
            figures.addObject()
                    .put("name", f.name())
                    .put("a", f.a())
                    .put("b", f.b())
                    .put("middle", f.difference().middle())
                    .put("low", number(f.difference().low()))
                    .put("high", number(f.difference().high()))
                    .put("p", f.difference().p())
                    .put("level", f.level());
        }
        ObjectNode played = root.putObject("day");
        day.forEach(played::put);
        return root.toPrettyString() + "\n";
    }

    /** A page with its plots inside: service over time, the spread of latency, the difference seed by seed. */
    public static String page(Comparison of, String a, String b) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder page = new StringBuilder(
                        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>model: ")
                .append(escape(verdict(of)))
                .append("</title><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}"
                        + "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}"
                        + "td:first-child{text-align:left}</style></head><body><h1>Verdict: ")
                .append(escape(verdict(of)))
                .append("</h1><p>A: ")
                .append(escape(a))
                .append("<br>B: ")
                .append(escape(b))
                .append("<br>")
                .append(of.seeds())
                .append(" seeds, both choices on each.</p>");
        of.reasons().forEach(reason -> page.append("<p>").append(escape(reason)).append("</p>"));
        page.append("<table><tr>");
        HEAD.forEach(head -> page.append("<th>").append(head).append("</th>"));
        page.append("</tr>");
        for (Figure figure : of.figures()) {
            page.append("<tr>");
            row(figure).forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
            page.append("</tr>");
        }
        page.append("</table>");
        if (of.seeds() > 0) {
            page.append(plot(overTime(of))).append(plot(latency(of))).append(plot(bySeed(of)));
        }
        return page.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder()
                .width(WIDE)
                .height(HIGH)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler().setMarkerSize(5);
        return chart;
    }

    private static double[] meanOf(List<Map<String, Object>> runs, String series) {
        double[] mean = new double[((double[]) runs.get(0).get(series)).length];
        for (Map<String, Object> run : runs) {
            double[] one = (double[]) run.get(series);
            for (int i = 0; i < mean.length; i++) {
                mean[i] += one[i] / runs.size();
            }
        }
        return mean;
    }

    private static double[] steps(int n) {
        double[] steps = new double[n];
        for (int i = 0; i < n; i++) {
            steps[i] = i;
        }
        return steps;
    }

    private static XYChart overTime(Comparison of) {
        XYChart chart = chart("Part served of what was asked for in each second, mean of the seeds", "s", "part");
        for (boolean a : new boolean[] {true, false}) {
            double[] asked = meanOf(of.runs(a), "series.asked"), served = meanOf(of.runs(a), "series.served");
            for (int i = 0; i < asked.length; i++) {
                served[i] = asked[i] > 0 ? served[i] / asked[i] : 1;
            }
            chart.addSeries(a ? "A" : "B", steps(served.length), served).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static XYChart latency(Comparison of) {
        XYChart chart = chart("Latency of what was served, mean of the seeds' percentiles", "percentile", "ms");
        for (boolean a : new boolean[] {true, false}) {
            double[] ms = meanOf(of.runs(a), "latency-ms");
            chart.addSeries(a ? "A" : "B", steps(ms.length), ms).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static XYChart bySeed(Comparison of) {
        XYChart chart = chart("Service, B less A, seed by seed", "seed in order", "difference");
        double[] differences = new double[of.seeds()];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = (Double) of.runs(false).get(i).get(Comparison.FIGURE)
                    - (Double) of.runs(true).get(i).get(Comparison.FIGURE);
        }
        chart.addSeries("B less A", steps(differences.length), differences);
        return chart;
    }

    private static String plot(XYChart chart) throws IOException {
        ByteArrayOutputStream svg = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, svg, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        return "<p><img alt=\"" + escape(chart.getTitle()) + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(svg.toByteArray()) + "\"></p>";
    }
}
