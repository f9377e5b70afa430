package marlford.register;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import marlford.Interleavings;

/**
 * Two gateways, one key, two groups of hosts that drop repeats for a while, an agreed log and a client that asks twice, on a
 * clock of the test's own. Whoever drives it chooses what happens next: any message is lost, late or doubled, any gateway stops
 * or dies at any step.
 */
final class TierModel implements Interleavings.Model {
    /** What may be planted: each is a fault that the invariants have to find. */
    enum Fault {
        NONE,
        RESENT_AFTER_WINDOW,
        ANSWERED_BEFORE_AGREED,
        JOINED_WITHOUT_DIGEST,
        TAKEN_WITHOUT_SHARD,
        SENT_BEFORE_ENTERED,
        ENTERED_WHAT_WAS_TAKEN
    }

    static final int CHOICES = 20;
    private static final double STEP = 100;
    private static final double TTL = 300;
    private static final double WINDOW = 800;
    private static final double FLIGHT = 100; // the longest that an attempt is on its way to a host
    private static final int BAG_MAX = 5;
    private static final KeyedRequest ORDER = new KeyedRequest("c:k", "d1", "order", 1, "POST");
    private static final KeyedRequest OTHER = new KeyedRequest("c:k", "d2", "order", 1, "POST");

    /** A line on its way, or what was said of it; it belongs to the hand that asked, as a reply does to its call. */
    private record Mail(
            int gateway, long session, RequestLease of, RegisterCommand line, RegisterResult said, double sentAt) {}

    private record Attempt(int gateway, int life, RequestLease of, String group, double leftAt, boolean other) {}

    private final class Gateway {
        final int number;
        int life;
        boolean stopped;
        long session;
        double until = Double.NEGATIVE_INFINITY; // its session is good
        RequestLease hand; // of its client, or taken over
        boolean client;
        boolean other; // its client's order is another one under the same key
        StalenessBound ages = new StalenessBound();
        double firstAt = Double.NaN; // when its own first attempt left

        Gateway(int number) {
            this.number = number;
        }

        @Override
        public String toString() {
            return life + "," + stopped + "," + session + "," + (until - now) + "," + hand + "," + client + other + ","
                    + (now - firstAt) + "," + ages.most(registerIndex, now) + "," + ages.most(index + 1, now);
        }
    }

    private final Fault fault;
    private final RequestRegister register = new RequestRegister();
    private final List<Gateway> gateways = List.of(new Gateway(0), new Gateway(1));
    private final TreeMap<Long, Double> sessions = new TreeMap<>(); // when each was heard last
    private final List<Mail> bag = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final TreeMap<String, Double> ran = new TreeMap<>(); // by group and order, when it ran there first
    private final List<Outcome> told = new ArrayList<>();
    private final List<Boolean> toldOther = new ArrayList<>();
    private double now;
    private long index;
    private long minted;
    private long asked;
    private long registerIndex;
    private String broken;
    private int runs;
    private int takes;
    private int ends;

    TierModel(Fault fault) {
        this.fault = fault;
        for (Gateway g : gateways) {
            open(g);
        }
        asks(gateways.get(0), ORDER);
    }

    @Override
    public String broken() {
        return broken;
    }

    int runs() {
        return runs;
    }

    int takes() {
        return takes;
    }

    int ends() {
        return ends;
    }

    @Override
    public String state() {
        return gateways + "|" + sessions.keySet()
                + sessions.values().stream().map(at -> now - at).toList() + "|"
                + bag.stream()
                        .map(m -> m.gateway() + "," + m.session() + m.line() + m.said()
                                + (m.of() == gateways.get(m.gateway()).hand))
                        .toList()
                + "|"
                + attempts.stream()
                        .map(a -> a.gateway() + "," + a.life() + a.group() + (now - a.leftAt()) + a.other()
                                + (a.of() == gateways.get(a.gateway()).hand))
                        .toList()
                + "|" + ran.keySet()
                + ran.values().stream().map(at -> now - at).toList() + "|" + told + toldOther + asked + minted + index
                + register.snapshot().open() + register.snapshot().ended();
    }

    private void open(Gateway g) {
        g.session = ++minted;
        sessions.put(g.session, now);
        g.until = now + TTL;
        g.ages.saw(now, index);
    }

    private void asks(Gateway g, KeyedRequest order) {
        g.hand = new RequestLease(order, g.number == 0 ? "x" : "y", ++asked);
        g.client = true;
        g.other = order == OTHER;
    }

