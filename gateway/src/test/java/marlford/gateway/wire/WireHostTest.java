package marlford.gateway.wire;

import static org.junit.jupiter.api.Assertions.*;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** Runs the simulator's adapter on literal input lines. */
class WireHostTest {
    private static final String ATTACH = "ATTACH rng_seed=5 az=a balancers=1 classes.count=1 classes.0.effect=once "
            + "classes.0.goal_time_ms=1000.0 classes.0.hard_limit_ms=3000.0 classes.0.name=pay ordinal=0 "
            + "limits.max_attempts=3 plans.count=1 plans.0.name=basic plans.0.units_per_s=5.0 plans.0.depth=10.0 "
            + "new.key=1\n";
    private static final String START = "BEGIN_BATCH moment_ms=1000.25 turn=1\nTARGET_INSTANCE gateway_id=3\n" + ATTACH
            + "CATALOG page=0 members=1\n"
            + "HOST host=10.0.0.1:90 failure_domain=a shape=std cohort=0 mode=Running rating=1\n"
            + "MEMBERSHIP epoch=1 how=C page=0\nCOMMIT\n";
    private static final String DEMAND = "DEMAND op_id=r-1 valid_until_ms=3000.0 from_no=0 lane=pay holder=7 "
            + "contract=basic size_units=2 doors=1 later=x\n";

    private static String run(String input) throws IOException {
        StringWriter out = new StringWriter();
        new WireHost(new BufferedReader(new StringReader(input)), out).run();
        return out.toString();
    }

    private static String batch(int turn, double now, String events) {
        return "BEGIN_BATCH moment_ms=" + now + " turn=" + turn + "\nTARGET_INSTANCE gateway_id=3\n" + events
                + "COMMIT\n";
    }

    @Test
    void repliesToAnEmptyBatch() throws IOException {
        assertEquals("YIELD turn=1\n", run("BEGIN_BATCH moment_ms=8412.25 turn=1\nCOMMIT\n"));
    }

    @Test
    void requestIsSentAndFailsAfterAnErrorOfItsHost() throws IOException {
        String reply = run(START + batch(2, 1001, DEMAND) + batch(3, 1002,
                "COMPLETED op_id=r-1 hop=0 host=10.0.0.1:90 reason=Failed cost_time_ms=1.0\n"));
        assertTrue(reply.contains("AT gateway_id=3\nPLACE op_id=r-1 host=10.0.0.1:90\nYIELD turn=2\n"), reply);
        assertTrue(reply.contains("AT gateway_id=3\nABORT op_id=r-1\nYIELD turn=3\n"), reply);
    }

    @Test
    void requestBeyondTheQuotaIsRefused() throws IOException {
        String reply = run(START + batch(2, 1001, DEMAND.replace("size_units=2", "size_units=11")));
        assertTrue(reply.contains("OVERLOAD_REPLY op_id=r-1"), reply);
    }

    @Test
    void killedInstanceKeepsNoState() throws IOException {
        String reply = run(START + batch(2, 1001, DEMAND + "KILL\n" + ATTACH) + batch(3, 1002, "DUE cookie=x\n"));
        assertTrue(reply.endsWith("YIELD turn=3\n"), reply);
    }

    @Test
    void errorNamesTheLineAndWhatIsWrong() {
        String[][] cases = {
            {"HELLO\n", "line 1: expected BEGIN_BATCH, found 'HELLO'"},
            {"BEGIN_BATCH moment_ms=x turn=1\nCOMMIT\n", "line 1: expected a number in 'moment_ms', found 'x'"},
            {"BEGIN_BATCH turn=1\nCOMMIT\n", "line 1: missing field 'moment_ms'"},
            {"BEGIN_BATCH moment_ms=1 turn=1\nDUE cookie=a\nCOMMIT\n", "line 2: 'DUE' before any TARGET_INSTANCE"},
            {START + batch(2, 1001, "SURPRISE a=1\n"), "line 10: unknown message 'SURPRISE'"},
            {START + batch(2, 1001, "DUE cookie\n"), "line 10: not a name=value pair: 'cookie'"},
            {START + batch(2, 1001, DEMAND.replace(" holder=7", "")), "line 10: missing field 'holder'"},
            {START + batch(2, 1001, DEMAND.replace("holder=7", "holder=seven")),
                "line 10: expected a whole number in 'holder', found 'seven'"},
            {START + batch(2, 1001, "MEMBERSHIP epoch=1 how=F page=9\n"), "line 10: no CATALOG with page 9"},
            {"BEGIN_BATCH moment_ms=1 turn=1\n", "line 2: input ended inside a batch"},
        };
        for (String[] c : cases) {
            WireFormatException fault = assertThrows(WireFormatException.class, () -> run(c[0]), c[1]);
            assertEquals(c[1], fault.getMessage());
        }
    }
}
