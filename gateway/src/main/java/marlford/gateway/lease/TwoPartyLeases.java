package marlford.gateway.lease;

import java.util.Arrays;

/**
 * Who of two gateways may spend what only one of them may, while either may be gone and messages are late or lost.
 * The one that it belongs to, the holder, has it for as long as it knows that the other has heard of it lately; the
 * other, the heir, takes it once it has not heard of the holder for longer than that. So each pair of gateways keeps
 * two clocks and no agreement, and in a silence between two that both live the part changes hands once and is with
 * nobody in between. As in Gray and Cheriton, "Leases" (1989), with the holder's term counted from when it sent what
 * the heir answers to, so that neither delay nor loss can lengthen it.
 *
 * <p><b>Why it is safe.</b> An acknowledged message left the holder no later than the heir heard it. The holder counts
 * {@link Terms#holdMs} from its leaving, the heir the longer {@link Terms#takeMs} from its hearing. The clocks need
 * not agree; between the two times they may only run apart by their difference.
 *
 * <p><b>Stalls.</b> What came while the heir stood still was read after it, so a stall of its own is no silence: the
 * caller tells it with {@link #stalled}, and only {@link #beat} takes anything. A stall of the holder uses up its term.
 *
 * <p>Pure: every call brings its time, in milliseconds. Bound: four numbers for each peer. Not thread-safe; it
 * belongs to one event loop.
 */
public final class TwoPartyLeases {
    /**
     * @param holdMs how long, in milliseconds, the holder's term lasts from the leaving of an answered message; above 0
     * @param takeMs silence, in milliseconds, after which the heir takes over; above holdMs
     */
    public record Terms(double holdMs, double takeMs) {
        public Terms {
            if (!(holdMs > 0) || !(takeMs > holdMs)) {
                throw new IllegalArgumentException("terms of a lease out of range");
            }
        }
    }

    /** In the place of a time: not held. */
    public static final double NOT = Double.POSITIVE_INFINITY;

    private static final int NONE = -1;

    private final Terms terms;
    private final int[] asked; // count of the message whose answer is awaited, or NONE
    private final double[] askedAt;
    private final double[] provenAt; // the peer is known to have heard what left then
    private final double[] heldSince;
    private final double[] heardAt;
    private final double[] takenSince;

    /** @param now nobody is taken for silent before takeMs from here have passed */
    public TwoPartyLeases(Terms terms, int peers, double now) {
        this.terms = terms;
        asked = new int[peers];
        Arrays.fill(asked, NONE);
        askedAt = new double[peers];
        provenAt = new double[peers];
        Arrays.fill(provenAt, Double.NEGATIVE_INFINITY);
        heldSince = new double[peers];
        heardAt = new double[peers];
        Arrays.fill(heardAt, now);
        takenSince = new double[peers];
        Arrays.fill(takenSince, NOT);
    }

    /** A message of this count, 16 bits, left for the peer. */
    public void told(double now, int peer, int count) {
        if (asked[peer] == NONE) {
            asked[peer] = count & 0xffff;
            askedAt[peer] = now;
        }
    }

    /** The peer said, to this life, that the message of this count is the last it has heard. */
    public void answered(double now, int peer, int count) {
        if (asked[peer] == NONE || (short) (count - asked[peer]) < 0) {
            return;
        }
        if (heldSince(now, peer) == NOT) {
            heldSince[peer] = now;
        }
        provenAt[peer] = askedAt[peer]; // or later: this is the oldest that the answer can stand for
        asked[peer] = NONE;
    }

    /** Any message of the peer: from here on, what was taken of it is its own again. */
    public void heard(double now, int peer) {
        heardAt[peer] = now;
        takenSince[peer] = NOT;
    }

    /** This gateway stood still for so long, in milliseconds, and heard nobody meanwhile. */
    public void stalled(double ms) {
        for (int i = 0; i < heardAt.length; i++) {
            heardAt[i] += ms;
        }
    }

    /** To be called every few milliseconds, after {@link #stalled}: who has been silent for too long is taken over. */
    public void beat(double now) {
        for (int i = 0; i < heardAt.length; i++) {
            if (takenSince[i] == NOT && now - heardAt[i] > terms.takeMs()) {
                takenSince[i] = now;
            }
        }
    }

    /** Since when this gateway holds what the peer would inherit, without a break; {@link #NOT} where it does not. */
    public double heldSince(double now, int heir) {
        return now < provenAt[heir] + terms.holdMs() ? heldSince[heir] : NOT;
    }

    /** Since when this gateway has what the peer held; {@link #NOT} where it has not. */
    public double takenSince(int holder) {
        return takenSince[holder];
    }
}
