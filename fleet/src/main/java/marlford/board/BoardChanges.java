package marlford.board;

import java.util.List;

/**
 * What is new on a board.
 *
 * @param board which one: another leader has another
 * @param upTo where to go on from
 */
public record BoardChanges(long board, long upTo, List<Row> rows) {}
