package marlford.gateway.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One random course of two owners and two holders of leases, over a link that loses, duplicates, delays and reorders
 * messages, while owners and holders are killed and return as new incarnations. The true bucket is kept alongside and is
 * charged when a unit is sent on. Each owner has half of the bucket; for a quota there is one owner, and a standby replica
 * keeps its ledger for the return.
 */
final class LeaseSimulation {
    private static final QuotaMessage.CustomerKey KEY = new QuotaMessage.CustomerKey(7, 0, 0, 4);
    private static final CeilingShare.FillMode FILLING = new CeilingShare.FillMode(true, 1);
    private static final int STEPS_PER_COURSE = 20;
    private static final int HOLDER_COUNT = 2;
    private static final int OWNER_GRANTS_PER_SPREE = 12;
    private static final int MAX_DELAY_MS = 2500; // maximum delay of a message
    private static final double SYNC_INTERVAL_MS = 500; // gap between messages to the standby replica
    private static final double EPSILON = 1e-6;

    /** Faults injected on purpose, to check that a course detects them. */
    enum Fault {
        NONE,
        /**
         * The holder spends for longer after its request than the owner counts, as it would if it counted from the arrival
         * of the grant.
         */
        TERM_TOO_LONG,
        /** The next incarnation of an owner assumes that the former one had leased nothing. */
        FORMER_INCARNATION_FORGOTTEN
    }

    private static final class Owner {
        int incarnation = 1;
        double since;
        double restartedAt = Double.NEGATIVE_INFINITY;
        CeilingShare share; // for a ceiling
        QuotaLedger ledger; // for a quota
        double syncedAt = Double.NEGATIVE_INFINITY;
        QuotaMessage.LedgerSync lastSync;
        double unsyncedUnits; // units granted since the standby replica was last sent the ledger
    }

    private static final class Holder {
        int incarnation = 1;
        int serial;
        LeaseHolder lease;
        final int[] ownerIncarnations = {0, 0};
    }

    private record Datagram(double at, boolean toOwner, int owner, int ownerIncarnation, int holder, int holderIncarnation,
            QuotaMessage.LeaseRequest request, QuotaMessage.LeaseGrant grant) { }

    private record SentRequest(double at, double units) { }

    private final SplittableRandom random;
    private final QuotaTerms terms;
    private final boolean isQuota;
    private final Fault fault;
    private final Owner[] owners;
    private final Holder[] holders = new Holder[HOLDER_COUNT];
    private final List<Datagram> datagrams = new ArrayList<>();
    private final List<SentRequest> sentRequests = new ArrayList<>();
    private double now = 100_000;
    private double trueLevel;
    private double trueLevelAt;
    private final boolean killsAllowed; // whether owners and holders get killed
    /** The lowest level of the true bucket in units. */
    double lowestLevel = Double.POSITIVE_INFINITY;
    /** Units by which the documented formula lets the true bucket fall below zero. */
    double allowedOverrun;
    double leasedUnitsSpent;

    LeaseSimulation(long seed, QuotaTerms terms, boolean isQuota, Fault fault) {
        random = new SplittableRandom(seed);
        this.terms = terms;
        this.isQuota = isQuota;
        this.fault = fault;
        owners = new Owner[isQuota ? 1 : 2];
        trueLevel = isQuota ? terms.burst() : 0; // what the former incarnations granted has just been spent
        trueLevelAt = isQuota ? now : now + CeilingShare.OUTSTANDING_MS;
        killsAllowed = random.nextInt(3) == 0;
        allowedOverrun = isQuota ? QuotaLedger.OVERCOMMIT_SHARE * terms.burst() : 0;
        for (int i = 0; i < owners.length; i++) {
            owners[i] = new Owner();
            owners[i].since = now;
            begin(owners[i]);
        }
        for (int i = 0; i < HOLDER_COUNT; i++) {
            holders[i] = new Holder();
            holders[i].lease = newLease();
        }
    }

    private LeaseHolder newLease() {
        double termMs = LeaseLedger.HOLDER_TERM_MS + (fault == Fault.TERM_TOO_LONG ? MAX_DELAY_MS : 0);
        return new LeaseHolder(isQuota ? QuotaMessage.UnitScope.QUOTA : QuotaMessage.UnitScope.CEILING, termMs);
    }

