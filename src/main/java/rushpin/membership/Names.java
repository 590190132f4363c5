package rushpin.membership;

import java.util.List;

/** The names of classes, plans, zones and machine kinds; the settings refer to each by its index here. */
public record Names(List<String> classes, List<String> plans, List<String> zones, List<String> kinds) {}
