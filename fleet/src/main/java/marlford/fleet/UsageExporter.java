package marlford.fleet;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import marlford.gateway.net.UsageRecorder;
import marlford.lease.Member;
import marlford.usage.Batch;
import marlford.usage.Cells;
import marlford.usage.ExportLog;
import marlford.usage.UsageTable;

/**
 * Exports usage from the gateway's event loop to the fleet's file. Counting writes to mapped memory, which survives
 * the process, without a system call. Exporting runs on a thread of its own under the fleet's lease {@value #LEASE}:
 * it reads what others have appended, appends a batch, syncs, reads again, and frees the batch once it counts. The
 * lease is requested only while something is waiting, so all members get their turn. A failed export is logged and
 * tried again.
 */
final class UsageExporter {
    private static final String LEASE = "usage-export";
    private static final int BATCHES = 32; // of one turn; then the next member has its turn
    private static final double TAKES_MS = 100; // the least that has to be left of a session for a turn
    private static final long END_MS = 500;
    private static final int CELL = 8; // bytes
    private static final int READ_MAX = 1 << 20; // bytes at a time

    private final FleetConfig.ExportConfig config;
    private final WallClock wallClock;
    private final Consumer<String> log;
    private final UsageTable table;
    private final ExportLog exported = new ExportLog();
    private final ExecutorService thread = Executors.newSingleThreadExecutor(work -> {
        Thread t = new Thread(work, "marlford-export");
        t.setDaemon(true);
        return t;
    });
    private boolean wanted;
    private volatile boolean running;

    /** @param kept where this gateway's table lies; it has to outlive the process */
    UsageExporter(FleetConfig.ExportConfig config, Path kept, WallClock wallClock, Consumer<String> log)
            throws IOException {
        this.config = config;
        this.wallClock = wallClock;
        this.log = log;
        int cells = UsageTable.size(UsageTable.PAGES, UsageTable.ROWS);
        try (FileChannel file =
                FileChannel.open(kept, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            Mapped mapped = new Mapped(file.map(FileChannel.MapMode.READ_WRITE, 0, (long) cells * CELL), cells);
            this.table = new UsageTable(
                    mapped,
                    UsageTable.PAGES,
                    UsageTable.ROWS,
                    new SecureRandom().nextLong() >>> 1,
                    config.intervalMs());
        }
    }

    /** Numbers in mapped memory, in this machine's order. */
    private record Mapped(MappedByteBuffer bytes, int size) implements Cells {
        private static final VarHandle LONGS =
                MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

        @Override
        public long get(int at) {
            return (long) LONGS.getAcquire(bytes, at * CELL);
        }

        @Override
        public void set(int at, long value) {
            LONGS.setRelease(bytes, at * CELL, value);
        }

        @Override
        public boolean swap(int at, long from, long to) {
            return LONGS.compareAndSet(bytes, at * CELL, from, to);
        }
    }

    /** What the gateway's loop calls. */
    UsageRecorder usage() {
        return new UsageRecorder() {
            @Override
            public void admitted(long customer, double units) {
                table.admitted(customer, units, wallClock.ms());
            }

            @Override
            public void onTick() {
                table.look(wallClock.ms());
            }
        };
    }

    /**
     * Asks for the lease, uses it, gives it back; on the member's thread.
     *
     * @param done is to be run on any thread when a turn is over
     */
    void due(Member member, double now, double lateMs, Runnable done) {
        if (running) {
            return;
        }
        boolean waiting = table.isWaiting();
        if (waiting != wanted) {
            wanted = waiting;
            if (waiting) {
                member.want(LEASE, 1);
            } else {
                member.release(LEASE);
            }
        }
        long token = member.token(LEASE);
        if (waiting && member.mayAct(token, now, lateMs, TAKES_MS)) {
            running = true;
            thread.execute(() -> {
                try {
                    turn(token);
                } catch (IOException | RuntimeException e) {
                    log.accept("fleet: usage can't be exported: " + e);
                }
                running = false;
                done.run();
            });
        }
    }

    private void turn(long token) throws IOException {
        try (FileChannel file = FileChannel.open(
                        config.file(), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
                FileChannel end = FileChannel.open(config.file(), StandardOpenOption.APPEND)) {
            catchUp(file);
            for (int i = 0; i < BATCHES; i++) {
                Batch b = table.next();
                if (b == null) {
                    return;
                }
                if (!exported.has(b.source(), b.sequence())) {
                    end.write(
                            ByteBuffer.wrap(ExportLog.record(token, b))); // a part of it is no record, and comes again
                    end.force(false);
                    catchUp(file);
                }
                if (!exported.has(b.source(), b.sequence())) {
                    return; // somebody with a greater token was there: the next turn has a greater one yet
                }
                table.free(b.sequence());
            }
        }
    }

    private void catchUp(FileChannel file) throws IOException {
        ByteBuffer part = ByteBuffer.allocate(READ_MAX);
        for (int n = file.read(part, exported.offset()); n > 0; n = file.read(part, exported.offset())) {
            byte[] bytes = new byte[n];
            part.flip().get(bytes);
            exported.read(bytes);
            part.clear();
        }
    }

    /** Whether a turn is under way. */
    boolean isRunning() {
        return running;
    }

    void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
