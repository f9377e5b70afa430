/**
 * Work in hand: what the fleet has agreed of each order that may be running at a host, who is to see it to its end, and what
 * its end was. No I/O and no clock.
 */
package marlford.register;
