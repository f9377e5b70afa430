package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One random course of two owners and two holders of leases over a link that loses, repeats, delays and swaps messages, while
 * owners and holders are killed and return as new lives. Beside it the one true store, which is charged when a unit is sent
 * on. The owners have half of the store each; for a quota there is one owner, whose book a stand-in keeps for its return.
 */
final class LeaseCourse {
    private static final QuotaMessage.Named NAMED = new QuotaMessage.Named(7, 0, 0, 4);
    private static final CeilingShare.Fill FILL = new CeilingShare.Fill(true, 1);
    private static final int STEPS = 20;
    private static final int HOLDERS = 2;
    private static final int SPREE = 12;
    private static final int WAY_MS = 2500; // at most, of a message
    private static final double SYNC_MS = 500; // between words to the stand-in
    private static final double EPSILON = 1e-6;

    /** What is done wrong on purpose, to see whether a course shows it. */
    enum Fault {
        NONE,
        /** The holder spends for longer after its asking than the owner counts, as where it counts from the grant's coming. */
        TERM_TOO_LONG,
        /** An owner's next life takes it that the former had leased nothing. */
        FORMER_LIFE_FORGOTTEN
    }

    private static final class Owner {
        int life = 1;
        double since;
        double backAt = Double.NEGATIVE_INFINITY;
        CeilingShare share; // of a ceiling
        QuotaLedger ledger; // of a quota
        double syncedAt = Double.NEGATIVE_INFINITY;
        QuotaMessage.Sync synced;
        double unsynced; // units granted, since the stand-in was told
    }

    private static final class Holder {
        int life = 1;
        int serial;
        LeaseHolder lease;
        final int[] ownerLives = {0, 0};
    }

    private record Mail(double at, boolean toOwner, int owner, int ownerLife, int holder, int holderLife,
            QuotaMessage.LeaseRequest request, QuotaMessage.LeaseGrant grant) { }

    private record Sending(double at, double units) { }

    private final SplittableRandom random;
    private final QuotaTerms terms;
    private final boolean quota;
    private final Fault fault;
    private final Owner[] owners;
    private final Holder[] holders = new Holder[HOLDERS];
    private final List<Mail> mail = new ArrayList<>();
    private final List<Sending> sendings = new ArrayList<>();
    private double now = 100_000;
    private double truth;
    private double touchedAt;
    private final boolean deadly; // owners and holders die
    /** The least that the true store had, and the sum of what it may be below nothing by the stated formula. */
    double lowest = Double.POSITIVE_INFINITY;
    double allowedBelow;
    double leased; // units spent from leases

    LeaseCourse(long seed, QuotaTerms terms, boolean quota, Fault fault) {
        random = new SplittableRandom(seed);
        this.terms = terms;
        this.quota = quota;
        this.fault = fault;
        owners = new Owner[quota ? 1 : 2];
        truth = quota ? terms.burst() : 0; // what the former lives gave has just been spent
        touchedAt = quota ? now : now + CeilingShare.LENT_MS;
        deadly = random.nextInt(3) == 0;
        allowedBelow = quota ? QuotaLedger.OVERCOMMIT * terms.burst() : 0;
        for (int i = 0; i < owners.length; i++) {
            owners[i] = new Owner();
            owners[i].since = now;
            begin(owners[i]);
        }
        for (int i = 0; i < HOLDERS; i++) {
            holders[i] = new Holder();
            holders[i].lease = newLease();
        }
    }

    private LeaseHolder newLease() {
        double termMs = LeaseLedger.USE_MS + (fault == Fault.TERM_TOO_LONG ? WAY_MS : 0);
        return new LeaseHolder(quota ? QuotaMessage.Of.STORE : QuotaMessage.Of.CEILING, termMs);
    }

