package marlford.consensus;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import marlford.lease.Member;
import marlford.lease.Reply;

/**
 * Sends a member's requests to the voters and delivers the replies, over one connection to each voter. {@link #drive}
 * is called on the member's thread, the listener on the Netty event loop.
 */
public final class RequestSender {
    /** Receives replies and failures, on the Netty event loop. */
    public interface Listener {
        void heard(long id, Reply reply);

        /** The connection to a voter was closed: unanswered requests on it have failed. */
        void lost(String voter);
    }

    private final Map<String, ReconnectingChannel> links = new LinkedHashMap<>();
    private final LongAdder sent = new LongAdder(); // bytes, without frame headers
    private final LongAdder received = new LongAdder();

    public RequestSender(EventLoopGroup network, Map<String, InetSocketAddress> voters, Listener listener) {
        voters.forEach((name, address) ->
                links.put(name, new ReconnectingChannel(network, address, new FrameTransport.Listener() {
                    @Override
                    public void frame(Channel from, byte kind, byte[] body) {
                        try {
                            if (kind == FrameTransport.REPLY) {
                                received.add(body.length);
                                ReplyFrame c = Codec.read(body, ReplyFrame.class);
                                listener.heard(c.id(), c.reply());
                            }
                        } catch (IOException e) {
                            from.close(); // unreadable
                        }
                    }

                    @Override
                    public void closed(Channel channel) {
                        listener.lost(name);
                    }
                })));
    }

    /** Sends the member's due requests; one that cannot be sent has failed. On the member's thread. */
    public void drive(Member member, double now) {
        for (Member.Outgoing o : member.due(now)) {
            if (!send(o)) {
                member.failed(o.id(), now);
            }
        }
    }

    private boolean send(Member.Outgoing o) {
        try {
            byte[] bytes = Codec.bytes(new RequestFrame(o.id(), o.ask()));
            sent.add(bytes.length);
            return links.get(o.voter()).send(FrameTransport.CALL, bytes);
        } catch (IOException e) {
            return false;
        }
    }

    /** Bytes sent and received, for the operators' page. */
    public String text() {
        return "asks sent_bytes=" + sent.sum() + " received_bytes=" + received.sum() + '\n';
    }

    public void close() {
        links.values().forEach(ReconnectingChannel::close);
    }
}
