package rushpin.study;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as lines of text, each column as wide as its widest cell. */
public final class TextTable {
    private TextTable() {}

    /** Returns one line per row; rows may differ in their number of cells. */
    public static List<String> lines(List<List<String>> rows) {
        int[] width = new int[rows.stream().mapToInt(List::size).max().orElse(0)];
        rows.forEach(row -> {
            for (int i = 0; i < row.size(); i++) {
                width[i] = Math.max(width[i], row.get(i).length());
            }
        });
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i)).append(" ".repeat(width[i] - row.get(i).length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }
}
