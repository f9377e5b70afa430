package marlford.board;

import java.util.List;

/**
 * The changes of a board since a position.
 *
 * @param board id of the board; each leader has its own
 * @param upTo the position to continue from
 */
public record BoardChanges(long board, long upTo, List<Row> rows) {}
