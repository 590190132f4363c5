package rushpin.node;

/** Runs {@link PoolsTest} with all pools on the front loop, as on a single core. */
class PoolsOnOneLoopTest extends PoolsTest {
    @Override
    String loop() {
        return "shared";
    }
}
