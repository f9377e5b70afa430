package marlford.storm;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A test of the rig: what is planted in the program is found by its judge. */
class PlantedTest {
    private static final long TTL_MS = 1000;
    private static final long MS = 9000;
    private static final int GATEWAYS = 5;
    private static final long DRAWN_MS = 20_000;

    /** A fault, where it is planted, and a schedule that has to show it. */
    enum Planted {
        /** A session is ended after a part of the time that its holder counts on. */
        ENDED_EARLY(
                "marlford/lease/FailureDetector.java",
                "now - at > s.ttlMs()",
                "now - at > s.ttlMs() / 8.0",
                List.of(
                        new Fault(500, Fault.Kind.MUTE, "holder", 700),
                        new Fault(3000, Fault.Kind.MUTE, "holder", 700),
                        new Fault(5500, Fault.Kind.MUTE, "holder", 700))),
        /** A holder acts on though it has not been heard for long. */
        NO_VALIDITY(
                "marlford/lease/LeaseValidity.java",
                "return now + lateMs + needMs < until;",
                "return true;",
                List.of(new Fault(
                        500,
                        Fault.Kind.ISOLATE,
                        "holder",
                        6000))), // where it leads, too, the next one comes after 1.7 s
        /** Two grants have one token. */
        TOKEN_TWICE(
                "marlford/lease/LeaseStateMachine.java",
                "l.holders.put(session, ++lastToken);",
                "l.holders.put(session, lastToken);",
                List.of(
                        new Fault(500, Fault.Kind.TERM, "holder", 500),
                        new Fault(3000, Fault.Kind.TERM, "holder", 500))),
        /** Whoever asks takes the lease from its holder. */
        NO_LIMIT(
                "marlford/lease/LeaseStateMachine.java",
                "while (l.holders.size() < l.limit && !l.queue.isEmpty())",
                "while (!l.queue.isEmpty())",
                List.of(new Fault(500, Fault.Kind.STOP, "g0", 300)));

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

    /** By command: each is found in one of so many drawn storms, {@code -Dmarlford.planted.seeds=20}. */
    @ParameterizedTest
    @EnumSource
    @EnabledIfSystemProperty(named = "marlford.planted.seeds", matches = "\\d+")
    void aPlantedFaultIsFoundInDrawnStorms(Planted p, @TempDir Path dir) throws Exception {
        String program = Changed.program(dir, Map.of(p.file, List.of(p.right, p.wrong)));
        int seeds = Integer.getInteger("marlford.planted.seeds");
        for (long seed = 1; seed <= seeds; seed++) {
            Main.Run run = Main.run(
                    Schedule.drawn(seed, GATEWAYS, GATEWAYS, DRAWN_MS),
                    new Main.Setup(GATEWAYS, Gateway.Role.AGENT, TTL_MS, 0, 0, List.of()),
                    DRAWN_MS,
                    null,
                    program);
            if (run != null && !run.held()) {
                System.out.println("storm: planted " + p + " is found by drawn seed " + seed + ": "
                        + Stream.of(run.verdict().broken(), run.verdict().unexplained(), run.defects())
                                .flatMap(List::stream)
                                .findFirst()
                                .orElse("the register is not linear"));
                return;
            }
        }
        fail(p + " was not found in " + seeds + " drawn storms");
    }

    @ParameterizedTest
    @EnumSource
    void aPlantedFaultIsFound(Planted p, @TempDir Path dir) throws Exception {
        String program = Changed.program(dir, Map.of(p.file, List.of(p.right, p.wrong)));
        Main.Run run = Main.run(
                new Schedule(p.faults),
                new Main.Setup(3, Gateway.Role.AGENT, TTL_MS, 0, 0, List.of()),
                MS,
                null,
                program);
        assertNotNull(run);
        List<String> found = run.verdict().broken().isEmpty()
                ? run.verdict().unexplained()
                : run.verdict().broken();
        assertTrue(!found.isEmpty(), p + " was not found in " + run.verdict());
        System.out.println("storm: planted " + p + ": " + found.size() + " found, as " + found.get(0));
    }
}
