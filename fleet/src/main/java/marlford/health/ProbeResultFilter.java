package marlford.health;

import java.util.ArrayList;
import java.util.List;
import marlford.board.BoardClient;
import marlford.board.Row;

/**
 * Which findings of others are believed: each once, and only while it is young. What the decision module makes of one beside
 * what it knows itself is its own business. Not thread-safe.
 */
public final class ProbeResultFilter {
    /** A finding with its age, which is the greatest that it can have, in milliseconds. */
    public record Report(String host, ProbeResult finding, double ageMs) {}

    private final double ageMaxMs;
    private long believed;
    private long tooOld;

    /** @param ageMaxMs a finding that is older is not believed */
    public ProbeResultFilter(double ageMaxMs) {
        this.ageMaxMs = ageMaxMs;
    }

    /** What is new and believed. */
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

    /** For operators. */
    public String text() {
        return "findings believed=" + believed + " too_old=" + tooOld;
    }
}
