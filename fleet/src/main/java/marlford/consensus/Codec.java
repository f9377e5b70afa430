package marlford.consensus;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import marlford.lease.Command;
import marlford.lease.CommandResult;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Reply;
import marlford.lease.Request;

/**
 * Encodes everything that is sent or stored as CBOR. Unknown fields are ignored in messages. In what is replicated
 * and stored they are an error: a voter that ignored one would have another state than the others.
 *
 * <p>Names of record components are names on the wire and on disk, so they must not be changed.
 */
final class Codec {
    static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final ObjectMapper MAPPER = new CBORMapper()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .addMixIn(Command.class, Commands.class)
            .addMixIn(Request.class, Requests.class)
            .addMixIn(marlford.register.RegisterCommand.class, RegisterCommands.class)
            .addMixIn(LeaseStateMachine.Snapshot.class, Sparse.class)
            .addMixIn(CommandResult.class, Sparse.class)
            .addMixIn(Reply.class, Sparse.class)
            .addMixIn(Request.Renew.class, Sparse.class)
            .setVisibility(CBORMapper.builder()
                    .build()
                    .getVisibilityChecker()
                    .withIsGetterVisibility(JsonAutoDetect.Visibility.NONE));

    private static final ObjectMapper STRICT =
            MAPPER.copy().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

