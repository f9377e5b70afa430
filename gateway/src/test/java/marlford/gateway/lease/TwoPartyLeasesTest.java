package marlford.gateway.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import marlford.gateway.lease.TwoPartyLeases.Terms;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Two gateways on a link that loses, delays and reorders messages never both hold what only one of them may spend. */
class TwoPartyLeasesTest {
    private static final Terms TERMS = new Terms(1000, 1200);
    private static final int HOLDER = 0;
    private static final int SUCCESSOR = 1;

    @Test
    void holderHoldsFromAnAcknowledgementForATermFromTheAcknowledgedMessage() {
        TwoPartyLeases holder = new TwoPartyLeases(TERMS, 2, 0);
        assertEquals(TwoPartyLeases.NOT_HELD, holder.heldSince(0, SUCCESSOR));
        holder.messageSent(100, SUCCESSOR, 7);
        holder.messageSent(300, SUCCESSOR, 8);
        holder.messageAcknowledged(400, SUCCESSOR, 6); // the acknowledgement of an earlier message proves nothing
        assertEquals(TwoPartyLeases.NOT_HELD, holder.heldSince(400, SUCCESSOR));
        holder.messageAcknowledged(500, SUCCESSOR, 8);
        assertEquals(500, holder.heldSince(1099, SUCCESSOR)); // 7 was sent at 100; the acknowledgement of 8 proves no more than that
        assertEquals(TwoPartyLeases.NOT_HELD, holder.heldSince(1100, SUCCESSOR));
    }

    @Test
    void termRenewedInTimeContinuesAndAnExpiredOneStartsAgain() {
        TwoPartyLeases holder = new TwoPartyLeases(TERMS, 2, 0);
        holder.messageSent(0, SUCCESSOR, 0xffff);
        holder.messageAcknowledged(10, SUCCESSOR, 0xffff);
        holder.messageSent(900, SUCCESSOR, 0); // the serial number wraps around
        holder.messageAcknowledged(950, SUCCESSOR, 0);
        assertEquals(10, holder.heldSince(1500, SUCCESSOR));
        holder.messageSent(2000, SUCCESSOR, 1);
        holder.messageAcknowledged(2010, SUCCESSOR, 1);
        assertEquals(2010, holder.heldSince(2010, SUCCESSOR));
    }

    @Test
    void successorTakesOverOnATickAfterSilenceAndReturnsAtTheFirstMessage() {
        TwoPartyLeases successor = new TwoPartyLeases(TERMS, 2, 0);
        successor.messageReceived(50, HOLDER);
        successor.tick(1250);
        assertEquals(TwoPartyLeases.NOT_HELD, successor.takenOverSince(HOLDER));
        successor.tick(1251);
        assertEquals(1251, successor.takenOverSince(HOLDER));
        successor.tick(1300);
        assertEquals(1251, successor.takenOverSince(HOLDER));
        successor.messageReceived(1310, HOLDER);
        assertEquals(TwoPartyLeases.NOT_HELD, successor.takenOverSince(HOLDER));
    }

    @Test
    void ownStallDoesNotCountAsSilenceOfTheHolder() {
        TwoPartyLeases successor = new TwoPartyLeases(TERMS, 2, 0);
        successor.discountStall(5000);
        successor.tick(5000);
        assertEquals(TwoPartyLeases.NOT_HELD, successor.takenOverSince(HOLDER));
        successor.tick(6201);
        assertEquals(6201, successor.takenOverSince(HOLDER));
    }

