package marlford.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Exported is admitted: whatever is killed, stopped and written late. */
class UsageTest {
    private static final int SEEDS = 3000;
    private static final long INTERVAL = 100;
    private static final long MILLI = 1337; // of each request

    /** Cells after whose every write the process may be killed. */
    private static final class Kept implements Cells {
        private final long[] values;
        int writesLeft = Integer.MAX_VALUE;
        long admitted;

        Kept(int size) {
            values = new long[size];
        }

        @Override
        public long get(int at) {
            return values[at];
        }

        @Override
        public void set(int at, long value) {
            if (writesLeft-- <= 0) {
                throw new Killed();
            }
            admitted += value - values[at] == MILLI ? MILLI : 0; // nothing else grows by this much at once
            values[at] = value;
        }

        @Override
        public boolean swap(int at, long from, long to) {
            if (values[at] != from) {
                return false;
            }
            set(at, to);
            return true;
        }

        @Override
        public int size() {
            return values.length;
        }
    }

    private static final class Killed extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** A gateway: its cells outlive it; its exporter may hang between its look and its write, and write when it wakes. */
    private static final class Source {
        final Kept cells = new Kept(UsageTable.size(4, 5));
        final long id;
        UsageTable table;
        byte[] late; // a record that is still to be written

        Source(long id) {
            this.id = id;
            start();
        }

        void start() {
            cells.writesLeft = Integer.MAX_VALUE;
            table = new UsageTable(cells, 4, 5, id, INTERVAL);
        }
    }

    @Test
    void exportedIsAdmittedWhateverHappens() {
        int late = 0;
        int passedOver = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<Source> sources = List.of(new Source(11), new Source(12), new Source(13));
            ByteArrayOutputStream file = new ByteArrayOutputStream();
            long token = 100;
            for (int step = 0; step < 150; step++) {
                long now = 1000 + step * 20L;
                Source s = sources.get(random.nextInt(sources.size()));
                if (random.nextInt(20) == 0) {
                    s.cells.writesLeft = random.nextInt(12);
                }
                try {
                    int what = random.nextInt(10);
                    if (what < 5) {
                        long customer = random.nextInt(7);
                        s.table.admitted(customer, MILLI / 1000.0, now);
                    } else if (what < 8) {
                        export(s, ++token, file, random);
                    } else if (s.late != null) {
                        file.writeBytes(s.late);
                        s.late = null;
                        late++;
                    } else {
                        s.table.look(now);
                    }
                } catch (Killed e) {
                    s.start();
                    s.late = null;
                }
            }
            for (Source s : sources) { // all come back, and each has its turn
                s.start();
                export(s, ++token, file, null);
                assertEquals(List.of(), s.table.all(), "seed " + seed);
            }
            ExportLog log = new ExportLog();
            log.read(file.toByteArray());
            passedOver += log.passedOver();
            assertEquals(sources.stream().mapToLong(s -> s.cells.admitted).sum(), sumOf(log), "seed " + seed);
        }
        System.out.println(
                "usage: " + SEEDS + " seeds, " + late + " late writes, " + passedOver + " records passed over");
        assertTrue(late > 0 && passedOver > 0);
    }

    private static long sumOf(ExportLog log) {
        return log.totals().values().stream().mapToLong(Long::longValue).sum();
    }

    private static void export(Source s, long token, ByteArrayOutputStream file, Random random) {
        ExportLog log = new ExportLog();
        log.read(file.toByteArray());
        for (Batch b = s.table.next(); b != null; b = s.table.next()) {
            if (!log.has(b.source(), b.sequence())) {
                byte[] record = ExportLog.record(token, b);
                int how = random == null ? 0 : random.nextInt(6);
                if (how == 1) {
                    s.late = record; // stopped between look and write
                    return;
                }
                if (how == 2) { // killed in its write
                    file.writeBytes(Arrays.copyOf(record, random.nextInt(record.length)));
                    throw new Killed();
                }
                file.writeBytes(record);
                if (how == 3) {
                    throw new Killed(); // written, and its word lost
                }
            }
            log = new ExportLog();
            log.read(file.toByteArray());
            if (log.has(b.source(), b.sequence())) {
                s.table.free(b.sequence());
            }
        }
    }
}
