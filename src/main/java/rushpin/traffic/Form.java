package rushpin.traffic;

import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** Records as Avro has them. A change that an older reader would misread takes the next {@link #VERSION}. */
final class Form {
    /** Stands in each file's metadata. */
    static final int VERSION = 1;

    static final String VERSION_KEY = "rushpin.version", NODE_KEY = "rushpin.node", BEGUN_KEY = "rushpin.begun-ms";

    private static final Schema TRY = SchemaBuilder.record("Try")
            .namespace("rushpin.traffic")
            .fields()
            .requiredString("server")
            .requiredLong("after_us")
            .requiredLong("took_us")
            .requiredString("outcome")
            .endRecord();
    /** All fields of version 1; later ones of that version have defaults. */
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

    private Form() {}

    static GenericRecord of(Entry e) {
        GenericRecord to = new GenericData.Record(REQUEST);
        List<GenericRecord> tries = new ArrayList<>(e.tries().size());
        for (Entry.Try one : e.tries()) {
            GenericRecord item = new GenericData.Record(TRY);
            item.put("server", one.server());
            item.put("after_us", one.after());
            item.put("took_us", one.took());
            item.put("outcome", one.outcome());
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

    /** The other way; an {@link IllegalArgumentException} says which field has what it can't have. */
    static Entry of(GenericRecord from) {
        List<Entry.Try> tries = new ArrayList<>();
        for (Object item : (List<?>) from.get("tries")) {
            GenericRecord one = (GenericRecord) item;
            tries.add(new Entry.Try(
                    text(one, "server"), whole(one, "after_us"), whole(one, "took_us"), text(one, "outcome")));
        }
        return new Entry(
                text(from, "node"),
                text(from, "pool"),
                whole(from, "at_us"),
                text(from, "class"),
                text(from, "plan"),
                (Long) from.get("customer"),
                number(from, "units"),
                number(from, "true_units"),
                whole(from, "patience_us"),
                (Boolean) from.get("repeat"),
                (Integer) from.get("spread"),
                (Integer) from.get("first"),
                Entry.End.valueOf(text(from, "end")),
                whole(from, "took_us"),
                List.copyOf(tries),
                whole(from, "dropped"));
    }

    private static String text(GenericRecord from, String field) {
        return from.get(field).toString();
    }

    private static long whole(GenericRecord from, String field) {
        long value = (Long) from.get(field);
        if (value < 0) {
            throw new IllegalArgumentException(field + " is " + value);
        }
        return value;
    }

    private static double number(GenericRecord from, String field) {
        double value = (Double) from.get(field);
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(field + " is " + value);
        }
        return value;
    }
}
