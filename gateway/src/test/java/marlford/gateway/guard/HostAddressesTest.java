package marlford.gateway.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Scope;
import org.junit.jupiter.api.Test;

/** Guards against taking the process of one host for another that is, or was, listed at the same address. */
class HostAddressesTest {
    private static final String ADDRESS = "10.1.0.18:5000";
    private static final String OTHER_ADDRESS = "10.1.0.19:5000";
    private static final double START_MS = 100_000;
    private static final double TOLD_MS = 200_000;
    private static final double COUNTS_AS_TOLD_MS = 6000;
    private static final double DOUBT_MS = ListConfirmation.TOLD_WITHIN_MS;

    private final HostAddresses<String> addresses = new HostAddresses<>();

    private static Host host(String id, int cell, HostState state, double startedMs) {
        return new Host(id, "a", "k", cell, state, 1, startedMs);
    }

    private static Host old(HostState state) {
        return host("old", 1, state, 0);
    }

    private static Host fresh(HostState state) {
        return host("fresh", 2, state, 0);
    }

    /** Lists hosts, all at one address. The list before was confirmed right then. */
    private List<Host> tell(double now, ListKind kind, Host... hosts) {
        return tell(now, now, kind, hosts);
    }

    /** @param confirmedAtMs when discovery had confirmed the list before; minus infinity where it never had */
    private List<Host> tell(double now, double confirmedAtMs, ListKind kind, Host... hosts) {
        addresses.recordConfirmation(confirmedAtMs);
        Map<String, String> at = new HashMap<>();
        for (Host host : hosts) {
            at.put(host.id(), ADDRESS);
        }
        List<Host> result = addresses.update(now, kind, List.of(hosts), at);
        addresses.recordConfirmation(now);
        return result;
    }

    private ReachedProcess oldHostReachedAt(double openedAtMs) {
        return new ReachedProcess(addresses.tenure("old"), openedAtMs);
    }

    private static boolean isListedHost(ReachedProcess process) {
        return process.wasListedHost(TOLD_MS + 1, Scope.CELL);
    }

