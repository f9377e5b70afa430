package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import marlford.lease.Command;
import marlford.lease.LeaseStateMachine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a voter's disk gives back: all that was synced, nothing that was turned, and no vote of an interrupted write. */
class SegmentStoreTest {
    private static final VoterId SELF = VoterId.of("g0", 7);

    @TempDir
    private Path dir;

    private SegmentStore open() throws IOException {
        return new SegmentStore(dir, d -> d, line -> {});
    }

    private static LogEntry line(long index, Command c) {
        return Codec.MODELS
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(1)
                .setOperation(c)
                .build();
    }

    private SegmentStore founded() throws IOException {
        SegmentStore s = open();
        s.begin(7);
        s.persistAndFlushLocalEndpoint(Codec.MODELS
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(SELF)
                .setVoting(true)
                .build());
        s.persistAndFlushInitialGroupMembers(new Codec.MembersRecord(0, List.of(SELF.id()), List.of(SELF.id())).view());
        s.persistAndFlushTerm(Codec.MODELS
                .createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(SELF)
                .build());
        return s;
    }

    @Test
    void whatWasSyncedIsThereAgain() throws IOException {
        SegmentStore s = founded();
        List<Command> lines = List.of(
                new Command.Open("m", 5, 1000),
                new Command.Acquire(1, "x", 1),
                new Command.Floor(9),
                new Command.Close(1));
        for (int i = 0; i < lines.size(); i++) {
            s.persistLogEntries(List.of(line(i + 1, lines.get(i))));
        }
        s.truncateLogEntriesFrom(4);
        s.flush();
        s.close();
        SegmentStore again = open();
        RestoredRaftState r = again.restored();
        assertEquals(3, r.getTermPersistentState().getTerm());
        assertEquals(SELF, r.getTermPersistentState().getVotedFor());
        assertEquals(
                lines.subList(0, 3),
                r.getLogEntries().stream().map(LogEntry::getOperation).toList());
        again.begin(99);
        assertEquals(7, again.identity().disk());
        assertEquals(2, again.life());
    }

    @Test
    void aSnapshotTakesThePlaceOfItsLines() throws IOException {
        SegmentStore s = founded();
        LeaseStateMachine machine = new LeaseStateMachine(5);
        machine.apply(1, new Command.Open("m", 5, 1000));
        for (int i = 1; i <= 20; i++) {
            s.persistLogEntries(List.of(line(i, new Command.Open("n".repeat(100_000) + i, i, 1000))));
        }
        s.persistSnapshotChunk(new Codec.SnapshotRecord(
                        15,
                        1,
                        machine.snapshot(),
                        0,
                        1,
                        new Codec.MembersRecord(0, List.of(SELF.id()), List.of(SELF.id())))
                .chunk());
        s.flush();
        s.truncateLogEntriesUntil(15);
        s.close();
        assertEquals(true, Files.size(dir.resolve("agreed")) < 1_000_000); // written anew
        RestoredRaftState r = open().restored();
        assertEquals(15, r.getSnapshotEntry().getIndex());
        assertEquals(5, r.getLogEntries().size());
        Codec.SnapshotRecord piece = Codec.SnapshotRecord.of((io.microraft.model.log.SnapshotChunk)
                ((List<?>) r.getSnapshotEntry().getOperation()).get(0));
        assertEquals(machine.snapshot(), piece.image());
    }

    /** Cut anywhere, the file gives back a beginning of what was written; it is never taken for damage. */
    @Test
    void anInterruptedWriteIsCutOff() throws IOException {
        SegmentStore s = founded();
        s.persistLogEntries(List.of(line(1, new Command.Close(1)), line(2, new Command.Close(2))));
        s.close();
        byte[] whole = Files.readAllBytes(dir.resolve("agreed"));
        for (int length = 0; length < whole.length; length++) {
            List<Byte> kinds = new ArrayList<>();
            int kept = Segment.read(Arrays.copyOf(whole, length), (kind, body) -> kinds.add(kind));
            assertEquals(true, kept <= length);
            assertEquals(
                    kept,
                    Segment.read(Arrays.copyOf(Arrays.copyOf(whole, kept), kept + 50), (k, b) -> {})); // zeros behind
        }
        Files.write(dir.resolve("agreed"), Arrays.copyOf(whole, whole.length - 3));
        SegmentStore again = open();
        assertEquals(1, again.restored().getLogEntries().size());
        again.persistLogEntries(List.of(line(2, new Command.Close(7))));
        again.flush();
        again.close();
        assertEquals(2, open().restored().getLogEntries().size());
    }

    /** Each bit that is turned is found, but for those of the zeros and tails that are cut off by their own length. */
    @Test
    void aTurnedBitIsNeverReadAsSomethingElse() throws IOException {
        founded().close();
        byte[] whole = Files.readAllBytes(dir.resolve("agreed"));
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] turned = whole.clone();
            turned[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(Segment.Damaged.class, () -> Segment.read(turned, (kind, body) -> {}), "bit " + bit);
        }
    }

    @Test
    void theFirstFailureIsTheLast() throws IOException {
        boolean[] fails = {false};
        SegmentStore s = new SegmentStore(
                dir,
                d -> new Disk() {
                    @Override
                    public void append(java.nio.ByteBuffer bytes) throws IOException {
                        d.append(bytes);
                    }

                    @Override
                    public void force() throws IOException {
                        if (fails[0]) {
                            throw new IOException("no");
                        }
                        d.force();
                    }

                    @Override
                    public void close() throws IOException {
                        d.close();
                    }
                },
                line -> {});
        s.begin(7);
        assertNull(s.failed());
        fails[0] = true;
        assertThrows(IOException.class, s::flush);
        fails[0] = false; // a sync that works after one that failed proves nothing of what lies before
        assertThrows(IOException.class, s::flush);
        assertThrows(IOException.class, () -> s.begin(8));
        assertNotNull(s.failed());
    }

    /** Every kind of line and ask goes through the codec unchanged. */
    @Test
    void whatIsSentIsWhatComes() throws IOException {
        for (Command c : List.of(
                new Command.Open("m", -5, 1000),
                new Command.Close(1),
                new Command.Acquire(1, "x", 2),
                new Command.Release(1, "x", 3),
                new Command.Join(1, "p", 4),
                new Command.Leave(1, "p"),
                new Command.GiveUp(1, "p", 2, 3),
                new Command.Tick(1, "t", 9),
                new Command.Floor(1L << 60))) {
            RequestFrame call = new RequestFrame(3, new marlford.lease.Request.Submit(c));
            assertEquals(call, Codec.read(Codec.bytes(call), RequestFrame.class));
        }
        marlford.membership.Hello h = new marlford.membership.Hello("f", "g:1", 2, null, Map.of("g:1", 2L));
        assertEquals(h, Codec.read(Codec.bytes(h), marlford.membership.Hello.class));
    }
}
