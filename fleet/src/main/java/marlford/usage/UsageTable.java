package marlford.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Units by customer and interval, in cells that survive the process: a request is counted as soon as {@link
 * #admitted} returns, even if the process is then killed. Each interval takes one page, which is freed once it was
 * exported.
 *
 * <p>Limits: customers beyond the rows of a page are counted under {@link #BEYOND}. If no page is free, because
 * exports have failed for long, the current interval is extended: nothing is lost, and its batch states its start.
 *
 * <p>Two threads: the counting thread calls {@link #admitted} and {@link #look}, the exporting thread {@link #next}
 * and {@link #free}. A page belongs to the counting thread until it is closed, then to the exporting thread.
 */
public final class UsageTable {
    /** The customer under whom units stand for which a page had no row; no customer has this number. */
    public static final long BEYOND = (1L << 33) - 1;
    /** The pages and rows of a gateway's table. */
    public static final int PAGES = 16;

    public static final int ROWS = 4096;
    private static final long MILLI = 1000;
    private static final long MAGIC = 0x4d41524c55534531L;
    private static final int HEAD = 3; // cells: magic, source, the last sequence
    private static final int MAGIC_AT = 0;
    private static final int SOURCE_AT = 1;
    private static final int LAST_AT = 2;
    private static final int PAGE_HEAD = 3; // cells: state, sequence, begin
    private static final long FREE = 0;
    private static final long OPEN = 1;
    private static final long CLOSED = 2;
    private static final long LEAVING = 3; // one page at most: its record may be where it belongs
    private static final int ROW = 2; // cells: customer and one, thousandths
    private static final int NONE = -1;

    private final Cells cells;
    private final int pages;
    private final int rows;
    private final long intervalMs;
    private int current = NONE;

    /**
     * Goes on with what an earlier process left; what it had open is closed.
     *
     * @param freshSource the number of this disk if its cells are new
     * @param intervalMs how long an interval is, in milliseconds
     */
    public UsageTable(Cells cells, int pages, int rows, long freshSource, long intervalMs) {
        if (pages < 2 || rows < 2 || cells.size() < size(pages, rows)) {
            throw new IllegalArgumentException("two pages, two rows and their cells are the least");
        }
        this.cells = cells;
        this.pages = pages;
        this.rows = rows;
        this.intervalMs = intervalMs;
        if (cells.get(MAGIC_AT) == 0) {
            cells.set(SOURCE_AT, freshSource);
            cells.set(MAGIC_AT, MAGIC);
        } else if (cells.get(MAGIC_AT) != MAGIC) {
            throw new IllegalArgumentException("not a table of usage");
        }
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) == OPEN) {
                cells.set(page(p), CLOSED);
            }
        }
    }

    /** How many cells a table takes. */
    public static int size(int pages, int rows) {
        return HEAD + pages * (PAGE_HEAD + rows * ROW);
    }

    /** The number of this disk. */
    public long source() {
        return cells.get(SOURCE_AT);
    }

    private int page(int p) {
        return HEAD + p * (PAGE_HEAD + rows * ROW);
    }

    /** Counts units of a customer. */
    public void admitted(long customer, double units, long wallMs) {
        turn(wallMs, true);
        int first = page(current) + PAGE_HEAD;
        int at = (int) Math.floorMod(customer * 0x9E3779B97F4A7C15L >>> 16, (long) rows);
        for (int tried = 0; tried < rows; tried++, at = (at + 1) % rows) {
            int row = first + at * ROW;
            long key = cells.get(row);
            if (key == 0 && (tried < rows - 1 || customer == BEYOND) && !(at == rows - 1 && customer != BEYOND)) {
                cells.set(row, customer + 1);
                key = customer + 1;
            }
            if (key == customer + 1) {
                cells.set(row + 1, cells.get(row + 1) + Math.round(units * MILLI));
                return;
            }
        }
        admitted(BEYOND, units, wallMs); // which has a row: the last is kept for it
    }

    /** Closes an interval that is over, so that it can be exported though nobody asks any more. */
    public void look(long wallMs) {
        turn(wallMs, false);
    }

    private void turn(long wallMs, boolean needed) {
        if (current != NONE && wallMs - cells.get(page(current) + 2) >= intervalMs) {
            int free = free();
            if (free == NONE) {
                return; // the interval goes on
            }
            cells.set(page(current), CLOSED);
            current = NONE;
        }
        if (current == NONE && needed) {
            open(wallMs);
        }
    }

    private int free() {
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) == FREE) {
                return p;
            }
        }
        return NONE;
    }

    private void open(long wallMs) {
        int p = free();
        while (p
                == NONE) { // an earlier process left no page free: its last one is taken up again, if it is not leaving
            int last = lastClosed();
            if (last != NONE && cells.swap(page(last), CLOSED, OPEN)) {
                current = last;
                return;
            }
            p = free();
        }
        long sequence = cells.get(LAST_AT) + 1;
        cells.set(LAST_AT, sequence);
        cells.set(page(p) + 1, sequence);
        cells.set(page(p) + 2, wallMs - Math.floorMod(wallMs, intervalMs));
        cells.set(page(p), OPEN);
        current = p;
    }

    private int lastClosed() {
        int last = NONE;
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) == CLOSED && (last == NONE || cells.get(page(p) + 1) > cells.get(page(last) + 1))) {
                last = p;
            }
        }
        return last;
    }

    /** Whether anything waits to be exported. */
    public boolean isWaiting() {
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) >= CLOSED) {
                return true;
            }
        }
        return false;
    }

    /**
     * The batch to be exported next, the oldest; null for none. From here on nothing is added to it, whatever becomes of
     * the process, and it comes again until it is {@link #free freed}. One leaves at a time, so of two pages or more the
     * counting thread always has one.
     */
    public Batch next() {
        int first = NONE;
        for (int p = 0; p < pages; p++) {
            long state = cells.get(page(p));
            if (state == LEAVING) {
                return batch(p);
            }
            if (state == CLOSED && (first == NONE || cells.get(page(p) + 1) < cells.get(page(first) + 1))) {
                first = p;
            }
        }
        return first != NONE && cells.swap(page(first), CLOSED, LEAVING) ? batch(first) : null;
    }

    /** All that the table has, closed or not; for whoever wants to know what is still to come. */
    public List<Batch> all() {
        List<Batch> batches = new ArrayList<>();
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) != FREE) {
                batches.add(batch(p));
            }
        }
        return batches;
    }

    private Batch batch(int p) {
        TreeMap<Long, Long> units = new TreeMap<>();
        for (int r = 0; r < rows; r++) {
            int row = page(p) + PAGE_HEAD + r * ROW;
            if (cells.get(row) != 0 && cells.get(row + 1) != 0) {
                units.put(cells.get(row) - 1, cells.get(row + 1));
            }
        }
        return new Batch(source(), cells.get(page(p) + 1), cells.get(page(p) + 2), units);
    }

    /** A batch is where it belongs; its page is free. A page that is half cleared when the process ends is still leaving. */
    public void free(long sequence) {
        for (int p = 0; p < pages; p++) {
            if (cells.get(page(p)) == LEAVING && cells.get(page(p) + 1) == sequence) {
                for (int r = 0; r < rows; r++) {
                    int row = page(p) + PAGE_HEAD + r * ROW;
                    cells.set(row + 1, 0);
                    cells.set(row, 0);
                }
                cells.set(page(p), FREE);
            }
        }
    }
}