    @Test
    void aHostThatIsToldOfLaterHasTheAddressAndTheOtherOneIsGone() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        assertEquals(List.of(fresh(HostState.RUNNING), old(HostState.GONE)), tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING)));
        assertTrue(addresses.isSuperseded("old"));
        assertEquals(List.of(old(HostState.GONE)), tell(TOLD_MS + 1, ListKind.CHANGES, old(HostState.DRAINING)));
        assertEquals(List.of(old(HostState.GONE), fresh(HostState.RUNNING)),
                tell(TOLD_MS + 2, ListKind.FULL, old(HostState.RUNNING), fresh(HostState.RUNNING)));
    }

    @Test
    void ofTwoHostsOfOneListTheOneThatStartedLastHasTheAddress() {
        Host started = host("fresh", 2, HostState.RUNNING, 5);
        assertEquals(List.of(started, old(HostState.GONE)), tell(START_MS, ListKind.FULL, started, old(HostState.RUNNING)));
    }

    @Test
    void aHostThatStartedEarlierDoesNotTakeTheAddressThoughItIsToldOfLater() {
        Host running = host("running", 1, HostState.RUNNING, 9);
        tell(START_MS, ListKind.FULL, running);
        assertEquals(List.of(host("late", 2, HostState.GONE, 5)), tell(TOLD_MS, ListKind.CHANGES, host("late", 2, HostState.RUNNING, 5)));
        assertFalse(addresses.isSuperseded("running"));
    }

    /** Clocks of hosts may be wrong by an hour, so only a start of long ago (0) is certainly earlier than another. */
    @Test
    void theOrderOfTwoStartsLeavesItInDoubtWhichHostHasTheAddress() {
        Host running = host("running", 1, HostState.RUNNING, 9);
        Host other = host("other", 2, HostState.RUNNING, 5);
        for (boolean together : new boolean[] {true, false}) {
            tell(START_MS, ListKind.FULL, together ? new Host[] {running, other} : new Host[] {running});
            tell(TOLD_MS, ListKind.CHANGES, other);
            ReachedProcess process = new ReachedProcess(addresses.tenure("running"), TOLD_MS + 1);
            assertFalse(isListedHost(process));
            assertTrue(process.isListedHost(TOLD_MS + 1, Scope.ZONE));
            tell(TOLD_MS + 1, ListKind.CHANGES, host("other", 2, HostState.GONE, 5));
            assertTrue(new ReachedProcess(addresses.tenure("running"), TOLD_MS + 2).isListedHost(TOLD_MS + 2, Scope.CELL));
            tell(TOLD_MS + 1, ListKind.FULL);
        }
    }

    /** The later word is of the host that started long ago; it gets the work, but the other one may be there. */
    @Test
    void aHostOfLongAgoThatIsToldOfAfterOneWithAKnownStartLeavesItInDoubt() {
        tell(START_MS, ListKind.FULL, host("running", 1, HostState.RUNNING, 9));
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertTrue(addresses.isSuperseded("running"));
        assertFalse(isListedHost(new ReachedProcess(addresses.tenure("fresh"), TOLD_MS)));
        tell(TOLD_MS, ListKind.CHANGES, host("running", 1, HostState.GONE, 9));
        assertTrue(isListedHost(new ReachedProcess(addresses.tenure("fresh"), TOLD_MS)));
    }

    @Test
    void hostsOfOneListWithTheSameStartShareTheAddressUntilOneEnds() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING), fresh(HostState.RUNNING));
        assertFalse(addresses.isSuperseded("old") || addresses.isSuperseded("fresh"));
        ReachedProcess shared = oldHostReachedAt(START_MS + 1);
        addresses.recordConfirmation(TOLD_MS);
        assertFalse(isListedHost(shared));
        assertTrue(shared.wasListedHost(TOLD_MS, Scope.ZONE), "both are in one zone");
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.GONE));
        assertFalse(isListedHost(shared));
        assertNotSame(shared.tenure(), addresses.tenure("old"));
        assertTrue(isListedHost(oldHostReachedAt(TOLD_MS)));
    }

    /** An attempt may still be under way on a connection of the time when two hosts of one group shared the address. */
    @Test
    void aSharedTenureLearnsOfAHostThatComesLater() {
        Host same = host("same", 1, HostState.RUNNING, 0);
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING), same);
        ReachedProcess shared = oldHostReachedAt(TOLD_MS - 1);
        tell(TOLD_MS, ListKind.CHANGES, host("same", 1, HostState.GONE, 0));
        assertTrue(isListedHost(shared));
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertFalse(isListedHost(shared));
    }

    /** Of two hosts that shared the address and have both lost it, one ends. */
    @Test
    void theLastOfSeveralThatHaveLostTheAddressStaysGone() {
        Host same = host("same", 1, HostState.RUNNING, 0);
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING), same);
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 1);
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        tell(TOLD_MS + 1, ListKind.CHANGES, host("same", 1, HostState.GONE, 0));
        assertTrue(addresses.isSuperseded("old"));
        assertFalse(isListedHost(process));
        tell(TOLD_MS + 2, ListKind.CHANGES, fresh(HostState.GONE));
        tell(TOLD_MS + DOUBT_MS + 1, ListKind.CHANGES);
        assertFalse(addresses.isSuperseded("old"));
        assertFalse(isListedHost(process));
    }

    /** The work for each host does not grow with the number of hosts at its address. */
    @Test
    void veryManyHostsShareAnAddress() {
        Host[] hosts = IntStream.range(0, 50_000).mapToObj(i -> host("h" + i, i % 2, HostState.RUNNING, 0)).toArray(Host[]::new);
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            assertEquals(hosts.length, tell(START_MS, ListKind.FULL, hosts).size());
            assertEquals(hosts.length, tell(START_MS + 1, ListKind.FULL, hosts).size());
            tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
            assertTrue(addresses.isSuperseded("h0") && addresses.isSuperseded("h49999"));
            tell(TOLD_MS + 1, ListKind.CHANGES, fresh(HostState.GONE));
            tell(TOLD_MS + DOUBT_MS + 1, ListKind.CHANGES);
            assertFalse(addresses.isSuperseded("h0") || addresses.isSuperseded("h49999"));
            tell(TOLD_MS + DOUBT_MS + 2, ListKind.FULL);
        });
    }

    @Test
    void anEndAndANewHostLeaveTheConnectionsOfTheLastSecondsInDoubt() {
        for (boolean endFirst : new boolean[] {true, false}) {
            tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
            ReachedProcess before = oldHostReachedAt(TOLD_MS - DOUBT_MS - 1);
            ReachedProcess within = oldHostReachedAt(TOLD_MS - DOUBT_MS + 1);
            addresses.recordConfirmation(TOLD_MS);
            assertTrue(isListedHost(within));
            tell(TOLD_MS, ListKind.CHANGES, endFirst ? old(HostState.GONE) : fresh(HostState.RUNNING));
            assertTrue(isListedHost(before));
            assertFalse(isListedHost(within));
            tell(TOLD_MS, ListKind.CHANGES, endFirst ? fresh(HostState.RUNNING) : old(HostState.GONE));
            assertTrue(isListedHost(before));
            assertFalse(isListedHost(within));
        }
    }

    @Test
    void anEndWithoutANewHostLeavesNoDoubtOnceOneWouldHaveBeenToldOf() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess within = oldHostReachedAt(TOLD_MS - 1);
        tell(TOLD_MS, ListKind.CHANGES, old(HostState.GONE));
        addresses.recordConfirmation(TOLD_MS + DOUBT_MS);
        assertFalse(within.wasListedHost(TOLD_MS + DOUBT_MS, Scope.CELL));
        addresses.recordConfirmation(TOLD_MS + DOUBT_MS + 1);
        assertTrue(within.wasListedHost(TOLD_MS + DOUBT_MS + 1, Scope.CELL));
        tell(TOLD_MS + 3 * DOUBT_MS, ListKind.CHANGES, fresh(HostState.RUNNING)); // it can't have been there so early
        assertTrue(within.wasListedHost(TOLD_MS + 3 * DOUBT_MS, Scope.CELL));
    }

    /** What the gateway had not heard of for long may have happened long ago. */
    @Test
    void theDoubtReachesBackToTheLastConfirmationOfTheList() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 2 * DOUBT_MS);
        tell(TOLD_MS, TOLD_MS - 2 * DOUBT_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertFalse(isListedHost(process));
    }

    @Test
    void aListOfUnknownAgeProvesNothingOfAnyConnection() {
        addresses.update(START_MS, ListKind.CACHED, List.of(old(HostState.RUNNING)), Map.of("old", ADDRESS));
        ReachedProcess process = oldHostReachedAt(START_MS + 1);
        assertFalse(process.isListedHost(START_MS + 1, Scope.CELL));
        tell(TOLD_MS, Double.NEGATIVE_INFINITY, ListKind.FULL, fresh(HostState.RUNNING));
        assertFalse(isListedHost(process));
    }

    /** "What discovery has to tell counts as told 6 s later at the latest, whether or not it arrived" (the platform's protocol). */
    @Test
    void whileDiscoveryIsSilentOnlyConnectionsThatTheListCoversAreCertain() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        addresses.recordConfirmation(TOLD_MS);
        ReachedProcess covered = oldHostReachedAt(TOLD_MS - DOUBT_MS - 1);
        ReachedProcess newer = oldHostReachedAt(TOLD_MS - DOUBT_MS);
        assertTrue(newer.isListedHost(TOLD_MS + COUNTS_AS_TOLD_MS, Scope.CELL));
        double silentMs = TOLD_MS + COUNTS_AS_TOLD_MS + 1;
        assertFalse(newer.isListedHost(silentMs, Scope.CELL) || newer.wasListedHost(silentMs, Scope.CELL));
        assertTrue(newer.isListedHost(silentMs, Scope.ALL));
        assertTrue(covered.isListedHost(silentMs, Scope.CELL) && covered.wasListedHost(silentMs, Scope.CELL));
        addresses.recordConfirmation(silentMs);
        assertTrue(newer.isListedHost(silentMs, Scope.CELL) && newer.wasListedHost(silentMs, Scope.CELL));
    }

    @Test
    void aLossConcernsWhoeverHasTheAddressThenAndNoHostThatComesLater() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        addresses.recordLoss(ADDRESS, TOLD_MS - 1);
        assertFalse(oldHostReachedAt(TOLD_MS).isListedHost(TOLD_MS, Scope.CELL));
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        ReachedProcess process = new ReachedProcess(addresses.tenure("fresh"), TOLD_MS + 1);
        assertTrue(process.isListedHost(TOLD_MS + 2, Scope.CELL));
        addresses.recordLoss(ADDRESS, TOLD_MS + 2); // on a connection that was opened under the old host's name
        assertTrue(process.isListedHost(TOLD_MS + 3, Scope.CELL));
        assertFalse(new ReachedProcess(addresses.tenure("fresh"), TOLD_MS + 2).isListedHost(TOLD_MS + 3, Scope.CELL));
    }

    @Test
    void aLossConcernsAllHostsThatShareTheAddressAlsoWhenOneOfThemEnds() {
        Host same = host("same", 1, HostState.RUNNING, 0);
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING), same);
        addresses.tenure("old");
        addresses.recordLoss(ADDRESS, TOLD_MS);
        addresses.recordConfirmation(TOLD_MS);
        assertFalse(oldHostReachedAt(TOLD_MS).isListedHost(TOLD_MS, Scope.CELL));
        assertFalse(new ReachedProcess(addresses.tenure("same"), TOLD_MS).isListedHost(TOLD_MS, Scope.CELL));
        tell(TOLD_MS, ListKind.CHANGES, host("same", 1, HostState.GONE, 0));
        assertFalse(oldHostReachedAt(TOLD_MS).isListedHost(TOLD_MS, Scope.CELL));
        addresses.recordConfirmation(TOLD_MS + DOUBT_MS + 1);
        assertTrue(oldHostReachedAt(TOLD_MS).isListedHost(TOLD_MS + DOUBT_MS + 1, Scope.CELL));
    }

    @Test
    void aLossAtAnAddressOfNoHostIsForgotten() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        tell(TOLD_MS, ListKind.CHANGES, old(HostState.GONE));
        addresses.recordLoss(ADDRESS, TOLD_MS);
        tell(TOLD_MS, ListKind.CHANGES, old(HostState.RUNNING));
        assertTrue(oldHostReachedAt(TOLD_MS).isListedHost(TOLD_MS, Scope.CELL));
    }

    /** Responses on a connection from before the doubt show that the old process lived on. */
    @Test
    void responsesOnOlderConnectionsRemoveTheDoubtUpToTheLastOfThem() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 2000);
        ReachedProcess later = oldHostReachedAt(TOLD_MS - 900);
        process.tenure().recordResponse(TOLD_MS - 2 * DOUBT_MS, TOLD_MS - 3000);
        process.tenure().recordResponse(TOLD_MS - 2000, TOLD_MS - 1500); // alone, it could be another process
        process.tenure().recordResponse(TOLD_MS - 2 * DOUBT_MS, TOLD_MS - 1000);
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertTrue(isListedHost(process));
        assertFalse(isListedHost(later));
    }

    /** The response was read late; its process may have ended before the newer connection was opened. */
    @Test
    void aResponseToARequestFromBeforeANewerConnectionDoesNotShowThatBothLeadToOneProcess() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 2000);
        process.tenure().recordResponse(TOLD_MS - 2000, TOLD_MS - 100);
        process.tenure().recordResponse(TOLD_MS - 2 * DOUBT_MS, TOLD_MS - 3000);
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertFalse(isListedHost(process));
    }

    @Test
    void aResponseOnAConnectionOfTheDoubtProvesNothing() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 2000);
        process.tenure().recordResponse(TOLD_MS - 2000, TOLD_MS - 100);
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        assertFalse(isListedHost(process));
    }

    @Test
    void aHostOfTheSameGroupAtTheAddressLeavesNoDoubt() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 1);
        tell(TOLD_MS, ListKind.CHANGES, old(HostState.GONE), host("same", 1, HostState.RUNNING, 0));
        assertTrue(isListedHost(process));
    }

    /** An operator's or an old list's word on a host's state names no address. */
    @Test
    void aChangeOfStateWithoutAnAddressKeepsTheTenure() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        AddressTenure tenure = addresses.tenure("old");
        assertEquals(List.of(old(HostState.DRAINING)),
                addresses.update(TOLD_MS, ListKind.CHANGES, List.of(old(HostState.DRAINING)), Map.of()));
        assertSame(tenure, addresses.tenure("old"));
        assertEquals(ADDRESS, addresses.address("old"));
    }

    @Test
    void aHostThatMovesOrChangesItsGroupHasANewTenure() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        ReachedProcess process = oldHostReachedAt(TOLD_MS - 1);
        tell(TOLD_MS, ListKind.CHANGES, host("old", 2, HostState.RUNNING, 0));
        assertNotSame(process.tenure(), addresses.tenure("old"));
        assertFalse(isListedHost(process));
        addresses.update(TOLD_MS, ListKind.CHANGES, List.of(host("old", 2, HostState.RUNNING, 0)), Map.of("old", OTHER_ADDRESS));
        assertEquals(OTHER_ADDRESS, addresses.address("old"));
    }

    /** A host must not stay out of use for ever because of one that came and went. */
    @Test
    void aHostThatStaysListedHasItsAddressAgainOnceTheOtherIsGone() {
        tell(START_MS, ListKind.FULL, old(HostState.RUNNING));
        tell(TOLD_MS, ListKind.CHANGES, fresh(HostState.RUNNING));
        tell(TOLD_MS + 1, ListKind.CHANGES, fresh(HostState.GONE));
        addresses.recordConfirmation(TOLD_MS + DOUBT_MS);
        assertFalse(addresses.isRenewalDue());
        addresses.recordConfirmation(TOLD_MS + DOUBT_MS + 1);
        assertTrue(addresses.isRenewalDue());
        assertEquals(List.of(old(HostState.RUNNING)), tell(TOLD_MS + DOUBT_MS + 1, ListKind.CHANGES));
        assertFalse(addresses.isSuperseded("old"));
    }
}
