package marlford.health;

import java.util.ArrayList;
import java.util.List;
import marlford.board.BoardClient;
import marlford.board.Row;

/**
 * Which results of other members' probes are used: each once, and only while it is fresh. How the decision engine
 * weighs them against its own observations is its own business. Not thread-safe.
 */
public final class ProbeResultFilter {
    /** A result with the upper bound of its age, in milliseconds. */
    public record Report(String host, ProbeResult finding, double ageMs) {}

    private final double ageMaxMs;
    private long believed;
    private long tooOld;

    /** @param ageMaxMs older results are ignored */
    public ProbeResultFilter(double ageMaxMs) {
        this.ageMaxMs = ageMaxMs;
    }

    /** The new results that are used. */
    public List<Report> read(BoardClient notes, double now) {
        List<Report> reports = new ArrayList<>();
        for (Row r : notes.news(Prober.TOPIC, now)) {
            ProbeResult f = ProbeResult.of(r.value());
            if (f != null && r.ageMs() <= ageMaxMs) {
                believed++;
                reports.add(new Report(r.key(), f, r.ageMs()));
            } else {
                tooOld++;
            }
        }
        return reports;
    }

    /** One line for the operators' page. */
    public String text() {
        return "findings believed=" + believed + " too_old=" + tooOld;
    }
}
