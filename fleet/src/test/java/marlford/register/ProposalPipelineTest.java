package marlford.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Lines on their way: whatever is lost, late or doubled, each is agreed and answered once. */
class ProposalPipelineTest {
    private static RegisterCommand enter(int i) {
        return new RegisterCommand.Enter(new KeyedRequest("k" + i, "d", "order", 1, "POST"), "x", i);
    }

    @Test
    void eachLineIsAnsweredOnceWhateverIsLost() {
        for (long seed = 1; seed <= 50; seed++) {
            Random random = new Random(seed);
            RequestRegister register = new RequestRegister();
            ProposalPipeline desk = new ProposalPipeline(1000);
            Map<Integer, Integer> answered = new HashMap<>();
            List<Runnable> mail = new ArrayList<>();
            long[] index = {0};
            double[] now = {0};
            for (int i = 0; i < 900; i++) { // more than may be under way
                int n = i;
                assertTrue(desk.carry(enter(n), s -> {
                    assertEquals(RegisterResult.Kind.OWNED, s.kind());
                    assertEquals("k" + n, s.entry().order().key());
                    answered.merge(n, 1, Integer::sum);
                }));
            }
            while (answered.size() < 900) {
                now[0] += 10;
                assertTrue(now[0] < 100_000, "seed " + seed);
                for (ProposalPipeline.Outgoing o : desk.due(now[0])) {
                    if (random.nextInt(10) == 0) {
                        desk.failed(o.id(), now[0]);
                        continue;
                    }
                    for (int copy = random.nextInt(10) == 0 ? 2 : 1; copy > 0; copy--) {
                        mail.add(() -> {
                            RegisterResult s =
                                    register.apply(++index[0], 1, o.line(), (a, b, c) -> false, () -> index[0]);
                            if (random.nextInt(10) > 0) {
                                mail.add(() -> desk.said(o.id(), s));
                            }
                        });
                    }
                }
                List<Runnable> arrives = new ArrayList<>(mail);
                mail.clear();
                arrives.stream().filter(m -> random.nextInt(10) > 0).forEach(Runnable::run);
            }
            long at = seed;
            answered.forEach((n, times) -> assertEquals(1, times, "seed " + at + " line " + n));
            assertEquals(900, register.snapshot().open().size());
            assertEquals(0, desk.size());
        }
    }

    @Test
    void whatEndsWithItsSessionIsUnknown() {
        ProposalPipeline desk = new ProposalPipeline(0);
        List<RegisterResult> heard = new ArrayList<>();
        desk.carry(enter(1), heard::add);
        ProposalPipeline.Outgoing o = desk.due(0).get(0);
        desk.carry(enter(2), heard::add);
        desk.sessionEnded();
        assertEquals(2, heard.size());
        assertNull(heard.get(0));
        desk.said(o.id(), RegisterResult.of(RegisterResult.Kind.DONE)); // too late
        assertEquals(2, heard.size());
    }

    @Test
    void whatIsBeyondTheBoundIsNotTaken() {
        ProposalPipeline desk = new ProposalPipeline(0);
        for (int i = 0; i < ProposalPipeline.WAITING_MAX; i++) {
            assertTrue(desk.carry(enter(i), s -> {}));
        }
        assertFalse(desk.carry(enter(1), s -> {}));
        assertEquals(ProposalPipeline.UNDER_WAY_MAX, desk.due(0).size());
        assertEquals(0, desk.due(1).size());
        assertTrue(desk.carry(enter(1), s -> {}));
    }
}
