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
import marlford.gateway.list.HostList.Update;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** The host list in virtual time: which updates are accepted, how long a drain lasts, and how far an old list is used. */
class HostListTest {
    private static final Limits LIMITS = Limits.DEFAULT;
    private static final String AGENT_A = "agent a";
    private static final String AGENT_B = "agent b";

    private final HostList list = new HostList(LIMITS, 0);
    private final Map<String, HostState> states = new HashMap<>(); // as passed on to the decision engine

    private static Host host(String id, HostState state, double startedMs) {
        return new Host(id, "a", "k", 0, state, 1, startedMs);
    }

    private static Host ready(String id) {
        return host(id, HostState.RUNNING, 0);
    }

    private static Host draining(String id) {
        return host(id, HostState.DRAINING, 0);
    }

    private static void apply(Map<String, HostState> states, Update update) {
        if (update.accepted()) {
            if (update.kind() != ListKind.CHANGES) {
                states.clear();
            }
            update.hosts().forEach(h -> states.put(h.id(), h.state()));
        }
    }

    private Update full(double now, String agent, long version, Host... hosts) {
        Update update = list.receive(now, agent, version, true, List.of(hosts));
        apply(states, update);
        return update;
    }

    private Update change(double now, String agent, long version, Host... hosts) {
        Update update = list.receive(now, agent, version, false, List.of(hosts));
        apply(states, update);
        return update;
    }

    private void review(double now) {
        list.review(now).forEach(h -> states.put(h.id(), h.state()));
    }

    private HostState state(String id) {
        return states.get(id);
    }

    private void setExcluded(double now, String... ids) {
        list.setExcluded(now, Set.of(ids)).forEach(h -> states.put(h.id(), h.state()));
    }

