/** Which part of each zone's traffic goes to which zone. Pure: what is known comes as an argument, a plan is the answer. */
package rushpin.failover;
