package rushpin.rig;

import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Starts the program in a process whose heap can be filled from outside: while a file is there, all but {@value #LEFT_KIB} KiB of it are
 * held. For the rig alone; {@code run} knows nothing of it.
 */
final class Ballast {
    private static final int CHUNK_KIB = 64, LEFT_KIB = 1 << 10;
    private static final long LOOK_MS = 100;

    private Ballast() {}

    /** The words that start the program so: the file, then its own. */
    static List<String> words(Path file, List<String> program) {
        List<String> words = new ArrayList<>(List.of(Ballast.class.getName(), file.toString()));
        words.addAll(program);
        return words;
    }

    /**
     * By a JVM.
     *
     * @param args the file, the program's main class, its arguments
     */
    public static void main(String[] args) throws Throwable {
        Path file = Path.of(args[0]);
        Thread thread = new Thread(() -> hold(file), "ballast");
        thread.setDaemon(true);
        thread.start();
        try {
            Class.forName(args[1]).getMethod("main", String[].class).invoke(null, (Object)
                    Arrays.copyOfRange(args, 2, args.length));
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private static void hold(Path file) {
        List<byte[]> held = new ArrayList<>();
        try {
            while (true) {
                boolean wanted = Files.exists(file);
                if (wanted && held.isEmpty()) {
                    System.gc();
                    Runtime heap = Runtime.getRuntime();
                    long free = heap.maxMemory() - heap.totalMemory() + heap.freeMemory();
                    for (long kib = free / 1_024 - LEFT_KIB; kib > 0; kib -= CHUNK_KIB) {
                        held.add(new byte[CHUNK_KIB << 10]);
                    }
                    System.out.println("ballast of " + held.size() * CHUNK_KIB + " KiB");
                } else if (!wanted && !held.isEmpty()) {
                    held.clear();
                    System.out.println("ballast gone");
                }
                Thread.sleep(LOOK_MS);
            }
        } catch (InterruptedException e) {
            // It ends.
        }
    }
}
