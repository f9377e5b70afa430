/** Who votes: how a group is founded, and how a voter that lost its disk is replaced. No I/O and no clock. */
package marlford.membership;
