/**
 * Allocates the connections to a group of app servers among all processes and their tenants. Does no I/O and reads no
 * clock.
 */
package rushpin.pooling;
