package marlford.storm;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A test of the rig: what is planted in the program is found by its judge. */
class PlantedTest {
    private static final long TTL_MS = 1000;
    private static final long MS = 9000;

    /** A fault, where it is planted, and a schedule that has to show it. */
    enum Planted {
        /** A session is ended after a part of the time that its holder counts on. */
        ENDED_EARLY("marlford/lease/Silence.java", "now - at > s.ttlMs()", "now - at > s.ttlMs() / 8.0",
                List.of(new Fault(500, Fault.Kind.MUTE, "holder", 700), new Fault(3000, Fault.Kind.MUTE, "holder", 700),
                        new Fault(5500, Fault.Kind.MUTE, "holder", 700))),
        /** A holder acts on though it has not been heard for long. */
        NO_TENURE("marlford/lease/Tenure.java", "return now + lateMs + needMs < until;", "return true;",
                List.of(new Fault(500, Fault.Kind.ISOLATE, "holder", 6000))), // where it leads, too, the next one comes after 1.7 s
        /** Two grants have one token. */
        TOKEN_TWICE("marlford/lease/Book.java", "l.holders.put(session, ++minted);", "l.holders.put(session, minted);",
                List.of(new Fault(500, Fault.Kind.TERM, "holder", 500), new Fault(3000, Fault.Kind.TERM, "holder", 500))),
        /** Whoever asks takes the lease from its holder. */
        NO_LIMIT("marlford/lease/Book.java", "while (l.holders.size() < l.limit && !l.queue.isEmpty())",
                "while (!l.queue.isEmpty())", List.of(new Fault(500, Fault.Kind.STOP, "g0", 300)));

        final String file;
        final String right;
        final String wrong;
        final List<Fault> faults;

        Planted(String file, String right, String wrong, List<Fault> faults) {
            this.file = file;
            this.right = right;
            this.wrong = wrong;
            this.faults = faults;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aPlantedFaultIsFound(Planted p, @TempDir Path dir) throws Exception {
        String program = Changed.program(dir, Map.of(p.file, List.of(p.right, p.wrong)));
        Main.Run run = Main.run(new Schedule(p.faults), new Main.Setup(3, Gateway.Role.AGENT, TTL_MS, 0, 0, List.of()), MS,
                null, program);
        assertNotNull(run);
        List<String> found = run.verdict().broken().isEmpty() ? run.verdict().unexplained() : run.verdict().broken();
        assertTrue(!found.isEmpty(), p + " was not found in " + run.verdict());
        System.out.println("storm: planted " + p + ": " + found.size() + " found, as " + found.get(0));
    }
}
