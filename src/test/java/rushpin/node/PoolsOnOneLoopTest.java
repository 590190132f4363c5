package rushpin.node;

/** The same with all pools on the listening side's loop, as on one core. */
class PoolsOnOneLoopTest extends PoolsTest {
    @Override
    String loop() {
        return "shared";
    }
}
