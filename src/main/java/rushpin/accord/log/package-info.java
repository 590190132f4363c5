/**
 * The replicated log among a fleet's voters: Apache Ratis' server, whose requests travel as bytes over a
 * {@link rushpin.accord.log.Carrier}. No other room knows that library. What is decided, and how, is the machine's; who a voter is
 * and how this process reaches it are two things.
 */
package rushpin.accord.log;
