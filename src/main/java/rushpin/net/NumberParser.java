package rushpin.net;

/**
 * Reads figures that a peer wrote. Java's own parser takes more than a peer may mean ({@code 1d}, {@code 0x1p3},
 * {@code NaN}), and a figure out of bounds must not find its way into what is counted.
 */
final class NumberParser {
    private static final int MOST_LENGTH = 32;

    private NumberParser() {}

    /** A decimal number; NaN if the text is none. */
    static double parseDecimal(String text) {
        return parse(text, "0123456789.+-eE");
    }

    /** A number above 0, without sign or exponent, and no larger than {@code most}; NaN if the text is none. */
    static double parsePositive(String text, double most) {
        double value = parse(text, "0123456789.");
        return value > 0 && value <= most ? value : Double.NaN;
    }

    private static double parse(String text, String allowed) {
        if (text == null || text.isEmpty() || text.length() > MOST_LENGTH) {
            return Double.NaN;
        }
        for (int i = 0; i < text.length(); i++) {
            if (allowed.indexOf(text.charAt(i)) < 0) {
                return Double.NaN;
            }
        }
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
