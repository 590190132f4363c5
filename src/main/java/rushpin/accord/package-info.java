/**
 * What processes of a fleet share: who is there, who holds what, which plan is in force. A deterministic state machine and
 * the deciders of those who hold sessions with it; no I/O, no clock, no chance of its own. {@code accord.log} alone knows
 * the agreement library.
 *
 * <p>Two clocks are told apart. <em>Log time</em> is stamped on each entry by the voter that leads, in nanoseconds; it never
 * goes back and, over a change of the leader, leaves out what nobody counted, so it never runs ahead of real time by more
 * than the drift in {@link rushpin.accord.Terms}. <em>Own time</em> is a process's monotonic clock.
 */
package rushpin.accord;
