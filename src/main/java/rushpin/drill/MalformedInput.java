package rushpin.drill;

/** Input that is not of the wire; the message names the line and what is wrong with it. */
final class MalformedInput extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedInput(long lineNumber, String line, String why) {
        super("line " + lineNumber + ": " + why + ": " + (line.length() > 200 ? line.substring(0, 200) : line));
    }
}
