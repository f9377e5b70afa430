package marlford.storm.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Two seeds of the soak, the second with a crowd; {@code ./marlford soak} plays more. */
class SoakTest {
    private static final long FIRST_SEED = 2;
    private static final int SEEDS = 2;
    private static final int PROCESSES = 24;
    private static final int SECONDS = 10;

    @Test
    void noRuleIsBrokenUnderOverlappingFaults() throws Exception {
        assertEquals(List.of(), SoakCommand.run(FIRST_SEED, SEEDS, PROCESSES, SECONDS, null));
    }
}
