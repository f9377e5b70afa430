package marlford.board;

import java.util.List;

/**
 * What a member says to the board, and what it has heard of it so far.
 *
 * @param at when it was sent, by the member's own clock in milliseconds; tells how late it comes
 * @param board the board that was heard last; 0 for none
 * @param heard up to where it was heard
 * @param rows what the member found out
 */
public record BoardUpdate(double at, long board, long heard, List<Row> rows) {}
