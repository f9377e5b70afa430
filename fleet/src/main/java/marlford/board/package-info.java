/**
 * What holders of tokens found out, told to all members with an age. Kept by the leader in its memory, agreed by nobody, lost with
 * it: a report, never a grant. No I/O and no clock.
 */
package marlford.board;
