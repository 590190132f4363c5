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

/** Formats a comparison as a table, as JSON, or as a self-contained HTML page. */
public final class Reports {
    private static final int CHART_WIDTH = 860;
    private static final int CHART_HEIGHT = 320;

    private Reports() {}

    /** Returns the verdict as text: A, B, or cannot tell. */
    public static String verdict(Comparison comparison) {
        return switch (comparison.verdict()) {
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

    /** Returns the comparison as lines of text; {@code a} and {@code b} are the names of the choices. */
    public static List<String> table(Comparison comparison, String a, String b) {
        List<List<String>> rows = new ArrayList<>(List.of(HEAD));
        comparison.figures().forEach(figure -> rows.add(row(figure)));
        List<String> lines =
                new ArrayList<>(List.of("A: " + a, "B: " + b, comparison.seeds() + " seeds, both choices on each", ""));
        lines.addAll(TextTable.lines(rows));
        lines.add("");
        for (boolean isA : new boolean[] {true, false}) {
            Comparison.Worst worst = comparison.worst(isA);
            if (worst != null) {
                lines.add("worst seed of " + (isA ? "A" : "B") + ": " + worst.seed() + ", service "
                        + number(worst.service()));
            }
        }
        lines.addAll(comparison.reasons());
        lines.add("verdict: " + verdict(comparison));
        return lines;
    }

    /** Returns the comparison as JSON, with the day that was simulated. */
    public static String json(Comparison comparison, String a, String b, Map<String, String> day) {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("a", a)
                .put("b", b)
                .put("seeds", comparison.seeds())
                .put("verdict", verdict(comparison));
        ArrayNode reasons = root.putArray("reasons");
        comparison.reasons().forEach(reasons::add);
        ArrayNode figures = root.putArray("figures");
        for (Figure f : comparison.figures()) {
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
        ObjectNode dayNode = root.putObject("day");
        day.forEach(dayNode::put);
        return root.toPrettyString() + "\n";
    }

    /** Returns an HTML page with inlined plots: service over time, percentiles of latency, the difference per seed. */
    public static String page(Comparison comparison, String a, String b) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder page = new StringBuilder(
                        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>model: ")
                .append(escape(verdict(comparison)))
                .append("</title><style>body{font:15px sans-serif;max-width:60em;margin:2em auto}"
                        + "table{border-collapse:collapse}"
                        + "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}"
                        + "td:first-child{text-align:left}</style></head><body><h1>Verdict: ")
                .append(escape(verdict(comparison)))
                .append("</h1><p>A: ")
                .append(escape(a))
                .append("<br>B: ")
                .append(escape(b))
                .append("<br>")
                .append(comparison.seeds())
                .append(" seeds, both choices on each.</p>");
        comparison
                .reasons()
                .forEach(reason -> page.append("<p>").append(escape(reason)).append("</p>"));
        page.append("<table><tr>");
        HEAD.forEach(head -> page.append("<th>").append(head).append("</th>"));
        page.append("</tr>");
        for (Figure figure : comparison.figures()) {
            page.append("<tr>");
            row(figure).forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
            page.append("</tr>");
        }
        page.append("</table>");
        if (comparison.seeds() > 0) {
            page.append(plot(serviceOverTime(comparison)))
                    .append(plot(latencyPercentiles(comparison)))
                    .append(plot(differenceBySeed(comparison)));
        }
        return page.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder()
                .width(CHART_WIDTH)
                .height(CHART_HEIGHT)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler().setMarkerSize(5);
        return chart;
    }

    private static double[] mean(List<Map<String, Object>> runs, String series) {
        double[] mean = new double[((double[]) runs.get(0).get(series)).length];
        for (Map<String, Object> run : runs) {
            double[] values = (double[]) run.get(series);
            for (int i = 0; i < mean.length; i++) {
                mean[i] += values[i] / runs.size();
            }
        }
        return mean;
    }

    private static double[] indices(int n) {
        double[] indices = new double[n];
        for (int i = 0; i < n; i++) {
            indices[i] = i;
        }
        return indices;
    }

    private static XYChart serviceOverTime(Comparison comparison) {
        XYChart chart = chart("Share of requests served in each second, mean over the seeds", "s", "share");
        for (boolean isA : new boolean[] {true, false}) {
            double[] asked = mean(comparison.runs(isA), "series.asked");
            double[] served = mean(comparison.runs(isA), "series.served");
            for (int i = 0; i < asked.length; i++) {
                served[i] = asked[i] > 0 ? served[i] / asked[i] : 1;
            }
            chart.addSeries(isA ? "A" : "B", indices(served.length), served).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static XYChart latencyPercentiles(Comparison comparison) {
        XYChart chart = chart("Latency of served requests, percentiles averaged over the seeds", "percentile", "ms");
        for (boolean isA : new boolean[] {true, false}) {
            double[] ms = mean(comparison.runs(isA), "latency-ms");
            chart.addSeries(isA ? "A" : "B", indices(ms.length), ms).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static XYChart differenceBySeed(Comparison comparison) {
        XYChart chart = chart("Service, B less A, per seed", "seed in order", "difference");
        double[] differences = new double[comparison.seeds()];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = (Double) comparison.runs(false).get(i).get(Comparison.FIGURE)
                    - (Double) comparison.runs(true).get(i).get(Comparison.FIGURE);
        }
        chart.addSeries("B less A", indices(differences.length), differences);
        return chart;
    }

    private static String plot(XYChart chart) throws IOException {
        ByteArrayOutputStream svg = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, svg, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        return "<p><img alt=\"" + escape(chart.getTitle()) + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(svg.toByteArray()) + "\"></p>";
    }
}
