package rushpin.membership.xds;

/** The two variants of the aggregated discovery service (ADS). */
public enum XdsVariant {
    /** State of the world: each answer names all resources of its type ({@code DiscoveryRequest}). */
    SOTW,
    /** Incremental: an answer names what has changed ({@code DeltaDiscoveryRequest}). */
    DELTA
}
