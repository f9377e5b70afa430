package marlford.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The persistent state of a voter: identity of the disk, number of starts, term and vote, log entries and snapshot.
 * One file of records ({@link Segment}) to which each change is appended; when a snapshot has made most records
 * obsolete, a new file is written beside it and replaces it atomically. Log entries since the last snapshot are also
 * kept in memory.
 *
 * <p>After the first failed write or sync nothing more is written, and the voter stops. Not thread-safe except for
 * {@link #failed}.
 */
final class SegmentStore implements RaftStore {
    private static final byte IDENTITY = 1;
    private static final byte LIFE = 2;
    private static final byte ENDPOINT = 3;
    private static final byte INITIAL = 4;
    private static final byte TERM = 5;
    private static final byte LINE = 6;
    private static final byte PIECE = 7;
    private static final byte CUT_FROM = 8;
    private static final byte CUT_UNTIL = 9;
    private static final byte DROP_PIECES = 10;
    private static final long REWRITE_FROM = 1 << 20; // bytes; a smaller file is not rewritten

    /** The identity of the disk. */
    record Identity(long disk) {}

    /** A number of starts, or a log index. */
    record Number(long value) {}

    /** The term and the vote in it; no point for none. */
    record Vote(int term, String point) {}

    /** This voter, and whether it votes. */
    record Endpoint(String point, boolean voting) {}

    private final Path file;
    private final Function<Disk, Disk> wrap;
    private final Consumer<String> log;
    private Disk disk;
    private long size;
    private Identity identity;
    private long life;
    private Endpoint endpoint;
    private Codec.MembersRecord initial;
    private Vote vote;
    private final TreeMap<Long, byte[]> lines = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, byte[]>> pieces = new TreeMap<>();
    private volatile String failed;

    /**
     * @param wrap wraps the file, to inject faults
     * @param log takes one line for operators
     */
    SegmentStore(Path folder, Function<Disk, Disk> wrap, Consumer<String> log) throws IOException {
        this.file = folder.resolve("agreed");
        this.wrap = wrap;
        this.log = log;
        Files.createDirectories(folder);
        byte[] found = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
        int whole;
        try {
            whole = Segment.read(found, this::take);
        } catch (UncheckedIOException | IllegalArgumentException e) {
            throw new Segment.Damaged("a record can't be read: " + e.getMessage());
        }
        size = whole;
        if (whole < found.length) {
            log.accept("fleet: cut " + (found.length - whole) + " bytes of an interrupted write off " + file);
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.truncate(whole);
                channel.force(true);
            }
        }
        disk = wrap.apply(Disk.open(file));
    }

    private void take(byte kind, byte[] body) {
        try {
            switch (kind) {
                case IDENTITY -> identity = Codec.agreed(body, Identity.class);
                case LIFE -> life = Codec.agreed(body, Number.class).value();
                case ENDPOINT -> endpoint = Codec.agreed(body, Endpoint.class);
                case INITIAL -> initial = Codec.agreed(body, Codec.MembersRecord.class);
                case TERM -> vote = Codec.agreed(body, Vote.class);
                case LINE -> {
                    long index = Codec.agreed(body, Codec.LogRecord.class).index();
                    lines.put(index, body);
                }
                case PIECE -> {
                    Codec.SnapshotRecord p = Codec.agreed(body, Codec.SnapshotRecord.class);
                    pieces.computeIfAbsent(p.index(), i -> new TreeMap<>()).put(p.at(), body);
                }
                case CUT_FROM ->
                    lines.tailMap(Codec.agreed(body, Number.class).value(), true)
                            .clear();
                case CUT_UNTIL ->
                    lines.headMap(Codec.agreed(body, Number.class).value(), true)
                            .clear();
                case DROP_PIECES ->
                    pieces.remove(Codec.agreed(body, Number.class).value());
                default -> throw new IllegalArgumentException("a record of kind " + kind);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void put(byte kind, Object value) throws IOException {
        byte[] body = Codec.bytes(value);
        append(kind, body);
        take(kind, body);
    }

    private void append(byte kind, byte[] body) throws IOException {
        try {
            usable();
            ByteBuffer record = Segment.record(kind, body);
            size += record.remaining();
            disk.append(record);
        } catch (IOException e) {
            throw fails(e);
        }
    }

    private void usable() throws IOException {
        if (failed != null) {
            throw new IOException(failed);
        }
    }

    private IOException fails(IOException e) {
        if (failed == null) {
            failed = "the store failed: " + e.getMessage();
            log.accept("fleet: " + failed + "; this process votes no more");
        }
        return e;
    }

    /** Why the store failed; null while it works. From any thread. */
    String failed() {
        return failed;
    }

    /** Records another start on this disk, and gives an empty disk its identity. */
    void begin(long freshDisk) throws IOException {
        if (identity == null) {
            put(IDENTITY, new Identity(freshDisk));
        }
        put(LIFE, new Number(life + 1));
        flush();
    }

    Identity identity() {
        return identity;
    }

    long life() {
        return life;
    }

    /** The engine's state as left by an earlier process; null if none was stored, so no vote was ever cast. */
    RestoredRaftState restored() throws IOException {
        if (endpoint == null || initial == null || vote == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (var entry : pieces.descendingMap().entrySet()) {
            List<SnapshotChunk> chunks = new ArrayList<>();
            for (byte[] p : entry.getValue().values()) {
                chunks.add(Codec.agreed(p, Codec.SnapshotRecord.class).chunk());
            }
            SnapshotChunk first = chunks.get(0);
            if (chunks.size() == first.getSnapshotChunkCount()) {
                snapshot = Codec.MODELS
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(chunks)
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
                break;
            }
        }
        List<LogEntry> entries = new ArrayList<>();
        for (byte[] l :
                lines.tailMap(snapshot == null ? 0 : snapshot.getIndex(), false).values()) {
            entries.add(Codec.agreed(l, Codec.LogRecord.class).entry());
        }
        VoterId voted = vote.point() == null ? null : new VoterId(vote.point());
        return new RestoredRaftState(
                Codec.MODELS
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new VoterId(endpoint.point()))
                        .setVoting(endpoint.voting())
                        .build(),
                initial.view(),
                Codec.MODELS
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(vote.term())
                        .setVotedFor(voted)
                        .build(),
                snapshot,
                entries);
    }

    /** The initial members of the group; null if this disk was never part of one. */
    List<String> initial() {
        return initial == null ? null : initial.all();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) throws IOException {
        put(ENDPOINT, new Endpoint(s.getLocalEndpoint().getId().toString(), s.isVoting()));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        put(INITIAL, Codec.MembersRecord.of(members));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState s) throws IOException {
        put(
                TERM,
                new Vote(
                        s.getTerm(),
                        s.getVotedFor() == null ? null : s.getVotedFor().getId().toString()));
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry e : entries) {
            byte[] body = Codec.bytes(Codec.LogRecord.of(e));
            append(LINE, body);
            lines.put(e.getIndex(), body);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(PIECE, Codec.SnapshotRecord.of(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        put(CUT_FROM, new Number(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        put(CUT_UNTIL, new Number(index));
        if (size > REWRITE_FROM) {
            rewrite();
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        put(DROP_PIECES, new Number(index));
    }

    @Override
    public void flush() throws IOException {
        try {
            usable();
            disk.force();
        } catch (IOException e) {
            throw fails(e);
        }
    }

    /** Rewrites the file with only the current state. */
    private void rewrite() throws IOException {
        Path fresh = file.resolveSibling("agreed.new");
        try {
            Files.deleteIfExists(fresh);
            Disk old = disk;
            long was = size;
            disk = wrap.apply(Disk.open(fresh));
            size = 0;
            append(IDENTITY, Codec.bytes(identity));
            append(LIFE, Codec.bytes(new Number(life)));
            if (endpoint != null) {
                append(ENDPOINT, Codec.bytes(endpoint));
            }
            if (initial != null) {
                append(INITIAL, Codec.bytes(initial));
            }
            if (vote != null) {
                append(TERM, Codec.bytes(vote));
            }
            for (TreeMap<Integer, byte[]> snapshot : pieces.values()) {
                for (byte[] p : snapshot.values()) {
                    append(PIECE, p);
                }
            }
            for (byte[] l : lines.values()) {
                append(LINE, l);
            }
            disk.force();
            Disk.replace(fresh, file);
            old.close();
            log.accept("fleet: the store has " + size + " bytes now, " + was + " before");
        } catch (IOException e) {
            throw fails(e);
        }
    }

    void close() throws IOException {
        disk.close();
    }
}
