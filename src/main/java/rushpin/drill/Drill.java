package rushpin.drill;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** The entry point of the simulator's adapter: runs many gateways on standard input and output until the input ends. */
public final class Drill {
    private Drill() {}

    /**
     * Runs the adapter; the only argument is {@code drill}. Exits with 1 on malformed input or an I/O error, and with 2
     * on wrong usage.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: rushpin.jar drill");
            System.exit(2);
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16);
        try {
            new WireReader(in, new WireWriter(out)).run();
        } catch (MalformedInput e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("cannot read the input or write the output: " + e.getMessage());
            System.exit(1);
        }
    }
}
