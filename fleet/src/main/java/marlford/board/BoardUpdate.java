package marlford.board;

import java.util.List;

/**
 * What a member reports to the board, and its position on it.
 *
 * @param at when it was sent, in milliseconds of the member's clock; used to estimate its delay
 * @param board id of the board last read; 0 for none
 * @param heard the position up to which it was read
 * @param rows the reports
 */
public record BoardUpdate(double at, long board, long heard, List<Row> rows) {}
