package rushpin.rig;

import java.util.List;

/** The scenarios by name. */
public final class Rig {
    private static final List<Scenario> ALL = List.of(
            new DemoScenario(),
            new PoolsScenario(),
            new FleetScenario(),
            new CostScenario(),
            new UseScenario(),
            new XdsScenario(),
            new ReplaceScenario(),
            new ModelScenario(),
            new HerdScenario(),
            new AccordScenario(),
            new ZonesScenario(),
            new BudgetsScenario());

    private Rig() {}

    /** All scenarios. */
    public static List<Scenario> all() {
        return ALL;
    }

    /** A scenario by name; null if there is none of it. */
    public static Scenario named(String name) {
        return ALL.stream().filter(one -> one.name().equals(name)).findFirst().orElse(null);
    }
}
