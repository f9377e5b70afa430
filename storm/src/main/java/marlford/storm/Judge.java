package marlford.storm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import marlford.storm.Fault.Kind;

/**
 * What a history of acts shows. Of acts that a resource with tokens took, no two of one piece and different tokens overlap
 * and no token goes back; a tick is acted on at most once; a token is one holder's. Any such thing is <em>broken</em>.
 *
 * <p>A resource without tokens would have taken all acts: of those, each that overlaps a later holder's, or comes after
 * it began, is counted with the stop or delay that it needs: of its holder, of its way, or of the resource itself, which worked at
 * an act for longer than the holder waits. One that has none is <em>unexplained</em>.
 */
final class Judge {
    private static final double NANOS_PER_MS = 1e6;
    private static final long WAKE_NS = 1_500_000_000L; // after a stop or a cut what was under way arrives by then
    private static final Set<Kind> EXCUSES = Set.of(Kind.STOP, Kind.CUT_RESOURCE, Kind.SLOW_RESOURCE);

    /**
     * What was found.
     *
     * @param gapsMs the times from an act of one holder of the single task to the first of the next, in milliseconds
     * @param longestMs the longest time in which nobody acted as the single holder
     */
    record Verdict(
            int acts,
            int taken,
            int turnedAway,
            int holders,
            int overlaps,
            List<String> unexplained,
            List<String> broken,
            List<Double> gapsMs,
            double longestMs,
            long lastActMs) {}

    private final long takesNs;
    private final List<Note> notes;
    private final List<Rig.Played> played;
    private final List<String> broken = new ArrayList<>();
    private final List<String> unexplained = new ArrayList<>();
    private int overlaps;

    /** @param takesMs the longest that a holder waits for an act */
    Judge(List<Note> notes, List<Rig.Played> played, double takesMs) {
        this.takesNs = (long) (takesMs * NANOS_PER_MS);
        this.notes = notes;
        this.played = played;
    }

    /** @param zero when the run began, and {@code end} when it ended, in nanoseconds */
    Verdict judge(long zero, long end) {
        Map<String, List<Note>> pieces = new TreeMap<>();
        Map<Long, String> owners = new HashMap<>();
        for (Note n : notes) {
            pieces.computeIfAbsent(n.piece(), p -> new ArrayList<>()).add(n);
            String owner = owners.putIfAbsent(n.token(), n.holder() + " for " + n.piece());
            if (owner != null && !owner.equals(n.holder() + " for " + n.piece())) {
                broken.add("token " + n.token() + " is of " + owner + " and of " + n.holder() + " for " + n.piece());
            }
        }
        pieces.forEach((piece, acts) -> {
            acts.sort(Comparator.comparingLong(Note::begin));
            if (piece.equals(Rig.TICK)) {
                ticks(acts);
            } else if (piece.equals(Rig.TWO)) {
                crowd(piece, acts, 2);
            } else {
                fenced(piece, acts);
                bounded(piece, acts);
            }
        });
        List<Note> single = pieces.getOrDefault(Rig.ONE, List.of()).stream()
                .filter(Note::taken)
                .toList();
        List<Double> gaps = new ArrayList<>();
        double longest = 0;
        long last = zero;
        Note before = null;
        for (Note n : single) {
            longest = Math.max(longest, (n.begin() - last) / NANOS_PER_MS);
            if (before != null && before.token() != n.token()) {
                gaps.add((n.begin() - before.end()) / NANOS_PER_MS);
            }
            before = n;
            last = Math.max(last, n.end());
        }
        longest = Math.max(longest, (end - last) / NANOS_PER_MS);
        Set<String> holders = new TreeSet<>();
        single.forEach(n -> holders.add(n.holder()));
        int taken = (int) notes.stream().filter(Note::taken).count();
        return new Verdict(
                notes.size(),
                taken,
                notes.size() - taken,
                holders.size(),
                overlaps,
                List.copyOf(unexplained),
                List.copyOf(broken),
                gaps,
                longest,
                (long) ((end - last) / NANOS_PER_MS));
    }

    private void ticks(List<Note> acts) {
        Set<Long> seen = new TreeSet<>();
        for (Note n : acts) {
            if (!seen.add(n.tick())) {
                broken.add("tick " + n.tick() + " was acted on twice, last by " + n.holder());
            }
        }
    }

    /** At no moment more tokens than the limit. */
    private void crowd(String piece, List<Note> acts, int limit) {
        for (Note n : acts) {
            Map<Long, Note> at = new TreeMap<>();
            for (Note o : acts) {
                if (o.begin() <= n.begin() && o.end() > n.begin()) {
                    at.put(o.token(), o);
                }
            }
            if (at.size() > limit) {
                Note oldest = at.values().iterator().next();
                outOfTurn(piece, oldest, n);
            }
        }
    }

    private void fenced(String piece, List<Note> acts) {
        List<Note> taken = new ArrayList<>(acts.stream().filter(Note::taken).toList());
        taken.sort(Comparator.comparingLong(Note::end));
        long greatest = 0;
        long ended = Long.MIN_VALUE;
        for (Note n : taken) {
            if (n.token() < greatest) {
                broken.add(piece + ": token " + n.token() + " of " + n.holder() + " was taken after " + greatest);
            } else if (n.token() > greatest) {
                if (n.begin() < ended && greatest > 0) {
                    broken.add(piece + ": " + n.holder() + " with " + n.token() + " began before an act with "
                            + greatest + " was over, and both were taken");
                }
                greatest = n.token();
            }
            ended = Math.max(ended, n.end());
        }
    }

    private void bounded(String piece, List<Note> acts) {
        Note latest = null;
        for (Note n : acts) {
            if (latest != null && n.token() < latest.token()) {
                outOfTurn(piece, n, latest);
            } else if (latest != null && n.token() > latest.token() && n.begin() < latest.end()) {
                outOfTurn(piece, latest, n);
            }
            if (latest == null || n.token() >= latest.token()) {
                latest = n;
            }
        }
    }

    private void outOfTurn(String piece, Note older, Note newer) {
        overlaps++;
        boolean excused = played.stream()
                .anyMatch(p -> p.who().equals(older.holder())
                        && EXCUSES.contains(p.kind())
                        && p.from() <= older.end()
                        && older.begin() <= p.to() + WAKE_NS);
        boolean slow = older.end() - older.begin() > takesNs / 2; // the other half goes by on the way there
        if (!excused && !slow) {
            unexplained.add(piece + ": " + older.holder() + " with " + older.token() + " beside " + newer.holder()
                    + " with " + newer.token() + ", by " + Math.round((newer.begin() - older.begin()) / NANOS_PER_MS)
                    + " ms");
        }
    }
}
