package rushpin.config;

/**
 * Amounts of what the process deals out to its pools.
 *
 * @param requests requests open at once, in all classes
 * @param connections connections to app servers, idle ones too
 * @param bytes bytes of requests' bodies
 * @param connects connections that are being made
 */
public record ResourceLimits(long requests, long connections, long bytes, long connects) {}
