package marlford.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import marlford.gateway.quota.QuotaMessage;
import org.junit.jupiter.api.Test;

/** One gateway in a tier of a hundred: how the decision engine handles replies of ledger replicas, and missing replies. */
class HundredGatewaysTest {
    private static final int GATEWAYS = 100;
    private static final int REPLY_TIMEOUT_MS = 50;

    private final FakeGateway gateway = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS)).withHosts("a1", "a2");

    private void request(String id, String plan, long customer) {
        gateway.request(id, "read", plan, customer, 2, GATEWAYS);
    }

    private Stream<QuotaMessage.Item> sentItems() {
        return gateway.peerMessages.stream().flatMap(t -> QuotaMessage.decode(t.data()).items().stream());
    }

    private QuotaMessage.Query sentQuery(int index) {
        return sentItems().filter(i -> i instanceof QuotaMessage.Query).map(i -> (QuotaMessage.Query) i).toList().get(index);
    }

    /** Replies to that gateway's latest message, a query, as the ledger replica that it was sent to. */
    private static QuotaMessage.Query reply(FakeGateway querying, QuotaMessage.Verdict verdict, int count) {
        FakeGateway.PeerMessage last = querying.peerMessages.get(querying.peerMessages.size() - 1);
        QuotaMessage message = QuotaMessage.decode(last.data());
        QuotaMessage.Query ask = assertInstanceOf(QuotaMessage.Query.class, message.items().get(0));
        QuotaMessage.Reply answer = new QuotaMessage.Reply(ask.serial(), verdict, 0.2, 3, false);
        querying.engine.onPeerMessage(querying.now, last.peer(),
                new QuotaMessage(500, message.incarnation() & 0xffff, count, List.of(answer)).encode());
        return ask;
    }

    @Test
    void oneQueryAndItsReplyAdmitARequest() {
        request("r", "small", 7);
        assertEquals(1, gateway.peerMessages.size());
        assertEquals(List.of(), gateway.sent);
        reply(gateway, QuotaMessage.Verdict.GRANTED, 1);
        assertEquals(1, gateway.attempts("r"));
        assertEquals(1, gateway.peerMessages.size(), "no message is needed for a use that the replica has booked");
    }

    @Test
    void refusalOfAReplicaAppliesToTheNextRequestWithoutAnotherQuery() {
        request("r", "small", 7);
        reply(gateway, QuotaMessage.Verdict.QUOTA_EXHAUSTED, 1);
        assertEquals(List.of("r"), gateway.refused);
        int messages = gateway.peerMessages.size();
        gateway.request("s", "read", "small", 7, 4, GATEWAYS);
        assertEquals(List.of("r", "s"), gateway.refused);
        assertEquals(messages, gateway.peerMessages.size());
    }

    /** A query that was still queued used to count as unanswered, and its replica as unresponsive. */
    @Test
    void unansweredQueryIsRepeatedThenSentToOthersThenEstimated() {
        request("r", "small", 7);
        gateway.advance(REPLY_TIMEOUT_MS + 20);
        assertEquals(sentQuery(0), sentQuery(1), "the query is repeated with the same serial number");
        gateway.advance(12 * REPLY_TIMEOUT_MS);
        assertEquals(1, gateway.attempts("r"), "no replica replies, and the token bucket was last known to be full");
        assertEquals(0, gateway.finalAnswers("r"));
        gateway.endAttempt("r", 0, EngineApi.Outcome.OK, 20);
        gateway.advance(1000);
        assertTrue(sentItems().anyMatch(i -> i instanceof QuotaMessage.PresenceNotice), "unresponsive replicas are probed");
    }

    /** Ceiling units are valid for 400 ms: if no host is available by then the request is refused and its units are returned. */
    @Test
    void expiredCeilingUnitsAreReturned() {
        FakeGateway withoutHosts = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS));
        withoutHosts.request("r", "read", "capped", 7, 2, GATEWAYS);
        QuotaMessage.Query ask = reply(withoutHosts, QuotaMessage.Verdict.GRANTED, 1);
        withoutHosts.advance(300);
        assertEquals(0, withoutHosts.finalAnswers("r"));
        withoutHosts.advance(140);
        assertEquals(List.of("r"), withoutHosts.refused);
        assertTrue(withoutHosts.peerMessages.stream().anyMatch(
                t -> QuotaMessage.decode(t.data()).items().contains(new QuotaMessage.UnitsReturned(ask.serial()))));
    }

    @Test
    void shutdownPassesLedgersOn() {
        for (long customer = 1; customer <= 300; customer++) {
            request("r" + customer, "small", customer); // this gateway is the ledger replica of some of them
        }
        gateway.peerMessages.clear();
        gateway.engine.onShutdown(gateway.now);
        long ledgers = sentItems().filter(i -> i instanceof QuotaMessage.LedgerSync).count();
        assertTrue(ledgers >= 1, ledgers + " ledgers passed on");
        long farewells = sentItems().filter(i -> i.equals(new QuotaMessage.PresenceNotice(QuotaMessage.PresenceState.LEAVING))).count();
        assertEquals(6, farewells, "the farewell goes to the gateways that may stand in for this one");
    }

    /** After an event loop stall, held requests may be processed before the expiry of their ceiling units is noticed. */
    @Test
    void expiredCeilingUnitsAreNotUsedAfterAStall() {
        FakeGateway withoutHosts = new FakeGateway(1000, FakeGateway.settings(0, GATEWAYS));
        withoutHosts.request("r", "read", "capped", 7, 2, GATEWAYS);
        reply(withoutHosts, QuotaMessage.Verdict.GRANTED, 1);
        withoutHosts.now += 700; // without a tick
        withoutHosts.withHosts("a1"); // the list is processed first, and releases held requests
        assertEquals(List.of(), withoutHosts.sent);
        withoutHosts.advance(40);
        assertEquals(List.of("r"), withoutHosts.refused);
    }

    /** If the client disconnects before the reply, granted units are returned and no attempt is sent. */
    @Test
    void disconnectedClientUsesNoUnits() {
        request("r", "small", 7);
        gateway.engine.onClientLeft(gateway.now, "r");
        reply(gateway, QuotaMessage.Verdict.GRANTED, 1);
        assertEquals(List.of(), gateway.sent);
        assertTrue(sentItems().anyMatch(i -> i instanceof QuotaMessage.UnitsReturned));
    }

    /**
     * Half of the hosts are cold, at less than half of their capacity. If a gateway counts their coldness twice, in how rarely they
     * are candidates and again in their score, they are idle while the warm hosts are overloaded.
     */
    @Test
    void coldHostsGetTheirShareAndNoMore() {
        double ramp = 0.2 + 0.8 * 0.3; // three of ten seconds after the start
        int cold = 0;
        int warm = 0;
        for (int me = 0; me < GATEWAYS; me++) {
            FakeGateway one = new FakeGateway(17_000, FakeGateway.settings(me, GATEWAYS, me)); // it observes the start
            one.engine.onHosts(one.now, EngineApi.ListKind.FULL, IntStream.range(0, 60).mapToObj(i -> new EngineApi.Host("a" + i, "a",
                    "std", 0, EngineApi.HostState.RUNNING, 1, i % 2 == 0 ? 17_000 : 0)).toList());
            one.advance(3000);
            for (int i = 0; i < 10; i++) {
                one.request("r" + i, "read");
                one.request("s" + i, "read");
                one.advance(150);
                one.endAttempt("r" + i, 0, EngineApi.Outcome.OK, 150);
                one.endAttempt("s" + i, 0, EngineApi.Outcome.OK, 150);
            }
            cold += (int) one.sent.stream().filter(s -> Integer.parseInt(s.host().substring(1)) % 2 == 0).count();
            warm += one.sent.size();
        }
        warm -= cold;
        double coldToWarm = (double) cold / warm;
        System.out.println("[hosts] cold to warm " + coldToWarm + " at a ramp of " + ramp);
        assertTrue(coldToWarm >= 0.5 * ramp, "cold hosts are underused: " + coldToWarm);
        assertTrue(coldToWarm <= 2 * ramp, "cold hosts may be overloaded: " + coldToWarm);
    }
}
