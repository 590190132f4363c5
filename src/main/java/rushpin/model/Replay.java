package rushpin.model;

/**
 * Recorded first tries in the place of drawn ones, a column each, in the order of their times.
 *
 * @param at nanoseconds from the day's begin
 * @param requestClass its number in the settings; {@code plan} too
 * @param patience nanoseconds
 */
record Replay(long[] at, int[] requestClass, int[] plan, long[] customer, double[] units, long[] patience) {
    /** The columns as they pass between builds: at, class, plan, units, patience as numbers, customers beside them. */
    static Replay of(double[][] columns, long[] customers) {
        int n = customers.length;
        long[] at = new long[n], patience = new long[n];
        int[] classes = new int[n], plans = new int[n];
        for (int i = 0; i < n; i++) {
            at[i] = (long) columns[0][i];
            classes[i] = (int) columns[1][i];
            plans[i] = (int) columns[2][i];
            patience[i] = (long) columns[4][i];
        }
        return new Replay(at, classes, plans, customers, columns[3], patience);
    }
}
