package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** No host is taken to have started earlier than it did, however wrong the wall clock is. */
class HostStartsTest {
    private static final double NOW = 1e9; // true time
    private static final double WARM_MS = 10_000;

    private static void receiveList(HostStarts starts, ListKind kind, double... startedMs) {
        List<Host> hosts = Stream.iterate(0, i -> i < startedMs.length, i -> i + 1)
                .map(i -> new Host("h" + i, "a", "std", 0, HostState.RUNNING, 1, startedMs[i])).toList();
        starts.noteHosts(hosts);
        starts.listProcessed(kind);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-3_600_000, -3000, 0, 3000, 3_600_000})
    void startReportedLaterCountsFromItsReport(double errorMs) {
        HostStarts starts = new HostStarts(WARM_MS);
        receiveList(starts, ListKind.FULL, 0);
        assertEquals(NOW + errorMs, starts.latestStartMs(NOW + errorMs, NOW - 500));
    }

    @ParameterizedTest
    @ValueSource(doubles = {-3_600_000, -3000, 0, 3000, 3_600_000})
    void firstListGivesOnlyTheDifferencesBetweenStarts(double errorMs) {
        for (ListKind kind : List.of(ListKind.CACHED, ListKind.FULL, ListKind.CHANGES)) {
            HostStarts starts = new HostStarts(WARM_MS);
            double youngest = NOW - 300;
            double older = youngest - 4000;
            receiveList(starts, ListKind.CACHED, older, youngest, 0);
            double clock = NOW + errorMs;
            assertEquals(clock, starts.latestStartMs(clock, youngest));
            assertEquals(clock - 4000, starts.latestStartMs(clock, older));
            assertTrue(starts.latestStartMs(clock, NOW - 8_000_000) < clock - WARM_MS);
            starts.listProcessed(kind);
            assertEquals(kind == ListKind.CACHED ? clock - 4000 : clock, starts.latestStartMs(clock, older));
        }
    }
}
