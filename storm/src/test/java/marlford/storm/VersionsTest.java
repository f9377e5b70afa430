package marlford.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A fleet of an older and a newer version; the newer one writes a tick's line with a field that the older does not know. */
class VersionsTest {
    private static final long TTL_MS = 1000;
    private static final String OLD = System.getProperty("java.class.path");

    private static Map<String, List<String>> newer() {
        Map<String, List<String>> changes = new LinkedHashMap<>();
        changes.put(
                "marlford/lease/Command.java",
                List.of("record Tick(long session, String task, long tick) implements Command {}", """
                record Tick(long session, String task, long tick, String note) implements Command {
                    public Tick(long session, String task, long tick) {
                        this(session, task, tick, "new");
                    }

                    @Override
                    public int level() {
                        return 3;
                    }
                }
                """));
        changes.put("marlford/membership/ProtocolVersions.java", List.of("CURRENT = 2;", "CURRENT = 3;"));
        changes.put(
                "marlford/membership/Hello.java",
                List.of("ProtocolVersions.CURRENT", "3")); // a constant is compiled in
        return changes;
    }

    /** A fleet in which g2 is of the older version and does not lead, as it was away and is back. */
    private static Rig fleet(String program) throws Exception {
        Rig rig = new Rig(3, Gateway.Role.AGENT, TTL_MS, 0, program, List.of());
        Gateway old = rig.gateways().get("g2");
        old.runs(OLD);
        assertTrue(rig.start());
        old.kill();
        assertTrue(rig.awaitAct(Rig.ONE)); // whoever leads now leads on
        rig.play(new Schedule(List.of()), rig.sinceMs() + 3 * TTL_MS);
        assertTrue(rig.awaitAct(Rig.ONE));
        old.start();
        return rig;
    }

    /** What the older one does not know is not agreed until it is replaced; all else goes on. */
    @Test
    void newLinesWaitForTheLastOldVoter(@TempDir Path dir) throws Exception {
        String program = Changed.program(dir, newer());
        try (Rig rig = fleet(program)) {
            Gateway old = rig.gateways().get("g2");
            long from = System.nanoTime();
            rig.play(new Schedule(List.of()), rig.sinceMs() + 2 * TTL_MS);
            assertEquals(
                    0,
                    rig.notes().stream()
                            .filter(n -> n.task().equals(Rig.TICK) && n.begin() > from)
                            .count());
            assertTrue(rig.awaitAct(Rig.ONE));
            assertFalse(old.said("takes no part"));
            old.kill();
            old.runs(program);
            old.start();
            assertTrue(rig.awaitAct(Rig.TICK));
            assertEquals(List.of(), rig.defects());
        }
    }

    /** Against the order, an older voter says that it can't follow, and does not go on with another book. */
    @Test
    void anOldVoterThatMeetsANewLineTakesNoPart(@TempDir Path dir) throws Exception {
        Map<String, List<String>> changes = newer();
        changes.put(
                "marlford/membership/ProtocolVersions.java",
                List.of("CURRENT = 2;", "CURRENT = 3;", "levels.getOrDefault(p, 1)", "CURRENT"));
        try (Rig rig = fleet(Changed.program(dir, changes))) {
            assertTrue(rig.awaitSaid("g2", "takes no part any more: the log has what only a newer version knows"));
            assertTrue(rig.awaitAct(Rig.TICK)); // by the two others' majority
        }
    }
}
