/**
 * The sockets between processes of a fleet, and nothing that decides: messages as bytes, the way to each voter, the voter's
 * desk for sessions, the member's stream to one voter. Each task has one thread, owns its sockets, and hears by a bounded
 * mailbox.
 *
 * <p>Nothing is sent twice by itself: what was carried and not answered may have arrived.
 */
package rushpin.peer;