    @Override
    public void step(int choice) {
        Gateway g = gateways.get(choice % 2);
        switch (choice / 2) {
            case 0 -> time();
            case 1 -> proposes(g);
            case 2 -> arrives(choice % 2 == 0, true);
            case 3 -> arrives(choice % 2 == 0, false); // doubled: it is delivered and stays
            case 4 -> sends(g);
            case 5 -> runs(choice % 2 == 0);
            case 6 -> takes(g);
            case 7 -> {
                g.stopped = !g.stopped;
            }
            case 8 -> dies(g);
            default -> comesBack(g, choice % 2 == 1);
        }
        if (choice / 2 != 0) {
            answers();
        }
    }

    /** Time passes: silent sessions end, the living renew, attempts that are late are lost. */
    private void time() {
        now += STEP;
        for (Gateway g : gateways) {
            if (!g.stopped && g.session != 0 && sessions.containsKey(g.session)) {
                sessions.put(g.session, now);
                g.until = now + TTL;
                g.ages.saw(now, index);
            } else if (!g.stopped && g.session != 0) {
                if (g.hand != null) {
                    g.hand.sessionEnded();
                }
                g.session = 0;
            } else if (!g.stopped) {
                open(g);
            }
        }
        sessions.entrySet().removeIf(s -> {
            boolean silent = now - s.getValue() > TTL + STEP;
            if (silent) {
                index++;
                register.ended(s.getKey());
            }
            return silent;
        });
        attempts.removeIf(a -> now - a.leftAt() > FLIGHT);
    }

    private void proposes(Gateway g) {
        if (g.stopped || g.hand == null || g.session == 0) {
            return;
        }
        if (g.hand.due() != null && bag.size() < BAG_MAX) {
            bag.add(new Mail(g.number, g.session, g.hand, g.hand.due(), null, now));
        } else if (g.hand.state() == RequestLease.State.WAITING) {
            g.hand.looked(register.look(ORDER.key(), g.hand.order().digest()));
        }
    }

    /** The oldest or the youngest message arrives: a line at the log, or what was said of it at its gateway. */
    private void arrives(boolean oldest, boolean once) {
        if (bag.isEmpty()) {
            return;
        }
        Mail m = oldest ? bag.get(0) : bag.get(bag.size() - 1);
        if (once) {
            bag.remove(m);
        }
        if (m.said() == null) {
            RegisterResult s = applied(m);
            if (bag.size() < BAG_MAX) {
                bag.add(new Mail(m.gateway(), m.session(), m.of(), m.line(), s, m.sentAt()));
            }
            return;
        }
        Gateway g = gateways.get(m.gateway());
        if (g.stopped || g.session != m.session()) {
            return;
        }
        if (m.line() instanceof RegisterCommand.Take) {
            if (m.said().kind() == RegisterResult.Kind.OWNED && g.hand == null) {
                g.hand = new RequestLease(m.said().entry());
                judged(g, m.said().entry());
            }
        } else if (g.hand == m.of()) {
            g.hand.said(m.line(), m.said());
        }
    }

    private RegisterResult applied(Mail m) {
        index++;
        if (!sessions.containsKey(m.session())) {
            return RegisterResult.of(RegisterResult.Kind.NOT_YOURS);
        }
        RegisterCommand line = m.line();
        RegisterEntry e = register.entry(ORDER.key());
        if (fault == Fault.JOINED_WITHOUT_DIGEST && line instanceof RegisterCommand.Enter) {
            line = new RegisterCommand.Enter(ORDER, "x", e == null ? 0 : e.ask());
        }
        if (fault == Fault.ENTERED_WHAT_WAS_TAKEN
                && line instanceof RegisterCommand.Enter
                && e != null
                && e.owner() == m.session()) {
            return RegisterResult.owned(e);
        }
        boolean first = sessions.firstKey() == m.session(); // the one shard is the eldest's
        RegisterResult s = register.apply(
                index,
                m.session(),
                line,
                (session, shard, token) -> first || fault == Fault.TAKEN_WITHOUT_SHARD,
                () -> ++minted);
        registerIndex = register.entry(ORDER.key()) == null
                ? 0
                : register.entry(ORDER.key()).since();
        takes += line instanceof RegisterCommand.Take && s.kind() == RegisterResult.Kind.OWNED ? 1 : 0;
        ends += line instanceof RegisterCommand.End && s.kind() == RegisterResult.Kind.OVER ? 1 : 0;
        return s;
    }

    private void judged(Gateway g, RegisterEntry e) {
        ResendDecision j = ResendDecision.of(e, g.ages.most(e.since(), now), WINDOW, FLIGHT + STEP, 0);
        if (!j.again() && fault != Fault.RESENT_AFTER_WINDOW) {
            g.hand.ends(Outcome.unknown(j.why()));
        }
        g.firstAt = now;
    }

