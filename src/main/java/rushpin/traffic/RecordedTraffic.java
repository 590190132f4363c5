package rushpin.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.file.DataFileReader;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericRecord;

/**
 * Traffic records of a fleet, read from files.
 *
 * @param entries the requests, sorted by arrival time
 * @param notes everything that was not read and why, one line each
 * @param dropped the number of requests that the nodes report as not written
 */
public record RecordedTraffic(List<Entry> entries, List<String> notes, long dropped) {
    /** Maximum number of requests read; each takes about 400 bytes of heap. */
    public static final int MAX_ENTRIES = 4_000_000;
    /** Files of a node that overlap by more than this come from a clock that was set back, or from two processes. */
    private static final long OVERLAP_US = 5_000_000;

    /** Thrown for files that can't be used; the message says why. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String message) {
            super(message);
        }
    }

    /**
     * Reads all record files of a folder, or one file.
     *
     * @throws Unreadable if there is no record file, a file has another version, or no request could be read
     */
    public static RecordedTraffic read(Path from) throws Unreadable {
        List<Path> files;
        try (Stream<Path> all = Files.isDirectory(from) ? Files.list(from) : Stream.of(from)) {
            files = all.filter(file -> file.getFileName().toString().endsWith(".avro"))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new Unreadable(from + " cannot be read: " + e.getMessage());
        }
        if (files.isEmpty()) {
            throw new Unreadable(from + " holds no file of records (*.avro)");
        }
        List<Entry> entries = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        Map<String, long[]> lastByNode = new TreeMap<>();
        for (Path file : files) {
            List<Entry> found = readFile(file, notes, MAX_ENTRIES - entries.size());
            if (found.isEmpty()) {
                notes.add(file.getFileName() + ": contains no request");
                continue;
            }
            long first = found.stream().mapToLong(Entry::at).min().orElseThrow();
            long last = found.stream().mapToLong(Entry::at).max().orElseThrow();
            long[] before = lastByNode.putIfAbsent(found.get(0).node(), new long[] {last});
            if (before != null && first < before[0] - OVERLAP_US) {
                notes.add(file.getFileName() + ": begins " + (before[0] - first) / 1_000_000
                        + " s before an earlier file of " + found.get(0).node()
                        + " ends: its clock was set back, or two processes wrote as this node");
            }
            if (before != null) {
                before[0] = Math.max(before[0], last);
            }
            entries.addAll(found);
            if (entries.size() >= MAX_ENTRIES) {
                notes.add("more than " + MAX_ENTRIES + " requests: the files after " + file.getFileName()
                        + " were not read");
                break;
            }
        }
        if (entries.isEmpty()) {
            throw new Unreadable(from + " holds no request: " + String.join("; ", notes));
        }
        entries.sort(Comparator.comparingLong(Entry::at).thenComparing(Entry::node));
        return new RecordedTraffic(
                List.copyOf(entries),
                List.copyOf(notes),
                entries.stream().mapToLong(Entry::dropped).sum());
    }

    private static List<Entry> readFile(Path file, List<String> notes, int max) throws Unreadable {
        List<Entry> found = new ArrayList<>();
        int invalid = 0;
        String reason = "";
        try (DataFileReader<GenericRecord> reader =
                new DataFileReader<>(file.toFile(), new GenericDatumReader<>(null, AvroFormat.REQUEST))) {
            String version = reader.getMetaString(AvroFormat.VERSION_KEY);
            if (!String.valueOf(AvroFormat.VERSION).equals(version)) {
                throw new Unreadable(
                        file.getFileName() + ": version " + version + "; this program reads " + AvroFormat.VERSION);
            }
            boolean more = true;
            while (found.size() < max && (more = reader.hasNext())) {
                try {
                    found.add(AvroFormat.fromAvro(reader.next()));
                } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                    invalid++;
                    reason = String.valueOf(e.getMessage());
                }
            }
            // The library takes an incomplete block for the end of the file without an error.
            long rest = more ? 0 : Files.size(file) - reader.previousSync();
            if (rest > 0) {
                notes.add(file.getFileName() + ": read up to its last whole block, " + found.size() + " requests; "
                        + rest + " bytes after it left out");
            }
        } catch (IOException | AvroRuntimeException e) {
            notes.add(file.getFileName() + ": read up to its last whole block, " + found.size() + " requests: "
                    + rootCause(e));
        }
        if (invalid > 0) {
            notes.add(file.getFileName() + ": " + invalid + " requests left out, the last because " + reason);
        }
        return found;
    }

    private static String rootCause(Throwable e) {
        Throwable root = e;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage() == null ? root.getClass().getSimpleName() : root.getMessage();
    }
}
