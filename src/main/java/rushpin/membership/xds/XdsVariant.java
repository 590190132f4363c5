package rushpin.membership.xds;

/** How a subscription is spoken: the two variants of the aggregated discovery service. */
public enum XdsVariant {
    /** State of the world: each answer names all clusters ({@code DiscoveryRequest}). */
    SOTW,
    /** Incremental: answers name what has changed ({@code DeltaDiscoveryRequest}). */
    DELTA
}
