package marlford.gateway.guard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;

/**
 * Which listed host has which address, and since when. Discovery tells of changes late and in any order, so two hosts may be listed at one
 * address. Only one process listens there: the host that started last, or that was told of last where the starts don't say. The other
 * one has ended, whatever the list still says, and counts as gone. Where only the starts say so, by clocks that may be wrong, it stays in
 * doubt which of the two is there. Hosts that came with the same list, with the same start, share the address: neither is known to have ended.
 *
 * <p>Pure: the caller passes the time, in milliseconds. Used on one event loop only.
 *
 * <p>Memory: one small object for each host, as lists may have tens of thousands; its tenure is made when it is first asked for.
 *
 * @param <A> type of an address
 */
public final class HostAddresses<A> {
    /** How long an ended tenure still learns of successors; no request is open for longer. */
    private static final double RETENTION_MS = 600_000;

    private final Map<String, Listing<A>> listings = new HashMap<>();
    private final Map<A, Listing<A>> holders = new HashMap<>(); // of each address: the host that has it, or one of those
    private final Map<A, Set<Listing<A>>> crowds = new HashMap<>(); // all hosts that are listed at an address, where there are several
    private final Map<A, HostIdentity> losses = new HashMap<>(); // at each address, since its present hosts have it
    private final Map<A, List<AddressTenure>> endedTenures = new HashMap<>();
    private final Map<String, Listing<A>> superseded = new LinkedHashMap<>(); // listings that have lost their address to another host
    private final ListConfirmation confirmation = new ListConfirmation();
    private int updates;

    /** A host on the list, in any state but gone. */
    private static final class Listing<A> {
        final A address; // null if it is not known
        Host host;
        AddressTenure tenure; // null until it is asked for
        double supersededAtMs;
        final int addedInUpdate; // number of the update
        int lastUpdate; // that named the host
        boolean shares; // its address with other hosts, or may not be the one that is there

        Listing(Host host, A address, int update) {
            this.host = host;
            this.address = address;
            this.addedInUpdate = update;
            this.lastUpdate = update;
        }

        /** Whether an entry of a list stands for the same process. */
        boolean isSame(Host other, A otherAddress) {
            return host.startedMs() == other.startedMs() && host.zone().equals(other.zone()) && host.cell() == other.cell()
                    && (otherAddress == null || otherAddress.equals(address));
        }
    }

    /** One update of the list. */
    private final class Update {
        final double now;
        final double earliestMs; // a change that it tells of happened later
        final Set<String> changedIds = new LinkedHashSet<>(); // of hosts that another host's change has affected
        final Map<A, List<Listing<A>>> added = new LinkedHashMap<>(); // where the address is, or lately was, another host's

        Update(double now) {
            this.now = now;
            this.earliestMs = confirmation.coversUntilMs();
        }
    }

    /**
     * Records that discovery has confirmed the list that is held now. To be called after the update that it told of, which may have
     * happened at any time since the confirmation before.
     *
     * @param atMs when the word left discovery at the earliest
     */
    public void recordConfirmation(double atMs) {
        confirmation.record(atMs);
    }

    /** Records that another agent of discovery is called from now on. */
    public void recordAgentChange(double now) {
        confirmation.recordAgentChange(now);
    }

    /**
     * Takes over a list of hosts, or changes to it.
     *
     * @param addresses of these hosts by id; a host without one keeps the address that it has
     * @return the hosts in the states that the gateway is to use, and those whose state is changed by another host's
     */
    public List<Host> update(double now, ListKind kind, List<Host> hosts, Map<String, A> addresses) {
        Update update = new Update(now);
        updates++;
        for (Host host : hosts) {
            Listing<A> listing = listings.get(host.id());
            if (listing != null && (host.state() == HostState.GONE || !listing.isSame(host, addresses.get(host.id())))) {
                remove(update, listing);
            } else if (listing != null) {
                listing.lastUpdate = updates;
            }
        }
        if (kind != ListKind.CHANGES) {
            List<Listing<A>> unlisted = listings.values().stream().filter(listing -> listing.lastUpdate != updates).toList();
            unlisted.forEach(listing -> remove(update, listing));
        }
        for (Host host : hosts) {
            if (host.state() != HostState.GONE) {
                list(update, host, addresses.get(host.id()));
            }
        }
        update.added.forEach((address, added) -> settle(update, address, added));
        renewUnrivalled(update);
        forgetOldTenures(now);
        return result(update, hosts);
    }

    /** Whether a host that had lost its address has it again, so that an update is due although discovery has told of nothing. */
    public boolean isRenewalDue() {
        return superseded.values().stream().anyMatch(this::isUnrivalled);
    }

    /** Whether the host is listed, but another one has its address. */
    public boolean isSuperseded(String id) {
        return superseded.containsKey(id);
    }

