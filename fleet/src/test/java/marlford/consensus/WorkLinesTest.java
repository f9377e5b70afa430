package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import marlford.lease.Command;
import marlford.lease.CommandResult;
import marlford.lease.LeaseStateMachine;
import marlford.lease.Reply;
import marlford.lease.Request;
import marlford.register.KeyedRequest;
import marlford.register.Outcome;
import marlford.register.RegisterCommand;
import marlford.register.RegisterResult;
import marlford.register.RequestRegister;
import org.junit.jupiter.api.Test;

/** Work on the log: what is written is read as it was, and the book and its register are of one moment. */
class WorkLinesTest {
    private static final KeyedRequest ORDER = new KeyedRequest("7:k", "d", "order", 1.5, "POST /x\r\n\r\n\u00e9\u0000");

    private long index;

    private CommandResult say(LeaseStateMachine machine, Command c) {
        return machine.apply(++index, c);
    }

    @Test
    void whatIsWrittenIsReadAsItWas() throws Exception {
        List<RegisterCommand> lines = List.of(
                new RegisterCommand.Enter(ORDER, "a", 3),
                new RegisterCommand.Move("7:k", 5, "b"),
                new RegisterCommand.End("7:k", 5, new Outcome(200, "done")),
                new RegisterCommand.Withdraw("7:k", 5),
                new RegisterCommand.Take("7:k", 9, 6),
                new RegisterCommand.Forget(12));
        for (RegisterCommand l : lines) {
            Codec.LogRecord written = new Codec.LogRecord(4, 2, new Command.Work(1, l), null);
            assertEquals(written, Codec.agreed(Codec.bytes(written), Codec.LogRecord.class));
            RequestFrame call = new RequestFrame(1, new Request.Submit(new Command.Work(1, l)));
            assertEquals(call, Codec.read(Codec.bytes(call), RequestFrame.class));
        }
        RequestRegister register = new RequestRegister();
        RegisterResult owned = register.apply(1, 1, lines.get(0), (a, b, c) -> false, () -> 5);
        ReplyFrame back = new ReplyFrame(
                1, new Reply(Reply.Status.OK, "v", new CommandResult(CommandResult.Kind.DONE, 0, owned), 1, null));
        assertEquals(back, Codec.read(Codec.bytes(back), ReplyFrame.class));
    }

    @Test
    void theEndOfASessionLeavesItsWorkToWhoeverHasTheShard() throws Exception {
        LeaseStateMachine machine = new LeaseStateMachine(1);
        long a = say(machine, new Command.Open("a", 1, 1000)).value();
        long b = say(machine, new Command.Open("b", 2, 1000)).value();
        say(machine, new Command.Join(a, "work", RequestRegister.SHARDS));
        say(machine, new Command.Join(b, "work", RequestRegister.SHARDS));
        RegisterResult first = say(machine, new Command.Work(a, new RegisterCommand.Enter(ORDER, "x", 1)))
                .work();
        assertEquals(RegisterResult.Kind.OWNED, first.kind());
        assertEquals(
                RegisterResult.Kind.RUNS,
                machine.look(ORDER.key(), ORDER.digest()).work().kind());
        int shard = RequestRegister.shard(ORDER.key());
        say(machine, new Command.Close(a));
        LeaseStateMachine.Holding mine = machine.holdings(b).stream()
                .filter(h -> h.shard() == shard)
                .findFirst()
                .orElseThrow();
        LeaseStateMachine copy = LeaseStateMachine.of(
                Codec.agreed(Codec.bytes(machine.snapshot()), LeaseStateMachine.Snapshot.class)); // as a snapshot
        for (LeaseStateMachine each : List.of(machine, copy)) {
            assertEquals(
                    CommandResult.Kind.GONE,
                    each.apply(
                                    90,
                                    new Command.Work(
                                            a,
                                            new RegisterCommand.End(
                                                    ORDER.key(), first.token(), new Outcome(200, "late"))))
                            .kind());
            assertEquals(
                    RegisterResult.Kind.NOT_YOURS,
                    each.apply(91, new Command.Work(b, new RegisterCommand.Take(ORDER.key(), shard, 3)))
                            .work()
                            .kind());
            RegisterResult taken = each.apply(
                            92, new Command.Work(b, new RegisterCommand.Take(ORDER.key(), shard, mine.token())))
                    .work();
            assertEquals(RegisterResult.Kind.OWNED, taken.kind());
            assertTrue(taken.token() > first.token());
            Outcome done = new Outcome(200, "done");
            each.apply(93, new Command.Work(b, new RegisterCommand.End(ORDER.key(), taken.token(), done)));
            assertEquals(done, each.look(ORDER.key(), ORDER.digest()).work().outcome());
        }
        assertEquals(machine.snapshot(), copy.snapshot());
    }

    /** A fleet that has no work writes what one of the version before it can read. */
    @Test
    void whereThereIsNoWorkNothingOfItIsWritten() throws Exception {
        LeaseStateMachine machine = new LeaseStateMachine(1);
        say(machine, new Command.Open("a", 1, 1000));
        assertNull(machine.snapshot().work());
        assertTrue(!new String(Codec.bytes(machine.snapshot()), "ISO-8859-1").contains("work"));
        assertNotNull(
                LeaseStateMachine.of(Codec.agreed(Codec.bytes(machine.snapshot()), LeaseStateMachine.Snapshot.class)));
        assertEquals(2, new Command.Work(1, new RegisterCommand.Forget(1)).level());
        assertEquals(1, new Command.Close(1).level());
    }
}
