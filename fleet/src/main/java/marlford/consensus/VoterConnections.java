package marlford.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import marlford.membership.Hello;

/**
 * The connections of a voter: a listening port, and one connection to each other voter, on which it sends. Frames that cannot
 * be sent are dropped. The listener is called on the Netty event loop; sending is possible from any thread.
 */
final class VoterConnections implements Transport {
    private final EventLoopGroup network;
    private final FrameTransport.Listener listener;
    private final BooleanSupplier active;
    private final Consumer<String> log;
    private final Map<String, ReconnectingChannel> channels = new LinkedHashMap<>();
    private Channel port;

    /**
     * @param listener gets the frames that arrive, on any connection
     * @param active whether messages of the engine are to be sent
     */
    VoterConnections(
            EventLoopGroup network, FrameTransport.Listener listener, BooleanSupplier active, Consumer<String> log) {
        this.network = network;
        this.listener = listener;
        this.active = active;
        this.log = log;
    }

    /** Connects to the other voters and listens. */
    void open(String self, Map<String, InetSocketAddress> voters) throws InterruptedException {
        voters.forEach((name, address) -> {
            if (!name.equals(self)) {
                channels.put(name, new ReconnectingChannel(network, address, listener));
            }
        });
        port = FrameTransport.listen(network, voters.get(self), listener);
    }

    void close() {
        channels.values().forEach(ReconnectingChannel::close);
        if (port != null) {
            port.close();
        }
    }

    /** Tells all other voters about this one. */
    void broadcast(Hello hello) {
        try {
            byte[] bytes = Codec.bytes(hello);
            channels.values().forEach(channel -> channel.send(FrameTransport.HELLO, bytes));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
    }

    /** Replies to a request on the connection it came from. */
    void reply(Channel to, ReplyFrame reply) {
        try {
            FrameTransport.send(to, FrameTransport.REPLY, Codec.bytes(reply));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        ReconnectingChannel channel = channels.get(((VoterId) to).name());
        if (channel == null || !active.getAsBoolean()) {
            return;
        }
        try {
            channel.send(FrameTransport.ENGINE_MESSAGE, Codec.bytes(Codec.engineMessage(message)));
        } catch (IOException e) {
            log.accept("fleet: defect: " + e);
        }
    }

    @Override
    public boolean isReachable(RaftEndpoint to) {
        ReconnectingChannel channel = channels.get(((VoterId) to).name());
        return channel != null && channel.isOpen();
    }
}
