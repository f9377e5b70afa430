package marlford.gateway.lease;

import java.util.Arrays;

/**
 * Leases between pairs of gateways: decide which of two may spend what only one of them may spend, although either may be
 * down and messages may be delayed or lost. The holder, to which the resource belongs, keeps it while it knows that the
 * successor received a recent message from it. The successor takes it over once it has received no message of the holder
 * for a longer time. Each pair thus needs two timers and no agreement, and if two live gateways lose contact, the resource
 * changes hands once and belongs to neither in between. As in Gray and Cheriton, "Leases" (1989), except that the holder's
 * term counts from when it sent the message that the successor acknowledges, so neither delay nor loss can extend it.
 *
 * <p><b>Why it is safe.</b> The holder sent an acknowledged message no later than the successor received it. The holder
 * counts {@link Terms#holderTermMs} from sending, the successor the longer {@link Terms#takeoverSilenceMs} from receiving. The clocks need
 * not agree; over these times they may drift apart by at most the difference between the two.
 *
 * <p><b>Stalls.</b> Messages that arrive while the successor's process is paused are read only afterwards, so its own stall
 * does not mean that the holder is silent: the caller reports it with {@link #discountStall}, and only {@link #tick} takes
 * anything over. A stall of the holder uses up its term.
 *
 * <p>Every gateway is the holder of its own resources and the successor for those of its peers.
 *
 * <p>Pure: the caller passes the time, in milliseconds, to every call. Memory: six numbers for each peer. Not thread-safe:
 * used on one event loop only.
 */
public final class TwoPartyLeases {
    /**
     * The two times of a lease.
     *
     * @param holderTermMs length of the holder's term in milliseconds, from sending an acknowledged message; above 0
     * @param takeoverSilenceMs silence of the holder, in milliseconds, after which the successor takes over; above holderTermMs
     */
    public record Terms(double holderTermMs, double takeoverSilenceMs) {
        public Terms {
            if (!(holderTermMs > 0) || !(takeoverSilenceMs > holderTermMs)) {
                throw new IllegalArgumentException("a lease needs 0 < holderTermMs < takeoverSilenceMs");
            }
        }
    }

    /** Stands for a time and means "not held". */
    public static final double NOT_HELD = Double.POSITIVE_INFINITY;

    private static final int NO_MESSAGE = -1;

    private final Terms terms;
    private final int[] unacknowledgedSerial; // of the oldest message not yet acknowledged, or NO_MESSAGE
    private final double[] unacknowledgedSentMs;
    private final double[] provenSentMs; // the peer is known to have received a message sent then or later
    private final double[] heldSinceMs;
    private final double[] lastReceivedMs;
    private final double[] takenOverSinceMs;

    /** @param now no peer counts as silent before takeoverSilenceMs have passed from this time */
    public TwoPartyLeases(Terms terms, int peers, double now) {
        this.terms = terms;
        unacknowledgedSerial = new int[peers];
        Arrays.fill(unacknowledgedSerial, NO_MESSAGE);
        unacknowledgedSentMs = new double[peers];
        provenSentMs = new double[peers];
        Arrays.fill(provenSentMs, Double.NEGATIVE_INFINITY);
        heldSinceMs = new double[peers];
        lastReceivedMs = new double[peers];
        Arrays.fill(lastReceivedMs, now);
        takenOverSinceMs = new double[peers];
        Arrays.fill(takenOverSinceMs, NOT_HELD);
    }

    /** Records that a message with this serial number (its low 16 bits) was sent to the peer. */
    public void messageSent(double now, int peer, int serial) {
        if (unacknowledgedSerial[peer] == NO_MESSAGE) {
            unacknowledgedSerial[peer] = serial & 0xffff;
            unacknowledgedSentMs[peer] = now;
        }
    }

    /**
     * Records an acknowledgement: the peer reports, to this incarnation of the gateway, that the message with this serial
     * number is the last one it received.
     */
    public void messageAcknowledged(double now, int peer, int serial) {
        if (unacknowledgedSerial[peer] == NO_MESSAGE || (short) (serial - unacknowledgedSerial[peer]) < 0) {
            return;
        }
        if (heldSince(now, peer) == NOT_HELD) {
            heldSinceMs[peer] = now;
        }
        provenSentMs[peer] = unacknowledgedSentMs[peer]; // a lower bound: the acknowledged message may have been sent later
        unacknowledgedSerial[peer] = NO_MESSAGE;
    }

    /** Records any message of the peer: what was taken over from it is its own again. */
    public void messageReceived(double now, int peer) {
        lastReceivedMs[peer] = now;
        takenOverSinceMs[peer] = NOT_HELD;
    }

    /** Records that this process was paused for {@code ms} milliseconds and read no message meanwhile. */
    public void discountStall(double ms) {
        for (int i = 0; i < lastReceivedMs.length; i++) {
            lastReceivedMs[i] += ms;
        }
    }

    /** Takes over from peers that have been silent for too long. To be called every few milliseconds, after {@link #discountStall}. */
    public void tick(double now) {
        for (int i = 0; i < lastReceivedMs.length; i++) {
            if (takenOverSinceMs[i] == NOT_HELD && now - lastReceivedMs[i] > terms.takeoverSilenceMs()) {
                takenOverSinceMs[i] = now;
            }
        }
    }

    /** Since when this gateway has continuously held what the successor would take over; {@link #NOT_HELD} if it does not hold it. */
    public double heldSince(double now, int successor) {
        return now < provenSentMs[successor] + terms.holderTermMs() ? heldSinceMs[successor] : NOT_HELD;
    }

    /** Since when this gateway has had what it took over from the holder; {@link #NOT_HELD} if it took nothing over. */
    public double takenOverSince(int holder) {
        return takenOverSinceMs[holder];
    }
}
