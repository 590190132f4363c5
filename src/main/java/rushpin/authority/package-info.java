/**
 * Authority over hot objects: what the one process that holds an object may answer and do, and where every other one sends its
 * requests. No I/O, no clock, no chance; docs/design/hot.md.
 */
package rushpin.authority;