    private void begin(Owner o) {
        if (isQuota) {
            o.ledger = new QuotaLedger(KEY, new LedgerPlacement(new int[] {0}, new int[0]), terms, null, now);
            if (o.lastSync != null) {
                double filled = o.lastSync.fullness() + (now - o.syncedAt) / 1000 * terms.rate() / terms.burst();
                o.ledger.applySync(now, new QuotaMessage.LedgerSync(KEY, Math.min(1, filled), 0), true, FILLING);
            }
        } else {
            double since = o.since - (fault == Fault.FORMER_INCARNATION_FORGOTTEN ? LeaseLedger.OWNER_TERM_MS : 0);
            o.share = new CeilingShare(terms, 1.0 / owners.length, since);
        }
    }

    void run() {
        advance(random.nextInt(2) * random.nextInt(10_000));
        for (int i = 0; i < STEPS_PER_COURSE; i++) {
            advance(random.nextInt(6) == 0 ? random.nextInt(2500) : random.nextInt(60));
            step();
        }
        advance(3000);
    }

    private void step() {
        int o = random.nextInt(owners.length);
        int h = random.nextInt(HOLDER_COUNT);
        switch (random.nextInt(14)) {
            case 0, 1, 2, 3 -> spend(holders[h], 1 + random.nextInt(4));
            case 4, 5, 6, 7 -> request(o, h);
            case 8, 9 -> ownerSpends(owners[o], 1 + random.nextInt(4));
            case 10 -> end(h);
            case 11, 12 -> {
                // everything that is not leased fills, and then everything is spent
                advance(random.nextInt((int) LeaseLedger.HOLDER_TERM_MS));
                spendEverything();
            }
            default -> maybeKill(owners[o], holders[h]);
        }
    }

    private void spendEverything() {
        for (Holder h : holders) {
            while (h.lease.spend(now, 1)) {
                recordSent(h, 1);
            }
        }
        for (Owner o : owners) {
            for (int i = 0; i < OWNER_GRANTS_PER_SPREE; i++) {
                ownerSpends(o, 1);
            }
        }
    }

    private void maybeKill(Owner o, Holder h) {
        if (killsAllowed && random.nextBoolean()) {
            killOwner(o);
        } else if (killsAllowed) {
            killHolder(h);
        }
    }

    private boolean isUp(Owner o) {
        return now >= o.restartedAt;
    }

    private void spend(Holder h, double units) {
        h.lease.recordAttempt(now, 3 * units);
        for (int times = random.nextInt(12); times >= 0 && h.lease.spend(now, units); times--) {
            recordSent(h, units);
        }
    }

    /** Records units that a holder spent from its lease; they reach their host after a random delay. */
    private void recordSent(Holder h, double units) {
        leasedUnitsSpent += units;
        double leaveBy = isQuota ? now : Math.min(now + CeilingShare.SEND_WITHIN_MS, h.lease.sendBy());
        double connectTimeMs = isQuota ? 0 : CeilingShare.OUTSTANDING_MS - CeilingShare.SEND_WITHIN_MS;
        sentRequests.add(new SentRequest(randomTimeBetween(now, leaveBy + connectTimeMs), units));
    }

    private double randomTimeBetween(double from, double to) {
        return random.nextInt(3) == 0 ? to - EPSILON : from + random.nextDouble() * (to - from);
    }

    /** Spends as the owner itself does, or grants units for one query. */
    private void ownerSpends(Owner o, double units) {
        if (!isUp(o)) {
            return;
        }
        if (isQuota) {
            if (o.ledger.decide(now, units, 0, QuotaMessage.UnitScope.QUOTA, 0, FILLING) == QuotaMessage.Verdict.GRANTED) {
                o.unsyncedUnits += units;
                sentRequests.add(new SentRequest(now, units));
            }
            return;
        }
        for (int times = random.nextInt(12); times >= 0 && o.share.available(now, FILLING) >= units; times--) {
            o.share.grant(now, units);
            sentRequests.add(new SentRequest(randomTimeBetween(now, now + CeilingShare.OUTSTANDING_MS), units));
        }
    }

    private void request(int owner, int holder) {
        Holder h = holders[holder];
        h.lease.recordAttempt(now, 1 + random.nextInt(6));
        QuotaMessage.LeaseRequest r = h.lease.nextRequest(now, ++h.serial, owner, KEY);
        if (r != null) {
            post(new Datagram(now, true, owner, 0, holder, h.incarnation, roundedAsEncoded(r), null));
        }
    }

    private void end(int holder) {
        Holder h = holders[holder];
        int owner = h.lease.owner();
        QuotaMessage.LeaseRequest r = h.lease.end(now, ++h.serial, KEY);
        if (r != null) {
            post(new Datagram(now, true, owner, 0, holder, h.incarnation, roundedAsEncoded(r), null));
        }
    }

