package marlford.storm;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import marlford.usage.Batch;
import marlford.usage.Cells;
import marlford.usage.ExportLog;
import marlford.usage.UsageTable;

/**
 * Exported is admitted: what the file says of each customer, and what still waits in the gateways' tables, together are no
 * less than what hosts saw and no more than what clients asked for. Between the two lies what was let in by a gateway that
 * was killed before it sent it on.
 */
final class UsageJudge {
    private static final long MILLI = 1000;
    private static final long LOOK_MS = 100;

    /** Units in all; {@code waiting} are those that could not be exported in time. */
    record Found(long exported, long waiting, long seen, long asked, int passedOver, List<String> broken) {}

    private UsageJudge() {}

    /** Waits until the tables are empty, or the time is up, and compares. */
    static Found judge(Rig rig, List<Load.Sent> sent, long patienceMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        Map<Long, Long> waiting = waiting(rig);
        while (!waiting.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(LOOK_MS);
            waiting = waiting(rig);
        }
        ExportLog log = new ExportLog();
        if (Files.exists(rig.exported())) {
            log.read(Files.readAllBytes(rig.exported()));
        }
        Map<Long, Long> seen = new TreeMap<>();
        Map<Long, Long> asked = new TreeMap<>();
        for (Load.Sent s : sent) {
            asked.merge(s.customer(), s.units() * MILLI, Long::sum);
            if (rig.hosts().saw(s.id())) {
                seen.merge(s.customer(), s.units() * MILLI, Long::sum);
            }
        }
        Map<Long, Long> found = log.totals();
        waiting.forEach((customer, units) -> found.merge(customer, units, Long::sum));
        List<String> broken = new ArrayList<>();
        asked.forEach((customer, most) -> {
            long units = found.getOrDefault(customer, 0L);
            long least = seen.getOrDefault(customer, 0L);
            if (units < least || units > most) {
                broken.add("customer " + customer + ": " + units + " thousandths exported or waiting, " + least
                        + " seen at hosts, " + most + " asked for");
            }
        });
        return new Found(sum(log.totals()), sum(waiting), sum(seen), sum(asked), log.passedOver(), broken);
    }

    private static long sum(Map<Long, Long> milli) {
        return milli.values().stream().mapToLong(Long::longValue).sum() / MILLI;
    }

    private static Map<Long, Long> waiting(Rig rig) throws IOException {
        Map<Long, Long> waiting = new TreeMap<>();
        for (Gateway g : rig.gateways().values()) {
            if (Files.exists(g.usage())) {
                LongBuffer kept = ByteBuffer.wrap(Files.readAllBytes(g.usage()))
                        .order(ByteOrder.nativeOrder())
                        .asLongBuffer();
                for (Batch b : new UsageTable(new Copy(kept), UsageTable.PAGES, UsageTable.ROWS, 0, 1).all()) {
                    b.milliUnits().forEach((customer, units) -> waiting.merge(customer, units, Long::sum));
                }
            }
        }
        return waiting;
    }

    /** A copy of a table, which nobody else sees. */
    private record Copy(LongBuffer values) implements Cells {
        @Override
        public long get(int at) {
            return values.get(at);
        }

        @Override
        public void set(int at, long value) {
            values.put(at, value);
        }

        @Override
        public boolean swap(int at, long from, long to) {
            if (values.get(at) != from) {
                return false;
            }
            values.put(at, to);
            return true;
        }

        @Override
        public int size() {
            return values.limit();
        }
    }
}