    private void sends(Gateway g) {
        boolean early =
                fault == Fault.SENT_BEFORE_ENTERED && g.hand != null && g.hand.state() == RequestLease.State.ENTERING;
        if (g.stopped || g.hand == null || attempts.size() >= BAG_MAX) {
            return;
        }
        // As the decision module does: no attempt where the window may end on the way, counted from its own first one.
        boolean open = Double.isNaN(g.firstAt) || now - g.firstAt + FLIGHT < WINDOW / 2;
        if (open && (g.hand.sends(now + FLIGHT <= g.until) || early)) {
            g.firstAt = Double.isNaN(g.firstAt) ? now : g.firstAt;
            attempts.add(new Attempt(
                    g.number,
                    g.life,
                    g.hand,
                    g.hand.group(),
                    now,
                    g.hand.order().digest().equals(OTHER.digest())));
        }
    }

    /** An attempt arrives: the host runs the order, or drops it as a repeat, and answers whoever is there. */
    private void runs(boolean oldest) {
        if (attempts.isEmpty()) {
            return;
        }
        Attempt a = oldest ? attempts.remove(0) : attempts.remove(attempts.size() - 1);
        String place = a.group() + (a.other() ? " other" : "");
        Double first = ran.get(place);
        if (first == null || now - first > WINDOW) {
            runs++;
            boolean elsewhere =
                    ran.keySet().stream().anyMatch(p -> !p.equals(place) && p.endsWith(" other") == a.other());
            if (first != null || elsewhere) {
                broken = "an order ran " + (first != null ? "after its group's window" : "at two groups");
            }
            ran.put(place, now);
        }
        Gateway g = gateways.get(a.gateway());
        if (g.life == a.life() && !g.stopped && g.hand == a.of()) {
            Outcome answer = new Outcome(200, a.other() ? "other" : "done " + a.group());
            if (fault == Fault.ANSWERED_BEFORE_AGREED) {
                tells(g, answer);
            }
            g.hand.ends(answer);
        }
    }

    private void takes(Gateway g) {
        RegisterEntry e = register.entry(ORDER.key());
        if (!g.stopped
                && g.session != 0
                && e != null
                && e.owner() != g.session
                && bag.size() < BAG_MAX
                && (e.owner() == 0 || fault == Fault.TAKEN_WITHOUT_SHARD)
                && (g.hand == null || !g.client)) {
            if (fault == Fault.TAKEN_WITHOUT_SHARD && e.owner() != 0) {
                register.ended(e.owner()); // taken from an owner that lives
            }
            bag.add(new Mail(
                    g.number,
                    g.session,
                    null,
                    new RegisterCommand.Take(ORDER.key(), RequestRegister.shard(ORDER.key()), 1),
                    null,
                    now));
        }
    }

    private void dies(Gateway g) {
        g.life++;
        g.session = 0;
        g.until = Double.NEGATIVE_INFINITY;
        g.hand = null;
        g.client = false;
        g.other = false;
        g.stopped = false;
        g.firstAt = Double.NaN;
        g.ages = new StalenessBound();
        bag.removeIf(m -> m.gateway() == g.number && m.said() != null);
    }

    /** The client asks again, at the other gateway, or another order comes under its key. */
    private void comesBack(Gateway g, boolean other) {
        if (g.stopped || g.hand != null || g.session == 0) {
            return;
        }
        asks(g, other ? OTHER : ORDER);
    }

    private void answers() {
        for (Gateway g : gateways) {
            if (!g.stopped && g.client && g.hand != null && g.hand.answer() != null) {
                tells(g, g.hand.answer());
                g.hand = null;
                g.client = false;
                g.other = false;
                g.firstAt = Double.NaN;
            } else if (g.hand != null
                    && (g.hand.answer() != null
                            || g.hand.state() == RequestLease.State.REFUSED
                            || g.hand.state() == RequestLease.State.DIFFERS)) {
                g.hand = null;
                g.client = false;
                g.other = false;
                g.firstAt = Double.NaN;
            }
        }
    }

    private void tells(Gateway g, Outcome o) {
        for (int i = 0; i < told.size(); i++) {
            if (toldOther.get(i) == g.other && !told.get(i).equals(o)) {
                broken = "two answers to one order: " + told.get(i) + " and " + o;
            }
        }
        if (o.isKnown() && g.other != o.said().equals("other")) {
            broken = "an order is answered with another's end";
        }
        if (fault != Fault.ANSWERED_BEFORE_AGREED && register.end(ORDER.key()) == null) {
            broken = "told before it was agreed";
        }
        told.add(o);
        toldOther.add(g.other);
    }
}
