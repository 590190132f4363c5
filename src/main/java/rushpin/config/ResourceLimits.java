package rushpin.config;

/**
 * Limits on the resources that the pools of a process share: of the process, or the part guaranteed to a pool.
 *
 * @param requests concurrent requests, over all classes
 * @param connections connections to app servers, idle ones included
 * @param bytes bytes of request bodies held in memory
 * @param connects connections being established
 */
public record ResourceLimits(long requests, long connections, long bytes, long connects) {}