    /** Returns the request with its amounts rounded as a message carries them. */
    private static QuotaMessage.LeaseRequest roundedAsEncoded(QuotaMessage.LeaseRequest r) {
        return new QuotaMessage.LeaseRequest(r.serial(), r.key(), r.scope(), Math.round(4 * r.units()) / 4.0,
                Math.ceil(4 * r.held()) / 4, Math.floor(4 * r.returned()) / 4);
    }

    private void post(Datagram m) {
        for (int copies = random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
            if (random.nextInt(6) > 0) {
                double delayMs = random.nextInt(4) == 0 ? random.nextInt(MAX_DELAY_MS) : 1 + random.nextInt(9);
                datagrams.add(new Datagram(now + delayMs, m.toOwner, m.owner, m.ownerIncarnation, m.holder, m.holderIncarnation,
                        m.request, m.grant));
            }
        }
    }

    private void killOwner(Owner o) {
        if (!isUp(o)) {
            return;
        }
        allowedOverrun += QuotaLedger.MAX_LEASED_SHARE * terms.burst() + o.unsyncedUnits;
        o.unsyncedUnits = 0;
        o.incarnation++;
        o.since = now;
        o.restartedAt = now + random.nextInt(3) * random.nextInt(1500);
        begin(o);
    }

    private void killHolder(Holder h) {
        h.incarnation++;
        h.serial = 0;
        h.lease = newLease();
    }

    /** Advances the time; messages and sent requests that are due meanwhile are handled in their order. */
    private void advance(double ms) {
        double end = now + ms;
        while (true) {
            Datagram nextDatagram = null;
            for (Datagram m : datagrams) {
                nextDatagram = nextDatagram == null || m.at < nextDatagram.at ? m : nextDatagram;
            }
            SentRequest nextRequest = null;
            for (SentRequest s : sentRequests) {
                nextRequest = nextRequest == null || s.at < nextRequest.at ? s : nextRequest;
            }
            double datagramAt = nextDatagram == null ? Double.POSITIVE_INFINITY : nextDatagram.at;
            double requestAt = nextRequest == null ? Double.POSITIVE_INFINITY : nextRequest.at;
            if (Math.min(datagramAt, requestAt) > end) {
                break;
            }
            now = Math.max(now, Math.min(datagramAt, requestAt));
            if (requestAt <= datagramAt) {
                sentRequests.remove(nextRequest);
                charge(nextRequest.units);
            } else {
                datagrams.remove(nextDatagram);
                deliver(nextDatagram);
            }
        }
        now = end;
        sync();
    }

    private void sync() {
        if (isQuota && isUp(owners[0]) && now - owners[0].syncedAt >= SYNC_INTERVAL_MS) {
            Owner o = owners[0];
            o.ledger.advanceTo(now, FILLING);
            o.lastSync = new QuotaMessage.LedgerSync(KEY, o.ledger.fullness(), 0);
            o.syncedAt = now;
            o.unsyncedUnits = 0;
        }
    }

    private void charge(double units) {
        double rate = isQuota ? terms.rate() : terms.ceilingRate();
        double burst = isQuota ? terms.burst() : terms.ceilingBurst();
        trueLevel = Math.min(burst, trueLevel + Math.max(0, now - trueLevelAt) / 1000 * rate) - units;
        trueLevelAt = Math.max(trueLevelAt, now);
        lowestLevel = Math.min(lowestLevel, trueLevel);
    }

    private void deliver(Datagram m) {
        Holder h = holders[m.holder];
        Owner o = owners[m.owner];
        if (!m.toOwner) {
            boolean isStale = m.ownerIncarnation < h.ownerIncarnations[m.owner] || m.holderIncarnation != h.incarnation;
            if (!isStale) {
                h.ownerIncarnations[m.owner] = m.ownerIncarnation;
                h.lease.onGrant(now, m.owner, m.ownerIncarnation, m.grant.serial(), m.grant.units());
            }
            return;
        }
        // the later incarnation may have been received already
        if (!isUp(o) || m.holderIncarnation < h.incarnation && random.nextBoolean()) {
            return;
        }
        QuotaMessage.LeaseRequest r = m.request;
        double units = isQuota ? o.ledger.lease(now, m.holder, m.holderIncarnation, r, true, FILLING)
                : o.share.lease(now, m.holder, m.holderIncarnation, r, FILLING);
        o.unsyncedUnits += units;
        if (r.units() > 0) {
            post(new Datagram(now, false, m.owner, o.incarnation, m.holder, m.holderIncarnation, null,
                    new QuotaMessage.LeaseGrant(m.request.serial(), units, 1, 0)));
        }
    }
}