    private Codec() {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
    @JsonSubTypes({
        @Type(value = Command.Open.class, name = "open"),
        @Type(value = Command.Close.class, name = "close"),
        @Type(value = Command.Acquire.class, name = "acquire"),
        @Type(value = Command.Release.class, name = "release"),
        @Type(value = Command.Join.class, name = "join"),
        @Type(value = Command.Leave.class, name = "leave"),
        @Type(value = Command.GiveUp.class, name = "giveUp"),
        @Type(value = Command.Tick.class, name = "tick"),
        @Type(value = Command.Floor.class, name = "floor"),
        @Type(value = Command.Work.class, name = "work")
    })
    private interface Commands {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "ask")
    @JsonSubTypes({
        @Type(value = Request.Submit.class, name = "submit"),
        @Type(value = Request.Renew.class, name = "renew"),
        @Type(value = Request.Watch.class, name = "watch"),
        @Type(value = Request.Lookup.class, name = "look")
    })
    private interface Requests {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "work")
    @JsonSubTypes({
        @Type(value = marlford.register.RegisterCommand.Enter.class, name = "enter"),
        @Type(value = marlford.register.RegisterCommand.Move.class, name = "move"),
        @Type(value = marlford.register.RegisterCommand.End.class, name = "end"),
        @Type(value = marlford.register.RegisterCommand.Withdraw.class, name = "withdraw"),
        @Type(value = marlford.register.RegisterCommand.Take.class, name = "take"),
        @Type(value = marlford.register.RegisterCommand.Forget.class, name = "forget")
    })
    private interface RegisterCommands {}

    /** Null fields are omitted, so older versions need not know them. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    private interface Sparse {}

    /** The members of the group at a log index. */
    record MembersRecord(long index, List<String> all, List<String> voting) {
        static MembersRecord of(RaftGroupMembersView v) {
            return new MembersRecord(v.getLogIndex(), ids(v.getMembers()), ids(v.getVotingMembers()));
        }

        RaftGroupMembersView view() {
            return MODELS.createRaftGroupMembersViewBuilder()
                    .setLogIndex(index)
                    .setMembers(points(all))
                    .setVotingMembers(points(voting))
                    .build();
        }
    }

    /** A membership change as a log entry. */
    record MembershipChangeRecord(List<String> all, List<String> voting, String point, String mode) {}

    /** A log entry: a command or a membership change; neither for the first entry of a term. */
    record LogRecord(long index, int term, Command command, MembershipChangeRecord change) {
        static LogRecord of(LogEntry e) {
            Object op = e.getOperation();
            if (op instanceof UpdateRaftGroupMembersOp u) {
                return new LogRecord(
                        e.getIndex(),
                        e.getTerm(),
                        null,
                        new MembershipChangeRecord(
                                ids(u.getMembers()),
                                ids(u.getVotingMembers()),
                                u.getEndpoint().getId().toString(),
                                u.getMode().name()));
            }
            return new LogRecord(e.getIndex(), e.getTerm(), op instanceof Command c ? c : null, null);
        }

        LogEntry entry() {
            Object op = TermBegins.HERE;
            if (change != null) {
                op = MODELS.createUpdateRaftGroupMembersOpBuilder()
                        .setMembers(points(change.all()))
                        .setVotingMembers(points(change.voting()))
                        .setEndpoint(new VoterId(change.point()))
                        .setMode(MembershipChangeMode.valueOf(change.mode()))
                        .build();
            } else if (command != null) {
                op = command;
            }
            return MODELS.createLogEntryBuilder()
                    .setIndex(index)
                    .setTerm(term)
                    .setOperation(op)
                    .build();
        }
    }

    /** The first entry of a term, by which entries of earlier terms are committed. */
    enum TermBegins {
        HERE
    }

    /** A snapshot of the state machine, in a single chunk. */
    record SnapshotRecord(long index, int term, LeaseStateMachine.Snapshot image, int at, int of, MembersRecord group) {
        static SnapshotRecord of(SnapshotChunk c) {
            return new SnapshotRecord(
                    c.getIndex(),
                    c.getTerm(),
                    (LeaseStateMachine.Snapshot) c.getOperation(),
                    c.getSnapshotChunkIndex(),
                    c.getSnapshotChunkCount(),
                    MembersRecord.of(c.getGroupMembersView()));
        }

        SnapshotChunk chunk() {
            return MODELS.createSnapshotChunkBuilder()
                    .setIndex(index)
                    .setTerm(term)
                    .setOperation(image)
                    .setSnapshotChunkIndex(at)
                    .setSnapshotChunkCount(of)
                    .setGroupMembersView(group.view())
                    .build();
        }
    }

    /** A message of the engine; fields that a kind of message lacks are 0, false or null. */
    record EngineMessage(
            String kind,
            String from,
            int term,
            int lastTerm,
            long index,
            long commit,
            long query,
            long flow,
            int pieces,
            boolean flag,
            List<LogRecord> lines,
            SnapshotRecord piece,
            List<String> points,
            MembersRecord group) {}

    static List<String> ids(Collection<RaftEndpoint> points) {
        return points.stream().map(p -> p.getId().toString()).toList();
    }

    static Collection<RaftEndpoint> points(List<String> ids) {
        Collection<RaftEndpoint> points = new LinkedHashSet<>();
        ids.forEach(id -> points.add(new VoterId(id)));
        return points;
    }

    static byte[] bytes(Object value) throws IOException {
        return MAPPER.writeValueAsBytes(value);
    }

    /** Decodes replicated or stored data strictly. */
    static <T> T agreed(byte[] bytes, Class<T> kind) throws IOException {
        return STRICT.readValue(bytes, kind);
    }

    static <T> T read(byte[] bytes, Class<T> kind) throws IOException {
        return MAPPER.readValue(bytes, kind);
    }

    static EngineMessage engineMessage(RaftMessage m) {
        String from = m.getSender().getId().toString();
        int term = m.getTerm();
        if (m instanceof AppendEntriesRequest r) {
            List<LogRecord> lines = new ArrayList<>(r.getLogEntries().size());
            r.getLogEntries().forEach(e -> lines.add(LogRecord.of(e)));
            return new EngineMessage(
                    "append",
                    from,
                    term,
                    r.getPreviousLogTerm(),
                    r.getPreviousLogIndex(),
                    r.getCommitIndex(),
                    r.getQuerySequenceNumber(),
                    r.getFlowControlSequenceNumber(),
                    0,
                    false,
                    lines,
                    null,
                    null,
                    null);
        }
        if (m instanceof AppendEntriesSuccessResponse r) {
            return plain(
                    "appended",
                    from,
                    term,
                    0,
                    r.getLastLogIndex(),
                    r.getQuerySequenceNumber(),
                    r.getFlowControlSequenceNumber(),
                    false);
        }
        if (m instanceof AppendEntriesFailureResponse r) {
            return plain(
                    "notAppended",
                    from,
                    term,
                    0,
                    r.getExpectedNextIndex(),
                    r.getQuerySequenceNumber(),
                    r.getFlowControlSequenceNumber(),
                    false);
        }
        if (m instanceof InstallSnapshotRequest r) {
            return new EngineMessage(
                    "snapshot",
                    from,
                    term,
                    r.getSnapshotTerm(),
                    r.getSnapshotIndex(),
                    0,
                    r.getQuerySequenceNumber(),
                    r.getFlowControlSequenceNumber(),
                    r.getTotalSnapshotChunkCount(),
                    r.isSenderLeader(),
                    null,
                    r.getSnapshotChunk() == null ? null : SnapshotRecord.of(r.getSnapshotChunk()),
                    ids(r.getSnapshottedMembers()),
                    MembersRecord.of(r.getGroupMembersView()));
        }
        if (m instanceof InstallSnapshotResponse r) {
            return new EngineMessage(
                    "installed",
                    from,
                    term,
                    0,
                    r.getSnapshotIndex(),
                    0,
                    r.getQuerySequenceNumber(),
                    r.getFlowControlSequenceNumber(),
                    r.getRequestedSnapshotChunkIndex(),
                    false,
                    null,
                    null,
                    null,
                    null);
        }
        if (m instanceof VoteRequest r) {
            return plain("vote", from, term, r.getLastLogTerm(), r.getLastLogIndex(), 0, 0, r.isSticky());
        }
        if (m instanceof VoteResponse r) {
            return plain("voted", from, term, 0, 0, 0, 0, r.isGranted());
        }
        if (m instanceof PreVoteRequest r) {
            return plain("preVote", from, term, r.getLastLogTerm(), r.getLastLogIndex(), 0, 0, false);
        }
        if (m instanceof PreVoteResponse r) {
            return plain("preVoted", from, term, 0, 0, 0, 0, r.isGranted());
        }
        TriggerLeaderElectionRequest r = (TriggerLeaderElectionRequest) m;
        return plain("lead", from, term, r.getLastLogTerm(), r.getLastLogIndex(), 0, 0, false);
    }

    private static EngineMessage plain(
            String kind, String from, int term, int lastTerm, long index, long query, long flow, boolean flag) {
        return new EngineMessage(kind, from, term, lastTerm, index, 0, query, flow, 0, flag, null, null, null, null);
    }

    /** @param group id of the group; not sent, as a fleet has one group */
    static RaftMessage raftMessage(EngineMessage m, Object group) {
        VoterId from = new VoterId(m.from());
        return switch (m.kind()) {
            case "append" ->
                MODELS.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setPreviousLogTerm(m.lastTerm())
                        .setPreviousLogIndex(m.index())
                        .setCommitIndex(m.commit())
                        .setLogEntries(m.lines().stream().map(LogRecord::entry).toList())
                        .setQuerySequenceNumber(m.query())
                        .setFlowControlSequenceNumber(m.flow())
                        .build();
            case "appended" ->
                MODELS.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setLastLogIndex(m.index())
                        .setQuerySequenceNumber(m.query())
                        .setFlowControlSequenceNumber(m.flow())
                        .build();
            case "notAppended" ->
                MODELS.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setExpectedNextIndex(m.index())
                        .setQuerySequenceNumber(m.query())
                        .setFlowControlSequenceNumber(m.flow())
                        .build();
            case "snapshot" ->
                MODELS.createInstallSnapshotRequestBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setSenderLeader(m.flag())
                        .setSnapshotTerm(m.lastTerm())
                        .setSnapshotIndex(m.index())
                        .setTotalSnapshotChunkCount(m.pieces())
                        .setSnapshotChunk(m.piece() == null ? null : m.piece().chunk())
                        .setSnapshottedMembers(points(m.points()))
                        .setGroupMembersView(m.group().view())
                        .setQuerySequenceNumber(m.query())
                        .setFlowControlSequenceNumber(m.flow())
                        .build();
            case "installed" ->
                MODELS.createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setSnapshotIndex(m.index())
                        .setRequestedSnapshotChunkIndex(m.pieces())
                        .setQuerySequenceNumber(m.query())
                        .setFlowControlSequenceNumber(m.flow())
                        .build();
            case "vote" ->
                MODELS.createVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setLastLogTerm(m.lastTerm())
                        .setLastLogIndex(m.index())
                        .setSticky(m.flag())
                        .build();
            case "voted" ->
                MODELS.createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setGranted(m.flag())
                        .build();
            case "preVote" ->
                MODELS.createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setLastLogTerm(m.lastTerm())
                        .setLastLogIndex(m.index())
                        .build();
            case "preVoted" ->
                MODELS.createPreVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setGranted(m.flag())
                        .build();
            case "lead" ->
                MODELS.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(from)
                        .setTerm(m.term())
                        .setLastLogTerm(m.lastTerm())
                        .setLastLogIndex(m.index())
                        .build();
            default -> throw new IllegalArgumentException("a message of kind " + m.kind());
        };
    }
}
