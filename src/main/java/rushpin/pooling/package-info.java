/** Who may hold how many connections to a group of app servers, over all processes and their tenants. No I/O, no clock. */
package rushpin.pooling;
