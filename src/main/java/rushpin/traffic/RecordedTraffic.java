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
 * Records of a fleet as they were read, in the order of their times.
 *
 * @param entries the requests
 * @param notes what was not read and why, a line each; nothing is left out in silence
 * @param dropped how many requests the nodes themselves say that they did not write
 */
public record RecordedTraffic(List<Entry> entries, List<String> notes, long dropped) {
    /** More are not read: some 400 bytes of heap each. */
    public static final int MOST = 4_000_000;
    /** Files of one node that overlap by more than this are from a clock that was set, or from two processes. */
    private static final long OVERLAP_US = 5_000_000;

    /** A folder that can't be used; the message says why. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String message) {
            super(message);
        }
    }

    /** Reads all files of a folder, or one file. */
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
        Map<String, long[]> until = new TreeMap<>();
        for (Path file : files) {
            List<Entry> found = one(file, notes, MOST - entries.size());
            if (found.isEmpty()) {
                notes.add(file.getFileName() + ": no request in it");
                continue;
            }
            long first = found.stream().mapToLong(Entry::at).min().orElseThrow();
            long last = found.stream().mapToLong(Entry::at).max().orElseThrow();
            long[] before = until.putIfAbsent(found.get(0).node(), new long[] {last});
            if (before != null && first < before[0] - OVERLAP_US) {
                notes.add(file.getFileName() + ": begins " + (before[0] - first) / 1_000_000
                        + " s before an earlier file of " + found.get(0).node()
                        + " ends: its clock was set back, or two processes wrote as this node");
            }
            if (before != null) {
                before[0] = Math.max(before[0], last);
            }
            entries.addAll(found);
            if (entries.size() >= MOST) {
                notes.add("more than " + MOST + " requests: the files after " + file.getFileName() + " were not read");
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

    private static List<Entry> one(Path file, List<String> notes, int most) throws Unreadable {
        List<Entry> found = new ArrayList<>();
        int odd = 0;
        String why = "";
        try (DataFileReader<GenericRecord> reader =
                new DataFileReader<>(file.toFile(), new GenericDatumReader<>(null, Form.REQUEST))) {
            String version = reader.getMetaString(Form.VERSION_KEY);
            if (!String.valueOf(Form.VERSION).equals(version)) {
                throw new Unreadable(
                        file.getFileName() + ": version " + version + "; this program reads " + Form.VERSION);
            }
            boolean more = true;
            while (found.size() < most && (more = reader.hasNext())) {
                try {
                    found.add(Form.of(reader.next()));
                } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                    odd++;
                    why = String.valueOf(e.getMessage());
                }
            }
            // The library takes a block without its end for the end of the file, and says nothing.
            long rest = more ? 0 : Files.size(file) - reader.previousSync();
            if (rest > 0) {
                notes.add(file.getFileName() + ": read up to its last whole block, " + found.size() + " requests; "
                        + rest + " bytes behind it left out");
            }
        } catch (IOException | AvroRuntimeException e) {
            notes.add(file.getFileName() + ": read up to its last whole block, " + found.size() + " requests: "
                    + cause(e));
        }
        if (odd > 0) {
            notes.add(file.getFileName() + ": " + odd + " requests left out, the last because " + why);
        }
        return found;
    }

    private static String cause(Throwable e) {
        Throwable last = e;
        while (last.getCause() != null) {
            last = last.getCause();
        }
        return last.getMessage() == null ? last.getClass().getSimpleName() : last.getMessage();
    }
}