    private void begin(Owner o) {
        if (quota) {
            o.ledger = new QuotaLedger(NAMED, new LedgerPlacement(new int[] {0}, new int[0]), terms, null, now);
            if (o.synced != null) {
                double filled = o.synced.fullness() + (now - o.syncedAt) / 1000 * terms.rate() / terms.burst();
                o.ledger.told(now, new QuotaMessage.Sync(NAMED, Math.min(1, filled), 0), true, FILL);
            }
        } else {
            double since = o.since - (fault == Fault.FORMER_LIFE_FORGOTTEN ? LeaseLedger.LENT_MS : 0);
            o.share = new CeilingShare(terms, 1.0 / owners.length, since);
        }
    }

    void run() {
        pass(random.nextInt(2) * random.nextInt(10_000));
        for (int i = 0; i < STEPS; i++) {
            pass(random.nextInt(6) == 0 ? random.nextInt(2500) : random.nextInt(60));
            step();
        }
        pass(3000);
    }

    private void step() {
        int o = random.nextInt(owners.length);
        int h = random.nextInt(HOLDERS);
        switch (random.nextInt(14)) {
            case 0, 1, 2, 3 -> spend(holders[h], 1 + random.nextInt(4));
            case 4, 5, 6, 7 -> request(o, h);
            case 8, 9 -> own(owners[o], 1 + random.nextInt(4));
            case 10 -> end(h);
            case 11, 12 -> {
                pass(random.nextInt((int) LeaseLedger.USE_MS)); // all that is not leased fills, and then all is spent
                spree();
            }
            default -> die(owners[o], holders[h]);
        }
    }

    private void spree() {
        for (Holder h : holders) {
            while (h.lease.take(now, 1)) {
                spent(h, 1);
            }
        }
        for (Owner o : owners) {
            for (int i = 0; i < SPREE; i++) {
                own(o, 1);
            }
        }
    }

    private void die(Owner o, Holder h) {
        if (deadly && random.nextBoolean()) {
            killOwner(o);
        } else if (deadly) {
            killHolder(h);
        }
    }

    private boolean there(Owner o) {
        return now >= o.backAt;
    }

    private void spend(Holder h, double units) {
        h.lease.tried(now, 3 * units);
        for (int times = random.nextInt(12); times >= 0 && h.lease.take(now, units); times--) {
            spent(h, units);
        }
    }

    private void spent(Holder h, double units) {
        leased += units;
        double leaveBy = quota ? now : Math.min(now + CeilingShare.USE_MS, h.lease.leaveBy());
        double connects = quota ? 0 : CeilingShare.LENT_MS - CeilingShare.USE_MS;
        sendings.add(new Sending(between(now, leaveBy + connects), units));
    }

    private double between(double from, double to) {
        return random.nextInt(3) == 0 ? to - EPSILON : from + random.nextDouble() * (to - from);
    }

    /** The owner's own use, or a loan for one question. */
    private void own(Owner o, double units) {
        if (!there(o)) {
            return;
        }
        if (quota) {
            if (o.ledger.judge(now, units, 0, QuotaMessage.Of.STORE, 0, FILL) == QuotaMessage.Verdict.GRANTED) {
                o.unsynced += units;
                sendings.add(new Sending(now, units));
            }
            return;
        }
        for (int times = random.nextInt(12); times >= 0 && o.share.at(now, FILL) >= units; times--) {
            o.share.give(now, units);
            sendings.add(new Sending(between(now, now + CeilingShare.LENT_MS), units));
        }
    }

    private void request(int owner, int holder) {
        Holder h = holders[holder];
        h.lease.tried(now, 1 + random.nextInt(6));
        QuotaMessage.LeaseRequest r = h.lease.request(now, ++h.serial, owner, NAMED);
        if (r != null) {
            post(new Mail(now, true, owner, 0, holder, h.life, wire(r), null));
        }
    }

    private void end(int holder) {
        Holder h = holders[holder];
        int owner = h.lease.owner();
        QuotaMessage.LeaseRequest r = h.lease.end(now, ++h.serial, NAMED);
        if (r != null) {
            post(new Mail(now, true, owner, 0, holder, h.life, wire(r), null));
        }
    }

