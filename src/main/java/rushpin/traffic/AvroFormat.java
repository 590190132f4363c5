package rushpin.traffic;

import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** Converts records to and from Avro. A change that an older reader would misread requires a new {@link #VERSION}. */
final class AvroFormat {
    /** Version of the format, written to the metadata of each file. */
    static final int VERSION = 1;

    /** Metadata key of the format's version. */
    static final String VERSION_KEY = "rushpin.version";

    /** Metadata key of the node's name. */
    static final String NODE_KEY = "rushpin.node";

    /** Metadata key of the first request's arrival, Unix milliseconds. */
    static final String BEGUN_KEY = "rushpin.begun-ms";

    private static final Schema TRY = SchemaBuilder.record("Try")
            .namespace("rushpin.traffic")
            .fields()
            .requiredString("server")
            .requiredLong("after_us")
            .requiredLong("took_us")
            .requiredString("outcome")
            .endRecord();
    /** The schema of version 1; a field added within a version needs a default. */
    static final Schema REQUEST = SchemaBuilder.record("Request")
            .namespace("rushpin.traffic")
            .fields()
            .requiredString("node")
            .requiredString("pool")
            .requiredLong("at_us")
            .requiredString("class")
            .requiredString("plan")
            .requiredLong("customer")
            .requiredDouble("units")
            .requiredDouble("true_units")
            .requiredLong("patience_us")
            .requiredBoolean("repeat")
            .requiredInt("spread")
            .requiredInt("first")
            .requiredString("end")
            .requiredLong("took_us")
            .name("tries")
            .type()
            .array()
            .items(TRY)
            .noDefault()
            .requiredLong("dropped")
            .endRecord();

    private AvroFormat() {}

    /** Converts an entry to an Avro record. */
    static GenericRecord toAvro(Entry e) {
        GenericRecord to = new GenericData.Record(REQUEST);
        List<GenericRecord> tries = new ArrayList<>(e.tries().size());
        for (Entry.Try attempt : e.tries()) {
            GenericRecord item = new GenericData.Record(TRY);
            item.put("server", attempt.server());
            item.put("after_us", attempt.after());
            item.put("took_us", attempt.took());
            item.put("outcome", attempt.outcome());
            tries.add(item);
        }
        to.put("node", e.node());
        to.put("pool", e.pool());
        to.put("at_us", e.at());
        to.put("class", e.requestClass());
        to.put("plan", e.plan());
        to.put("customer", e.customer());
        to.put("units", e.units());
        to.put("true_units", e.trueUnits());
        to.put("patience_us", e.patience());
        to.put("repeat", e.repeat());
        to.put("spread", e.spread());
        to.put("first", e.first());
        to.put("end", e.end().name());
        to.put("took_us", e.took());
        to.put("tries", tries);
        to.put("dropped", e.dropped());
        return to;
    }

    /** Converts an Avro record to an entry; throws {@link IllegalArgumentException} if a field's value is not valid. */
    static Entry fromAvro(GenericRecord from) {
        List<Entry.Try> tries = new ArrayList<>();
        for (Object item : (List<?>) from.get("tries")) {
            GenericRecord attempt = (GenericRecord) item;
            tries.add(new Entry.Try(
                    text(attempt, "server"),
                    count(attempt, "after_us"),
                    count(attempt, "took_us"),
                    text(attempt, "outcome")));
        }
        return new Entry(
                text(from, "node"),
                text(from, "pool"),
                count(from, "at_us"),
                text(from, "class"),
                text(from, "plan"),
                (Long) from.get("customer"),
                amount(from, "units"),
                amount(from, "true_units"),
                count(from, "patience_us"),
                (Boolean) from.get("repeat"),
                (Integer) from.get("spread"),
                (Integer) from.get("first"),
                Entry.End.valueOf(text(from, "end")),
                count(from, "took_us"),
                List.copyOf(tries),
                count(from, "dropped"));
    }

    private static String text(GenericRecord from, String field) {
        return from.get(field).toString();
    }

    private static long count(GenericRecord from, String field) {
        long value = (Long) from.get(field);
        if (value < 0) {
            throw new IllegalArgumentException(field + " must be 0 or more, found " + value);
        }
        return value;
    }

    private static double amount(GenericRecord from, String field) {
        double value = (Double) from.get(field);
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(field + " must be a finite number of 0 or more, found " + value);
        }
        return value;
    }
}
