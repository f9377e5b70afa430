/**
 * The group of voters: its bootstrap, its protocol version, and the replacement of a voter that lost its disk. No I/O
 * and no clock.
 */
package marlford.membership;
