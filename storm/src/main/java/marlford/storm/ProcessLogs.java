package marlford.storm;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Reads the logs of the processes of a run. */
final class ProcessLogs {
    private static final long TIMEOUT_MS = 20_000;
    private static final String HANDED_OVER = "fleet: handed over in ";
    private static final int LAST_LINES = 30; // of each process

    private final Collection<Gateway> processes;

    ProcessLogs(Collection<Gateway> processes) {
        this.processes = processes;
    }

    /** Does something and waits until each process has logged this since; false if one has not within 20 s. */
    boolean awaitAfter(Runnable action, String part) throws IOException, InterruptedException {
        Map<Gateway, Integer> from = new HashMap<>();
        for (Gateway g : processes) {
            from.put(g, Files.readString(g.log()).length());
        }
        action.run();
        return await(part, from);
    }

    /** Waits until each process has logged this, now or before; false if one has not within 20 s. */
    boolean await(String part) throws IOException, InterruptedException {
        return await(part, Map.of());
    }

    private boolean await(String part, Map<Gateway, Integer> from) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        for (Gateway g : processes) {
            if (!Await.until(() -> Files.readString(g.log()).indexOf(part, from.getOrDefault(g, 0)) >= 0, end)) {
                return false;
            }
        }
        return true;
    }

    /** How long each planned handover took, in milliseconds. */
    List<Long> handOvers() throws IOException {
        List<Long> took = new ArrayList<>();
        for (Gateway g : processes) {
            try (Stream<String> lines = Files.lines(g.log())) {
                lines.filter(l -> l.contains(HANDED_OVER))
                        .forEach(l -> took.add(Long.parseLong(
                                l.substring(l.indexOf(HANDED_OVER)).replaceAll("\\D", ""))));
            }
        }
        return took;
    }

    /** Lines that report a defect. */
    List<String> defects() throws IOException {
        List<String> found = new ArrayList<>();
        for (Gateway g : processes) {
            try (Stream<String> lines = Files.lines(g.log())) {
                lines.filter(l -> l.contains("defect")).forEach(l -> found.add(g.name + ": " + l));
            }
        }
        return found;
    }

    /** The state of each process and the end of its log, for diagnosis. */
    String lastLines() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Gateway g : processes) {
            List<String> lines = Files.readAllLines(g.log());
            all.append(g.name)
                    .append(g.isStopped() ? " is stopped" : g.isAlive() ? " runs" : " has ended")
                    .append('\n');
            lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size())
                    .forEach(l -> all.append("  ").append(l).append('\n'));
        }
        return all.toString();
    }
}
