/** Which objects are hot, and which process is to hold the authoritative copy of each. No I/O, no clock. */
package rushpin.authority.finding;
