package rushpin.net;

/**
 * Parses numbers that a peer has sent. {@link Double#parseDouble} accepts more than a peer may send ({@code 1d},
 * {@code 0x1p3}, {@code NaN}), and a number out of bounds must not get into what is counted.
 */
final class NumberParser {
    private static final int MAX_LENGTH = 32;

    private NumberParser() {}

    /** Parses a decimal number; returns NaN if the text is not one. */
    static double parseDecimal(String text) {
        return parse(text, "0123456789.+-eE");
    }

    /** Parses a number above 0 and up to {@code max}, without sign and exponent; returns NaN if the text is not one. */
    static double parsePositive(String text, double max) {
        double value = parse(text, "0123456789.");
        return value > 0 && value <= max ? value : Double.NaN;
    }

    private static double parse(String text, String allowed) {
        if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
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
