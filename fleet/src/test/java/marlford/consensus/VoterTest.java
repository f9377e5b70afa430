package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import marlford.membership.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One voter over loopback, between two others that say what the test has them say. */
class VoterTest {
    private static final String FLEET = "f";
    private static final String GROUP = "marlford";
    private static final long PATIENCE_S = 30;

    @TempDir
    private Path dir;

    private final NioEventLoopGroup network = new NioEventLoopGroup(1);
    private final BlockingQueue<Codec.EngineMessage> mail =
            new LinkedBlockingQueue<>(); // what it sends to B, in its order
    private Voter voter;
    private ReconnectingChannel toVoter;

    @AfterEach
    void end() {
        if (voter != null) {
            voter.close();
        }
        network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private InetSocketAddress other(FrameTransport.Listener ears) throws InterruptedException {
        Channel listener =
                FrameTransport.listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ears);
        return (InetSocketAddress) listener.localAddress();
    }

    private void frame(Channel from, byte kind, byte[] body) {
        try {
            if (kind == FrameTransport.ENGINE_MESSAGE) {
                mail.add(Codec.agreed(body, Codec.EngineMessage.class));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private Codec.EngineMessage next(String kind) throws InterruptedException {
        for (Codec.EngineMessage m = mail.poll(PATIENCE_S, TimeUnit.SECONDS);
                m != null;
                m = mail.poll(PATIENCE_S, TimeUnit.SECONDS)) {
            if (m.kind().equals(kind)) {
                return m;
            }
        }
        return null;
    }

    private void say(RaftMessage m) throws IOException {
        toVoter.send(FrameTransport.ENGINE_MESSAGE, Codec.bytes(Codec.engineMessage(m)));
    }

    /** B leads in the first term, and has nothing to say. */
    private RaftMessage lead() {
        RaftEndpoint b = new VoterId("b:2");
        return Codec.MODELS
                .createAppendEntriesRequestBuilder()
                .setGroupId(GROUP)
                .setSender(b)
                .setTerm(1)
                .setPreviousLogTerm(0)
                .setPreviousLogIndex(0)
                .setCommitIndex(0)
                .setLogEntries(List.of())
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
    }

    /**
     * It has begun to ask for votes when the leader of its term is heard, and the leader falls silent: the engine by itself asks
     * nobody again. Seen in storms: with the longest log at such a voter nobody was elected until the dead came back.
     */
    @Test
    void aVoterThatAskedForVotesAsItsLeaderWasHeardAsksAgainOnceThatIsSilent() throws Exception {
        InetSocketAddress own;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            own = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        voters.put("a", own);
        voters.put("b", other(this::frame));
        voters.put("c", other((from, kind, body) -> {})); // or what it says to both would come in any order
        voter = new Voter(
                new Voter.Settings(FLEET, "a", voters, dir),
                MonotonicClock.ofThisProcess(),
                network,
                System.out::println);
        voter.start();
        toVoter = new ReconnectingChannel(network, own, (from, kind, body) -> {});
        while (!toVoter.isOpen()) {
            Thread.sleep(5);
        }
        for (String point : List.of("b:2", "c:3")) {
            toVoter.send(FrameTransport.HELLO, Codec.bytes(new Hello(FLEET, point, 1, null, Map.of())));
        }
        assertNotNull(next("preVote"), "it asks for votes of the first term");
        say(lead());
        assertNotNull(next("appended"), "it follows the leader of the first term");
        assertNotNull(next("preVote"), "the leader is silent, and it asks for votes of the second");
        say(lead()); // nobody has answered yet, and the leader is heard again
        assertNotNull(next("appended"), "it follows");
        assertNotNull(next("preVote"), "the leader is silent again, and nobody is asked");
    }
}