    /**
     * Records that a connection to an address was reset, ended or refused. The process there may have ended, whichever host's name the connection
     * was opened under, so this concerns all hosts that have the address now.
     */
    public void recordLoss(A address, double now) {
        HostIdentity identity = losses.get(address);
        if (identity == null && holders.containsKey(address)) {
            identity = new HostIdentity(confirmation);
            losses.put(address, identity);
            for (Listing<A> listing : hostsAt(address)) {
                if (listing.tenure != null) {
                    listing.tenure.setLosses(identity);
                }
            }
        }
        if (identity != null) {
            identity.recordLoss(now);
        }
    }

    /** Returns the hosts that are listed at an address, also those that have lost it. */
    private Set<Listing<A>> hostsAt(A address) {
        return crowds.getOrDefault(address, Set.of(holders.get(address)));
    }

    /** Returns the address of a host; null if it is not known, or the host is not listed. */
    public A address(String id) {
        Listing<A> listing = listings.get(id);
        return listing == null ? null : listing.address;
    }

    /** Returns the tenure of a host at its present address; null if it has none. */
    public AddressTenure tenure(String id) {
        Listing<A> listing = listings.get(id);
        return listing == null || listing.address == null || isSuperseded(id) ? null : tenureOf(listing);
    }

    private AddressTenure tenureOf(Listing<A> listing) {
        if (listing.tenure == null) {
            listing.tenure = new AddressTenure(listing.host, confirmation, losses.get(listing.address));
        }
        return listing.tenure;
    }

    /** Adds a host to the list, or takes over its state. */
    private void list(Update update, Host host, A address) {
        Listing<A> listing = listings.get(host.id());
        if (listing != null) {
            listing.host = host;
            return;
        }
        Listing<A> added = new Listing<>(host, address, updates);
        listings.put(host.id(), added);
        if (address != null) {
            addAt(update, added);
        }
    }

    private void addAt(Update update, Listing<A> added) {
        A address = added.address;
        Listing<A> other = holders.putIfAbsent(address, added);
        if (other != null) {
            crowds.computeIfAbsent(address, key -> new LinkedHashSet<>(List.of(other))).add(added);
        }
        if (other != null && other.addedInUpdate == updates) {
            update.added.computeIfAbsent(address, key -> new ArrayList<>(List.of(other))).add(added);
        } else if (other != null || endedTenures.containsKey(address)) {
            update.added.computeIfAbsent(address, key -> new ArrayList<>()).add(added);
        }
    }

    /** Removes a host that has ended or moved. */
    private void remove(Update update, Listing<A> listing) {
        listings.remove(listing.host.id());
        if (listing.address == null) {
            return;
        }
        if (superseded.remove(listing.host.id()) == null) {
            end(update, listing);
        }
        Set<Listing<A>> crowd = crowds.get(listing.address);
        if (crowd == null) {
            holders.remove(listing.address);
            losses.remove(listing.address);
            return;
        }
        crowd.remove(listing);
        if (holders.get(listing.address) == listing) {
            holders.put(listing.address, nextHolder(crowd));
        }
        if (crowd.size() == 1) {
            crowds.remove(listing.address);
            endSharing(update, holders.get(listing.address));
        }
    }

    private Listing<A> nextHolder(Set<Listing<A>> crowd) {
        return crowd.stream().filter(listing -> !isSuperseded(listing.host.id())).findFirst().orElse(crowd.iterator().next());
    }

    /** From now on the last one of several hosts has the address alone. */
    private void endSharing(Update update, Listing<A> last) {
        if (last.shares && !isSuperseded(last.host.id())) {
            end(update, last);
            renew(update, last);
            tellSuccessors(update, last.address, List.of(last));
        }
    }

    /** Ends the tenure of a host; one that nobody has asked for was of no connection. */
    private void end(Update update, Listing<A> listing) {
        if (listing.tenure == null) {
            return;
        }
        listing.tenure.recordEnd(update.now, update.earliestMs);
        endedTenures.computeIfAbsent(listing.address, key -> new ArrayList<>()).add(listing.tenure);
    }

