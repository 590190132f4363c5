package rushpin.membership;

import java.util.List;

/** Names of classes, plans, zones and machine kinds, each at its index in the module's settings. */
public record Names(List<String> classes, List<String> plans, List<String> zones, List<String> kinds) {}
