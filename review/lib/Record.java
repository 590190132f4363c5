import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, one line each with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long begun = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%9.1f %s%n", (System.nanoTime() - begun) / 1e6, text);
    }

    /** To the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