    @Test
    void termsOutOfRangeAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Terms(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new Terms(5, 5));
        assertThrows(IllegalArgumentException.class, () -> new Terms(5, Double.NaN));
    }

    // ---- random losses, delays, outages, stalls and restarts of both; jqwik prints the seed of a failure

    /** One gateway with a tick every 20 ms, like the decision engine; what arrives during a stall is read after it. */
    private static final class Side {
        private static final double TICK_MS = 20;
        private final int peer;
        private TwoPartyLeases leases;
        private int incarnation;
        private int serial;
        private int peerIncarnation = -1;
        private int lastReceivedSerial;
        private double nextTick;

        Side(int peer) {
            this.peer = peer;
            start(0);
        }

        void start(double now) {
            leases = new TwoPartyLeases(TERMS, 2, now);
            incarnation++;
            serial = 0;
            peerIncarnation = -1;
            nextTick = now + TICK_MS;
        }

        Message send(double now, double arrivesAt) {
            leases.messageSent(now, peer, ++serial);
            return new Message(arrivesAt, 1 - peer, incarnation, serial, peerIncarnation, lastReceivedSerial);
        }

        void receive(double now, Message m) {
            if (peerIncarnation > m.incarnation || peerIncarnation == m.incarnation && (short) (m.serial - lastReceivedSerial) <= 0) {
                return; // overtaken by a later message, or of an earlier incarnation
            }
            peerIncarnation = m.incarnation;
            lastReceivedSerial = m.serial;
            leases.messageReceived(now, peer);
            if (m.receiverIncarnation == incarnation) {
                leases.messageAcknowledged(now, peer, m.lastReceivedSerial);
            }
        }

        void tick(double now) {
            if (now - nextTick > TICK_MS) {
                leases.discountStall(now - nextTick);
            }
            leases.tick(now);
            nextTick = now + TICK_MS;
        }
    }

    private record Message(double arrivesAt, int from, int incarnation, int serial, int receiverIncarnation, int lastReceivedSerial) { }

    private static final int MAX_STALL_MS = 3000;
    private static final int MAX_DELAY_MS = 2500; // of a message

    @Property(tries = 500)
    void bothNeverHoldAtTheSameTime(@ForAll long seed) {
        Random random = new Random(seed);
        Side[] sides = {new Side(SUCCESSOR), new Side(HOLDER)};
        PriorityQueue<Message> link = new PriorityQueue<>(Comparator.comparingDouble(Message::arrivesAt));
        double[] stalledUntil = new double[2];
        double lossUntil = 0;
        double noFaultsUntil = 3000; // long enough for the holder to get its term; random faults begin after it
        boolean held = false;
        boolean taken = false;
        for (double now = 0; now < 20_000; now += 5) {
            if (!held && now < 6000) {
                noFaultsUntil = Math.max(noFaultsUntil, now + 5); // all messages of three seconds may be lost or delayed
            }
            if (now == 6000) { // ensures that it changes hands once: all stalls are over, and delayed messages have arrived
                lossUntil = now + MAX_STALL_MS + MAX_DELAY_MS + 2500;
                noFaultsUntil = lossUntil;
            }
            boolean noFaults = now < noFaultsUntil;
            if (!noFaults && now >= lossUntil && random.nextInt(400) == 0) {
                lossUntil = now + random.nextInt(4000); // the link loses all messages
            }
            for (int i = 0; i < 2; i++) {
                Side side = sides[i];
                if (!noFaults && random.nextInt(1000) == 0) {
                    stalledUntil[i] = now + random.nextInt(MAX_STALL_MS);
                }
                if (now < stalledUntil[i]) {
                    continue;
                }
                if (!noFaults && random.nextInt(1500) == 0) {
                    side.start(now);
                }
                if (now >= side.nextTick) {
                    side.tick(now); // before messages that arrived in a stall are read, which is the worst order
                }
                if (random.nextInt(40) == 0) {
                    double delay = random.nextInt(10) == 0 ? random.nextInt(MAX_DELAY_MS) : random.nextInt(20);
                    Message m = side.send(now, now + delay);
                    if (now >= lossUntil && random.nextInt(10) > 0) {
                        link.add(m);
                    }
                }
            }
            PriorityQueue<Message> later = new PriorityQueue<>(link.comparator());
            for (Message m = link.poll(); m != null; m = link.poll()) {
                int to = 1 - m.from;
                if (m.arrivesAt <= now && now >= stalledUntil[to]) {
                    sides[to].receive(now, m);
                } else {
                    later.add(m);
                }
            }
            link = later;
            boolean holds = sides[HOLDER].leases.heldSince(now, SUCCESSOR) != TwoPartyLeases.NOT_HELD;
            boolean tookOver = sides[SUCCESSOR].leases.takenOverSince(HOLDER) != TwoPartyLeases.NOT_HELD;
            assertFalse(holds && tookOver, "both hold it at " + now);
            held |= holds;
            taken |= tookOver;
        }
        assertTrue(held && taken, "it has to change hands at least once for the test to prove anything");
    }
}