    /** As a message carries it. */
    private static QuotaMessage.LeaseRequest wire(QuotaMessage.LeaseRequest r) {
        return new QuotaMessage.LeaseRequest(r.serial(), r.named(), r.of(), Math.round(4 * r.units()) / 4.0,
                Math.ceil(4 * r.held()) / 4, Math.floor(4 * r.returned()) / 4);
    }

    private void post(Mail m) {
        for (int copies = random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
            if (random.nextInt(6) > 0) {
                double way = random.nextInt(4) == 0 ? random.nextInt(WAY_MS) : 1 + random.nextInt(9);
                mail.add(new Mail(now + way, m.toOwner, m.owner, m.ownerLife, m.holder, m.holderLife, m.request, m.grant));
            }
        }
    }

    private void killOwner(Owner o) {
        if (!there(o)) {
            return;
        }
        allowedBelow += QuotaLedger.LEASED_MOST * terms.burst() + o.unsynced;
        o.unsynced = 0;
        o.life++;
        o.since = now;
        o.backAt = now + random.nextInt(3) * random.nextInt(1500);
        begin(o);
    }

    private void killHolder(Holder h) {
        h.life++;
        h.serial = 0;
        h.lease = newLease();
    }

    /** Time goes by; what arrives or is sent on meanwhile does so in its order. */
    private void pass(double ms) {
        double end = now + ms;
        while (true) {
            Mail nextMail = null;
            for (Mail m : mail) {
                nextMail = nextMail == null || m.at < nextMail.at ? m : nextMail;
            }
            Sending nextSending = null;
            for (Sending s : sendings) {
                nextSending = nextSending == null || s.at < nextSending.at ? s : nextSending;
            }
            double mailAt = nextMail == null ? Double.POSITIVE_INFINITY : nextMail.at;
            double sendingAt = nextSending == null ? Double.POSITIVE_INFINITY : nextSending.at;
            if (Math.min(mailAt, sendingAt) > end) {
                break;
            }
            now = Math.max(now, Math.min(mailAt, sendingAt));
            if (sendingAt <= mailAt) {
                sendings.remove(nextSending);
                charge(nextSending.units);
            } else {
                mail.remove(nextMail);
                arrive(nextMail);
            }
        }
        now = end;
        sync();
    }

    private void sync() {
        if (quota && there(owners[0]) && now - owners[0].syncedAt >= SYNC_MS) {
            Owner o = owners[0];
            o.ledger.touch(now, FILL);
            o.synced = new QuotaMessage.Sync(NAMED, o.ledger.fullness(), 0);
            o.syncedAt = now;
            o.unsynced = 0;
        }
    }

    private void charge(double units) {
        double rate = quota ? terms.rate() : terms.ceilingRate();
        double burst = quota ? terms.burst() : terms.ceilingBurst();
        truth = Math.min(burst, truth + Math.max(0, now - touchedAt) / 1000 * rate) - units;
        touchedAt = Math.max(touchedAt, now);
        lowest = Math.min(lowest, truth);
    }

    private void arrive(Mail m) {
        Holder h = holders[m.holder];
        Owner o = owners[m.owner];
        if (!m.toOwner) {
            boolean stale = m.ownerLife < h.ownerLives[m.owner] || m.holderLife != h.life;
            if (!stale) {
                h.ownerLives[m.owner] = m.ownerLife;
                h.lease.granted(now, m.owner, m.ownerLife, m.grant.serial(), m.grant.units());
            }
            return;
        }
        if (!there(o) || m.holderLife < h.life && random.nextBoolean()) { // the later life may have been heard already
            return;
        }
        QuotaMessage.LeaseRequest r = m.request;
        double units = quota ? o.ledger.lease(now, m.holder, m.holderLife, r, true, FILL)
                : o.share.lease(now, m.holder, m.holderLife, r, FILL);
        o.unsynced += units;
        if (r.units() > 0) {
            post(new Mail(now, false, m.owner, o.life, m.holder, m.holderLife, null,
                    new QuotaMessage.LeaseGrant(m.request.serial(), units, 1, 0)));
        }
    }
}
