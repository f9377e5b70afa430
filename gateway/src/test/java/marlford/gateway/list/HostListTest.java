package marlford.gateway.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.list.HostList.Limits;
import marlford.gateway.list.HostList.Told;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** The list in virtual time: which word counts, how long a drain stands, and what an old list is still good for. */
class HostListTest {
    private static final Limits LIMITS = Limits.DEFAULT;
    private static final String A = "agent a";
    private static final String B = "agent b";

    private final HostList list = new HostList(LIMITS, 0);
    private final Map<String, HostState> gone = new HashMap<>(); // what the gateway goes by

    private static Host host(String id, HostState state, double startedMs) {
        return new Host(id, "a", "k", 0, state, 1, startedMs);
    }

    private static Host ready(String id) {
        return host(id, HostState.RUNNING, 0);
    }

    private static Host draining(String id) {
        return host(id, HostState.DRAINING, 0);
    }

    private static void apply(Map<String, HostState> states, Told told) {
        if (told.taken()) {
            if (told.kind() != ListKind.CHANGES) {
                states.clear();
            }
            told.hosts().forEach(h -> states.put(h.id(), h.state()));
        }
    }

    private Told whole(double now, String agent, long version, Host... hosts) {
        Told told = list.heard(now, agent, version, true, List.of(hosts));
        apply(gone, told);
        return told;
    }

    private Told change(double now, String agent, long version, Host... hosts) {
        Told told = list.heard(now, agent, version, false, List.of(hosts));
        apply(gone, told);
        return told;
    }

    private void review(double now) {
        list.review(now).forEach(h -> gone.put(h.id(), h.state()));
    }

    private HostState state(String id) {
        return gone.get(id);
    }

    private void leaveOut(double now, String... ids) {
        list.leaveOut(now, Set.of(ids)).forEach(h -> gone.put(h.id(), h.state()));
    }