    /** Decides who has the address of hosts that were added, and tells the earlier tenures of the address of them. */
    private void settle(Update update, A address, List<Listing<A>> added) {
        double lastStartMs = added.stream().mapToDouble(listing -> listing.host.startedMs()).max().orElse(0);
        List<Listing<A>> started = added.stream().filter(listing -> listing.host.startedMs() == lastStartMs).toList();
        List<Listing<A>> possible = new ArrayList<>(added);
        possible.removeIf(listing -> isCertainlyEarlier(listing, lastStartMs));
        added.stream().filter(listing -> listing.host.startedMs() < lastStartMs).forEach(listing -> supersede(update, listing));
        List<Listing<A>> earlier = crowds.getOrDefault(address, Set.of()).stream()
                .filter(listing -> listing.addedInUpdate != updates && !isSuperseded(listing.host.id())).toList();
        boolean startedEarlier = earlier.stream().anyMatch(listing -> listing.host.startedMs() > lastStartMs);
        if (startedEarlier) { // though it is told of later
            possible.addAll(earlier);
        }
        if (startedEarlier && lastStartMs > 0) {
            started.forEach(listing -> supersede(update, listing));
            doubt(update, address, earlier, possible);
            return;
        }
        earlier.forEach(listing -> supersede(update, listing));
        losses.remove(address); // the change explains them
        holders.put(address, started.get(0));
        share(started, possible);
        tellSuccessors(update, address, possible);
    }

    /** Whether a host certainly started before another one, by their clocks, which may be wrong: only a start of long ago is. */
    private static <A> boolean isCertainlyEarlier(Listing<A> listing, double otherStartMs) {
        return listing.host.startedMs() == 0 && otherStartMs > 0;
    }

    /** The hosts that have an address keep it, but by what is told now it may be another one's. */
    private void doubt(Update update, A address, List<Listing<A>> present, List<Listing<A>> possible) {
        for (Listing<A> listing : present) {
            end(update, listing);
            beginTenure(listing);
        }
        share(present, possible);
        tellSuccessors(update, address, possible);
    }

    /** Tells the earlier tenures of an address of the hosts that have it now. */
    private void tellSuccessors(Update update, A address, List<Listing<A>> successors) {
        KeyGroups groups = new KeyGroups();
        successors.forEach(listing -> groups.add(listing.host));
        for (AddressTenure ended : endedTenures.getOrDefault(address, List.of())) {
            groups.forEach(host -> ended.recordSuccessor(host, update.earliestMs));
        }
    }

    private void supersede(Update update, Listing<A> ended) {
        superseded.put(ended.host.id(), ended);
        ended.supersededAtMs = update.now;
        update.changedIds.add(ended.host.id());
        end(update, ended);
    }

    /** Any of several hosts may be the one at the address of those that have it. */
    private void share(List<Listing<A>> present, List<Listing<A>> possible) {
        if (possible.size() > 1) {
            KeyGroups groups = new KeyGroups();
            possible.forEach(listing -> groups.add(listing.host));
            for (Listing<A> listing : present) {
                listing.shares = true;
                tenureOf(listing).shareWith(groups);
            }
        }
    }

    /** Gives a host its address anew. */
    private void renew(Update update, Listing<A> listing) {
        beginTenure(listing);
        update.changedIds.add(listing.host.id());
    }

    private void beginTenure(Listing<A> listing) {
        listing.tenure = null;
        listing.shares = false;
    }

    /** Whether a host has lost its address to one that is no longer listed, and discovery would have told of its own end by now. */
    private boolean isUnrivalled(Listing<A> listing) {
        return confirmation.covers(listing.supersededAtMs) && isSuperseded(holders.get(listing.address).host.id());
    }

    private void renewUnrivalled(Update update) {
        for (Listing<A> listing : List.copyOf(superseded.values())) {
            if (isUnrivalled(listing)) {
                renewAll(update, listing.address);
            }
        }
    }

    /** Gives an address back to the hosts that have lost it last. */
    private void renewAll(Update update, A address) {
        Set<Listing<A>> crowd = hostsAt(address);
        double lastMs = crowd.stream().mapToDouble(listing -> listing.supersededAtMs).max().orElse(0);
        List<Listing<A>> last = crowd.stream().filter(listing -> listing.supersededAtMs == lastMs).toList();
        holders.put(address, last.get(0));
        for (Listing<A> listing : last) {
            superseded.remove(listing.host.id());
            renew(update, listing);
        }
        share(last, last);
        tellSuccessors(update, address, last);
    }

    private void forgetOldTenures(double now) {
        endedTenures.values().forEach(ended -> ended.removeIf(tenure -> now - tenure.endToldAtMs() > RETENTION_MS));
        endedTenures.values().removeIf(List::isEmpty);
    }

    private List<Host> result(Update update, List<Host> hosts) {
        if (superseded.isEmpty() && update.changedIds.isEmpty()) {
            return hosts;
        }
        Map<String, Host> result = new LinkedHashMap<>();
        hosts.forEach(host -> result.put(host.id(), effective(host)));
        for (String id : update.changedIds) {
            Listing<A> listing = listings.get(id);
            if (listing != null) {
                result.put(id, effective(listing.host));
            }
        }
        return List.copyOf(result.values());
    }

    private Host effective(Host host) {
        return isSuperseded(host.id()) ? host.withState(HostState.GONE) : host;
    }
}
