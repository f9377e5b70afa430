/**
 * Reports of token holders that the leader passes on to all members, with their ages. Soft state in the leader's
 * memory: not replicated, lost with the leader, and never the basis of a grant. No I/O and no clock.
 */
package marlford.board;