    /** By hand out is out: neither a fresh list, nor a new life, nor another agent, nor time takes the host back. */
    @Test
    void whatIsLeftOutStaysOutWhateverIsToldUntilItIsTakenBack() {
        leaveOut(0, "later", "h");
        whole(1, A, 1, ready("h"), ready("other"));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("other"));
        change(2, A, 2, host("h", HostState.GONE, 0));
        assertEquals(HostState.GONE, state("h"));
        change(3, A, 3, host("h", HostState.RUNNING, 2.5), ready("later"));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.DRAINING, state("later"));
        whole(4, B, 1, host("h", HostState.RUNNING, 3.5), ready("later"));
        review(LIMITS.vouchMs() * 2);
        assertEquals(HostState.DRAINING, state("h"));
        leaveOut(LIMITS.vouchMs() * 3, "later");
        assertEquals(HostState.RUNNING, state("h"));
        assertEquals(HostState.DRAINING, state("later"));
    }

    @Test
    void takingBackReopensNoHostThatDrainsByItself() {
        whole(0, A, 1, ready("h"));
        leaveOut(1, "h");
        change(2, A, 2, draining("h"));
        leaveOut(3);
        assertEquals(HostState.DRAINING, state("h"));
        change(4, A, 3, ready("h"));
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void aListFromBeforeTheStartIsGoneByWithoutThoseLeftOut() {
        leaveOut(0, "h");
        Told told = list.known(List.of(ready("h"), ready("other")), HostList.NONE);
        assertEquals(List.of(HostState.DRAINING, HostState.RUNNING),
                told.hosts().stream().map(Host::state).toList());
        assertEquals(Set.of("h", "other"), list.listed());
    }

    @Test
    void aChangeFromAnAgentWhoseListWasNeverHeardIsNotTaken() {
        assertFalse(change(0, A, 5, ready("h")).taken());
        whole(1, A, 5, ready("h"));
        assertFalse(change(2, B, 6, draining("h")).taken());
        assertEquals(HostList.NONE, list.version(A)); // what was missed is in the whole list
    }

    @Test
    void anOlderVersionOfTheSameAgentChangesNothing() {
        whole(0, A, 7, draining("h"));
        assertFalse(whole(10, A, 6, ready("h")).taken());
        assertEquals(HostState.DRAINING, state("h"));
        assertFalse(change(20, A, 6, ready("h")).taken());
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void anOlderWholeListAfterAnOlderChangeReopensNothing() {
        whole(0, A, 7, draining("h"));
        assertFalse(change(10, A, 6, ready("h")).taken());
        assertEquals(HostList.NONE, list.version(A)); // the whole list is due, but not one from before version 7
        assertFalse(whole(20, A, 6, ready("h")).taken());
        assertEquals(HostState.DRAINING, state("h"));
        assertTrue(whole(30, A, 7, draining("h"), ready("i")).taken());
        assertEquals(7, list.version(A));
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void anOlderWholeListAfterOneThatCouldNotBePassedOnReopensNothing() {
        whole(0, A, 6, ready("h"));
        change(10, A, 7, draining("h"));
        list.lost();
        assertFalse(whole(20, A, 6, ready("h")).taken());
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void anAgentThatCountsAnewIsBelievedInTheEndButOpensNothing() {
        whole(0, A, 700, draining("h"), ready("i"));
        assertFalse(whole(100, A, 1, ready("h")).taken());
        assertTrue(whole(100 + LIMITS.renumberMs(), A, 1, ready("h"), ready("j")).taken());
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("j"));
        assertTrue(change(1200, A, 2, ready("h")).taken()); // the agent names the host itself
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void aDrainOutlivesItsTellerForAWhile() {
        whole(0, A, 9, ready("h"), ready("i"));
        change(10, A, 10, draining("h"));
        whole(20, B, 3, ready("h"), ready("i"));
        assertEquals(HostState.DRAINING, state("h"));
        review(20 + LIMITS.stickMs() - 1);
        assertEquals(HostState.DRAINING, state("h"));
        review(20 + LIMITS.stickMs());
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void aHostThatWasGoneIsNotBroughtBackByAnOlderListUnlessItStartedAnew() {
        whole(0, A, 9, ready("h"), ready("i"));
        change(10, A, 10, host("h", HostState.GONE, 0), host("i", HostState.GONE, 0));
        whole(20, B, 3, ready("h"), host("i", HostState.RUNNING, 15));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("i"));
    }

    @Test
    void aListFromBeforeTheStartBindsNobody() {
        apply(gone, list.known(List.of(draining("h"), ready("i")), HostList.NONE));
        whole(0, A, 1, ready("h"));
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void whatCouldNotBePassedOnIsAskedForAgain() {
        whole(0, A, 4, ready("h"));
        assertEquals(4, list.version(A));
        list.lost();
        assertEquals(HostList.NONE, list.version(A));
        assertFalse(change(5, A, 5, draining("h")).taken());
    }

    @Test
    void anOldListPutsAsideWhoDoesNotAnswerAndTheNextWordTakesThemBack() {
        whole(0, A, 1, ready("h1"), ready("h2"), ready("h3"), ready("h4"));
        double old = LIMITS.vouchMs() + 1;
        list.served(old - 10, "h3");
        list.served(old - 10, "h4");
        review(LIMITS.vouchMs());
        assertEquals(HostState.RUNNING, state("h1"));
        review(old);
        assertEquals(List.of(HostState.DRAINING, HostState.DRAINING, HostState.RUNNING, HostState.RUNNING),
                List.of(state("h1"), state("h2"), state("h3"), state("h4")));
        change(old + 1, A, 1); // an empty word: all is as it was
        assertEquals(HostState.RUNNING, state("h1"));
        assertEquals(HostState.RUNNING, state("h2"));
        assertEquals(0, list.ageMs(old + 1));
    }

    @Test
    void limitsOutOfRangeAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, 0.5, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 1.5, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, -1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, 1, Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, 2, 1, 1));
    }

    // ---- any course of words, silences and answers; jqwik prints the seed of a failure

    /** One thing that happens some time {@code after} the last: a word of an agent, an answer of a host, or a review. */
    record Step(int what, double after, int agent, long version, List<Host> hosts) { }

    @Provide
    Arbitrary<List<Step>> courses() {
        Arbitrary<Host> hosts = Combinators.combine(Arbitraries.integers().between(0, 5),
                Arbitraries.of(HostState.values()), Arbitraries.of(0.0, 5.0))
                .as((id, state, started) -> host("h" + id, state, started));
        Arbitrary<List<Host>> some = hosts.list().ofMaxSize(6).map(HostListTest::oneEach);
        return Combinators.combine(Arbitraries.integers().between(0, 4),
                Arbitraries.of(0.0, 1.0, 300.0, 1500.0, 9999.0, 29_999.0, 31_000.0),
                Arbitraries.integers().between(0, 1), Arbitraries.longs().between(0, 6), some)
                .as(Step::new).list().ofMaxSize(40);
    }

    private static List<Host> oneEach(List<Host> hosts) {
        Map<String, Host> byId = new HashMap<>();
        hosts.forEach(h -> byId.put(h.id(), h));
        return new ArrayList<>(byId.values());
    }

    /** The whole of the rule at once, against what a plain reading of the words says. */
    @Property(tries = 2000)
    void aGatewayIsNeverLeftWithoutAServerAndNeverReopensOne(@ForAll("courses") List<Step> steps) {
        HostList any = new HostList(LIMITS, 0);
        Map<String, HostState> by = new HashMap<>(); // what the gateway goes by
        Map<String, Host> said = new HashMap<>(); // what the last taken words say
        Map<String, Double> left = new HashMap<>(); // when a host was last told, or found, to be gone
        String teller = null;
        long held = HostList.NONE; // the version of the last word taken
        double now = 0;
        for (Step s : steps) {
            now += s.after();
            if (s.what() <= 1) {
                String agent = s.agent() == 0 ? A : B;
                boolean whole = s.what() == 0;
                boolean older = agent.equals(teller) && s.version() < held;
                Told told = any.heard(now, agent, s.version(), whole, s.hosts());
                if (!told.taken()) {
                    assertTrue(!whole || older, "a good word was turned down");
                    assertTrue(whole || any.version(agent) == HostList.NONE, "a change was missed for good");
                    continue;
                }
                assertTrue(whole || !older, "an older change was taken");
                assertEquals(s.version(), any.version(agent));
                boolean doubtful = teller != null && (!agent.equals(teller) || older);
                for (Host h : s.hosts()) {
                    Host before = said.get(h.id());
                    boolean sameLife = before != null && before.startedMs() == h.startedMs();
                    boolean wasOpen = before == null || before.state() == HostState.RUNNING;
                    HostState is = told.hosts().stream().filter(t -> t.id().equals(h.id())).findFirst().orElseThrow()
                            .state();
                    boolean forgotten = now - left.getOrDefault(h.id(), now) > LIMITS.goneMs();
                    if (doubtful && sameLife && !wasOpen && !forgotten && h.state() == HostState.RUNNING) {
                        assertEquals(HostState.DRAINING, is, "reopened by another teller");
                    }
                    if (h.state() != HostState.RUNNING) {
                        assertEquals(h.state(), is);
                    }
                }
                teller = agent;
                held = s.version();
                if (whole) {
                    by.clear();
                    for (Host h : said.values()) {
                        if (h.state() != HostState.GONE) {
                            left.put(h.id(), now);
                        }
                    }
                    said.replaceAll((id, h) -> host(id, HostState.GONE, h.startedMs()));
                }
                for (Host h : s.hosts()) {
                    said.put(h.id(), h);
                    left.remove(h.id());
                    if (h.state() == HostState.GONE) {
                        left.put(h.id(), now);
                    }
                }
                told.hosts().forEach(h -> by.put(h.id(), h.state()));
            } else if (s.what() == 2) {
                any.served(now, "h" + s.agent());
            } else {
                any.review(now).forEach(h -> by.put(h.id(), h.state()));
            }
            // Nobody is used whom the words close, and at least half of the open ones are used once none is shut.
            for (Map.Entry<String, HostState> e : by.entrySet()) {
                if (e.getValue() == HostState.RUNNING) {
                    assertEquals(HostState.RUNNING, said.get(e.getKey()).state(), e.getKey());
                }
            }
            assertTrue(any.ageMs(now) >= 0);
        }
        // With no further word, and all that shuts run out, at least half of the running ones serve.
        now += LIMITS.vouchMs() + LIMITS.stickMs() + 1;
        any.review(now).forEach(h -> by.put(h.id(), h.state()));
        long running = said.values().stream().filter(h -> h.state() == HostState.RUNNING).count();
        long used = by.values().stream().filter(s -> s == HostState.RUNNING).count();
        assertTrue(2 * used >= running && (running == 0 || used >= 1), used + " of " + running + " are used");
    }

    /** A whole list costs discovery most, and a herd that returns asks for fourteen of them at once. */
    @Test
    void turnedAwayItGoesOnFromTheListOfBeforeTheStart() {
        HostList list = new HostList(HostList.Limits.DEFAULT, 0);
        list.known(List.of(ready("h"), ready("i")), 41);
        assertEquals(HostList.NONE, list.version("agent"));
        list.goOnFromKnown("agent");
        assertEquals(41, list.version("agent"));
        assertTrue(list.heard(10, "agent", 43, false, List.of(draining("h"))).taken());
        assertEquals(43, list.version("agent"));
        list.goOnFromKnown("agent");
        assertEquals(43, list.version("agent"), "what was heard since is newer");

        HostList without = new HostList(HostList.Limits.DEFAULT, 0);
        without.known(List.of(ready("h")), HostList.NONE);
        without.goOnFromKnown("agent");
        assertEquals(HostList.NONE, without.version("agent"));
    }

    @Test
    void changesAreCountedBeforeTheyAreTaken() {
        whole(0, A, 1, ready("a"), ready("b"));
        assertEquals(3, list.listedWith(List.of(ready("a"), ready("c"))));
        assertEquals(1, list.listedWith(List.of(host("b", HostState.GONE, 0), host("x", HostState.GONE, 0))));
        change(1, A, 2, host("b", HostState.GONE, 0));
        assertEquals(2, list.listedWith(List.of(ready("b"))));
    }

    /** Lists that share no host, one after another within a minute: those that left once added up without a bound. */
    @Test
    void hostsThatLeftAreRememberedUpToABound() {
        int hosts = HostList.GONE_MAX;
        for (int version = 1; version <= 3; version++) {
            List<Host> fresh = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                fresh.add(ready(version + "-" + i));
            }
            assertEquals(hosts, list.heard(version, A, version, true, fresh).hosts().size());
        }
        assertEquals(hosts, list.listed().size());
        assertEquals(2 * hosts, list.held());
    }
}