    /** Neither a new list, nor a new incarnation, nor another agent, nor time ends the exclusion of a host. */
    @Test
    void excludedHostDrainsUntilTheExclusionEnds() {
        setExcluded(0, "later", "h");
        full(1, AGENT_A, 1, ready("h"), ready("other"));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("other"));
        change(2, AGENT_A, 2, host("h", HostState.GONE, 0));
        assertEquals(HostState.GONE, state("h"));
        change(3, AGENT_A, 3, host("h", HostState.RUNNING, 2.5), ready("later"));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.DRAINING, state("later"));
        full(4, AGENT_B, 1, host("h", HostState.RUNNING, 3.5), ready("later"));
        review(LIMITS.staleAfterMs() * 2);
        assertEquals(HostState.DRAINING, state("h"));
        setExcluded(LIMITS.staleAfterMs() * 3, "later");
        assertEquals(HostState.RUNNING, state("h"));
        assertEquals(HostState.DRAINING, state("later"));
    }

    @Test
    void endOfAnExclusionDoesNotReopenADrainingHost() {
        full(0, AGENT_A, 1, ready("h"));
        setExcluded(1, "h");
        change(2, AGENT_A, 2, draining("h"));
        setExcluded(3);
        assertEquals(HostState.DRAINING, state("h"));
        change(4, AGENT_A, 3, ready("h"));
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void excludedHostsOfTheCachedListDrain() {
        setExcluded(0, "h");
        Update update = list.loadCached(List.of(ready("h"), ready("other")), HostList.NO_VERSION);
        assertEquals(List.of(HostState.DRAINING, HostState.RUNNING),
                update.hosts().stream().map(Host::state).toList());
        assertEquals(Set.of("h", "other"), list.listedIds());
    }

    @Test
    void changeIsRejectedWithoutAFullListOfTheSameAgent() {
        assertFalse(change(0, AGENT_A, 5, ready("h")).accepted());
        full(1, AGENT_A, 5, ready("h"));
        assertFalse(change(2, AGENT_B, 6, draining("h")).accepted());
        assertEquals(HostList.NO_VERSION, list.heldVersion(AGENT_A)); // the full list contains what was missed
    }

    @Test
    void lowerVersionOfTheSameAgentIsRejected() {
        full(0, AGENT_A, 7, draining("h"));
        assertFalse(full(10, AGENT_A, 6, ready("h")).accepted());
        assertEquals(HostState.DRAINING, state("h"));
        assertFalse(change(20, AGENT_A, 6, ready("h")).accepted());
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void lowerFullListAfterALowerChangeDoesNotReopenAHost() {
        full(0, AGENT_A, 7, draining("h"));
        assertFalse(change(10, AGENT_A, 6, ready("h")).accepted());
        assertEquals(HostList.NO_VERSION, list.heldVersion(AGENT_A)); // the full list is due, but not in a version below 7
        assertFalse(full(20, AGENT_A, 6, ready("h")).accepted());
        assertEquals(HostState.DRAINING, state("h"));
        assertTrue(full(30, AGENT_A, 7, draining("h"), ready("i")).accepted());
        assertEquals(7, list.heldVersion(AGENT_A));
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void lowerFullListAfterAnUpdateThatCouldNotBePassedOnDoesNotReopenAHost() {
        full(0, AGENT_A, 6, ready("h"));
        change(10, AGENT_A, 7, draining("h"));
        list.requireFullList();
        assertFalse(full(20, AGENT_A, 6, ready("h")).accepted());
        assertEquals(HostState.DRAINING, state("h"));
    }

    @Test
    void agentThatRestartedItsNumberingIsAcceptedButDoesNotReopenAHost() {
        full(0, AGENT_A, 700, draining("h"), ready("i"));
        assertFalse(full(100, AGENT_A, 1, ready("h")).accepted());
        assertTrue(full(100 + LIMITS.lowerVersionRejectMs(), AGENT_A, 1, ready("h"), ready("j")).accepted());
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("j"));
        assertTrue(change(1200, AGENT_A, 2, ready("h")).accepted()); // a change that names the host
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void drainSurvivesAChangeOfAgentForALimitedTime() {
        full(0, AGENT_A, 9, ready("h"), ready("i"));
        change(10, AGENT_A, 10, draining("h"));
        full(20, AGENT_B, 3, ready("h"), ready("i"));
        assertEquals(HostState.DRAINING, state("h"));
        review(20 + LIMITS.closedHoldMs() - 1);
        assertEquals(HostState.DRAINING, state("h"));
        review(20 + LIMITS.closedHoldMs());
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void removedHostIsReopenedByAnotherAgentOnlyAfterARestart() {
        full(0, AGENT_A, 9, ready("h"), ready("i"));
        change(10, AGENT_A, 10, host("h", HostState.GONE, 0), host("i", HostState.GONE, 0));
        full(20, AGENT_B, 3, ready("h"), host("i", HostState.RUNNING, 15));
        assertEquals(HostState.DRAINING, state("h"));
        assertEquals(HostState.RUNNING, state("i"));
    }

    @Test
    void cachedListDoesNotKeepAHostClosed() {
        apply(states, list.loadCached(List.of(draining("h"), ready("i")), HostList.NO_VERSION));
        full(0, AGENT_A, 1, ready("h"));
        assertEquals(HostState.RUNNING, state("h"));
    }

    @Test
    void fullListIsDueAfterAnUpdateThatCouldNotBePassedOn() {
        full(0, AGENT_A, 4, ready("h"));
        assertEquals(4, list.heldVersion(AGENT_A));
        list.requireFullList();
        assertEquals(HostList.NO_VERSION, list.heldVersion(AGENT_A));
        assertFalse(change(5, AGENT_A, 5, draining("h")).accepted());
    }

    @Test
    void staleListSuspendsUnresponsiveHostsUntilTheNextUpdate() {
        full(0, AGENT_A, 1, ready("h1"), ready("h2"), ready("h3"), ready("h4"));
        double old = LIMITS.staleAfterMs() + 1;
        list.hostAnswered(old - 10, "h3");
        list.hostAnswered(old - 10, "h4");
        review(LIMITS.staleAfterMs());
        assertEquals(HostState.RUNNING, state("h1"));
        review(old);
        assertEquals(List.of(HostState.DRAINING, HostState.DRAINING, HostState.RUNNING, HostState.RUNNING),
                List.of(state("h1"), state("h2"), state("h3"), state("h4")));
        change(old + 1, AGENT_A, 1); // an empty update confirms the list
        assertEquals(HostState.RUNNING, state("h1"));
        assertEquals(HostState.RUNNING, state("h2"));
        assertEquals(0, list.ageMs(old + 1));
    }

    @Test
    void limitsOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Limits(0, 0.5, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 1.5, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, -1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, 1, Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Limits(1, 0.5, 2, 1, 1));
    }

    // ---- random sequences of updates, pauses and answers; jqwik prints the seed of a failure

    /**
     * One event.
     *
     * @param what 0 for a full list, 1 for a change, 2 for an answer of a host, otherwise a review
     * @param afterMs time since the event before
     */
    record Step(int what, double afterMs, int agent, long version, List<Host> hosts) { }

    @Provide
    Arbitrary<List<Step>> stepSequences() {
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

    /** Checks all rules at once against a direct interpretation of the updates. */
    @Property(tries = 2000)
    void noHostIsReopenedWronglyAndAGatewayAlwaysHasAHost(@ForAll("stepSequences") List<Step> steps) {
        HostList any = new HostList(LIMITS, 0);
        Map<String, HostState> used = new HashMap<>(); // as passed on to the decision engine
        Map<String, Host> reported = new HashMap<>(); // by the accepted updates
        Map<String, Double> removedAt = new HashMap<>(); // when a host was last reported, or found, to be gone
        String source = null;
        long acceptedVersion = HostList.NO_VERSION; // the version of the last accepted update
        double now = 0;
        for (Step s : steps) {
            now += s.afterMs();
            if (s.what() <= 1) {
                String agent = s.agent() == 0 ? AGENT_A : AGENT_B;
                boolean full = s.what() == 0;
                boolean older = agent.equals(source) && s.version() < acceptedVersion;
                Update update = any.receive(now, agent, s.version(), full, s.hosts());
                if (!update.accepted()) {
                    assertTrue(!full || older, "a valid full list was rejected");
                    assertTrue(full || any.heldVersion(agent) == HostList.NO_VERSION, "a change was rejected, but no full list is due");
                    continue;
                }
                assertTrue(full || !older, "a change with a lower version was accepted");
                assertEquals(s.version(), any.heldVersion(agent));
                boolean mayBeOlder = source != null && (!agent.equals(source) || older);
                for (Host h : s.hosts()) {
                    Host before = reported.get(h.id());
                    boolean sameIncarnation = before != null && before.startedMs() == h.startedMs();
                    boolean wasOpen = before == null || before.state() == HostState.RUNNING;
                    HostState is = update.hosts().stream().filter(t -> t.id().equals(h.id())).findFirst().orElseThrow()
                            .state();
                    boolean forgotten = now - removedAt.getOrDefault(h.id(), now) > LIMITS.removedHostRetentionMs();
                    if (mayBeOlder && sameIncarnation && !wasOpen && !forgotten && h.state() == HostState.RUNNING) {
                        assertEquals(HostState.DRAINING, is, "a closed host was reopened by another agent");
                    }
                    if (h.state() != HostState.RUNNING) {
                        assertEquals(h.state(), is);
                    }
                }
                source = agent;
                acceptedVersion = s.version();
                if (full) {
                    used.clear();
                    for (Host h : reported.values()) {
                        if (h.state() != HostState.GONE) {
                            removedAt.put(h.id(), now);
                        }
                    }
                    reported.replaceAll((id, h) -> host(id, HostState.GONE, h.startedMs()));
                }
                for (Host h : s.hosts()) {
                    reported.put(h.id(), h);
                    removedAt.remove(h.id());
                    if (h.state() == HostState.GONE) {
                        removedAt.put(h.id(), now);
                    }
                }
                update.hosts().forEach(h -> used.put(h.id(), h.state()));
            } else if (s.what() == 2) {
                any.hostAnswered(now, "h" + s.agent());
            } else {
                any.review(now).forEach(h -> used.put(h.id(), h.state()));
            }
            // No host is used that the updates close.
            for (Map.Entry<String, HostState> e : used.entrySet()) {
                if (e.getValue() == HostState.RUNNING) {
                    assertEquals(HostState.RUNNING, reported.get(e.getKey()).state(), e.getKey());
                }
            }
            assertTrue(any.ageMs(now) >= 0);
        }
        // Without further updates, once closed hosts are no longer held closed, at least half of the running hosts are used.
        now += LIMITS.staleAfterMs() + LIMITS.closedHoldMs() + 1;
        any.review(now).forEach(h -> used.put(h.id(), h.state()));
        long running = reported.values().stream().filter(h -> h.state() == HostState.RUNNING).count();
        long usedCount = used.values().stream().filter(s -> s == HostState.RUNNING).count();
        assertTrue(2 * usedCount >= running && (running == 0 || usedCount >= 1), usedCount + " of " + running + " running hosts are used");
    }

    /** A full list is discovery's most expensive answer, and a tier that restarts requests fourteen of them at once. */
    @Test
    void afterARejectionChangesContinueFromTheCachedList() {
        HostList list = new HostList(HostList.Limits.DEFAULT, 0);
        list.loadCached(List.of(ready("h"), ready("i")), 41);
        assertEquals(HostList.NO_VERSION, list.heldVersion("agent"));
        list.continueFromCached("agent");
        assertEquals(41, list.heldVersion("agent"));
        assertTrue(list.receive(10, "agent", 43, false, List.of(draining("h"))).accepted());
        assertEquals(43, list.heldVersion("agent"));
        list.continueFromCached("agent");
        assertEquals(43, list.heldVersion("agent"), "the received version is newer than the cached one");

        HostList without = new HostList(HostList.Limits.DEFAULT, 0);
        without.loadCached(List.of(ready("h")), HostList.NO_VERSION);
        without.continueFromCached("agent");
        assertEquals(HostList.NO_VERSION, without.heldVersion("agent"));
    }

    @Test
    void listedHostsAreCountedBeforeAChangeIsAccepted() {
        full(0, AGENT_A, 1, ready("a"), ready("b"));
        assertEquals(3, list.listedCountAfter(List.of(ready("a"), ready("c"))));
        assertEquals(1, list.listedCountAfter(List.of(host("b", HostState.GONE, 0), host("x", HostState.GONE, 0))));
        change(1, AGENT_A, 2, host("b", HostState.GONE, 0));
        assertEquals(2, list.listedCountAfter(List.of(ready("b"))));
    }

    /** Full lists without a common host follow each other within a minute; removed hosts used to accumulate without a limit. */
    @Test
    void rememberedRemovedHostsAreLimited() {
        int hosts = HostList.MAX_REMOVED_HOSTS;
        for (int version = 1; version <= 3; version++) {
            List<Host> fresh = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                fresh.add(ready(version + "-" + i));
            }
            assertEquals(hosts, list.receive(version, AGENT_A, version, true, fresh).hosts().size());
        }
        assertEquals(hosts, list.listedIds().size());
        assertEquals(2 * hosts, list.entryCount());
    }
}
