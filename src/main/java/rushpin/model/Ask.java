package rushpin.model;

/** What a client wants, over all its tries. Drawn before any decision, so that all choices meet the same. */
final class Ask {
    final int number, requestClass, plan;
    final long customer;
    final double units;
    /** How long each try is waited for. */
    final long patience;

    final long at;
    /** What decides its work at a server, from 0 to 1. */
    final double work;

    final boolean counted;
    int tries;
    boolean inside, done;

    Ask(
            int number,
            int requestClass,
            int plan,
            long customer,
            double units,
            long patience,
            long at,
            double work,
            boolean counted) {
        this.number = number;
        this.requestClass = requestClass;
        this.plan = plan;
        this.customer = customer;
        this.units = units;
        this.patience = patience;
        this.at = at;
        this.work = work;
        this.counted = counted;
    }

    /** The id of its present try. */
    String id() {
        return number + "." + tries;
    }

    String key() {
        return "k" + number;
    }
}
