package rushpin.drill;

/** Thrown for input that violates the protocol; the message names the line and the violation. */
final class MalformedInput extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedInput(long lineNumber, String line, String why) {
        super("line " + lineNumber + ": " + why + ": " + (line.length() > 200 ? line.substring(0, 200) : line));
    }
}
