package marlford.gateway.guard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * one has ended, whatever the list still says, and counts as gone. Hosts that came with the same list, with the same start, share the
 * address: neither is known to have ended.
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
    private final Map<A, Listing<A>> firstAtAddress = new HashMap<>(); // the others follow it
    private final Map<A, List<AddressTenure>> endedTenures = new HashMap<>();
    private final Map<String, Listing<A>> superseded = new LinkedHashMap<>(); // listings that have lost their address to another host
    private int updates;

    /** A host on the list, in any state but gone. */
    private static final class Listing<A> {
        final A address; // null if it is not known
        Host host;
        private AddressTenure tenure; // null until it is asked for
        Listing<A> nextAtAddress;
        double supersededAtMs;
        final int addedInUpdate; // number of the update
        int lastUpdate; // that named the host
        boolean contested; // shares its address with another host

        Listing(Host host, A address, int update) {
            this.host = host;
            this.address = address;
            this.addedInUpdate = update;
            this.lastUpdate = update;
        }

        AddressTenure tenure() {
            tenure = tenure == null ? new AddressTenure(host) : tenure;
            return tenure;
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
        final Set<Listing<A>> unsettled = new LinkedHashSet<>(); // added hosts whose address is, or lately was, another host's
        final Set<Listing<A>> settled = new HashSet<>();

        Update(double now, double confirmedAtMs) {
            this.now = now;
            this.earliestMs = Math.min(now, confirmedAtMs) - HostIdentity.TOLD_WITHIN_MS;
        }
    }

    /**
     * Takes over a list of hosts, or changes to it.
     *
     * @param confirmedAtMs when discovery last confirmed the list that was held before
     * @param addresses of these hosts by id; a host without one keeps the address that it has
     * @return the hosts in the states that the gateway is to use, and those whose state is changed by another host's
     */
    public List<Host> update(double now, double confirmedAtMs, ListKind kind, List<Host> hosts, Map<String, A> addresses) {
        Update update = new Update(now, confirmedAtMs);
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
        update.unsettled.forEach(listing -> settle(update, listing));
        renewUnrivalled(update);
        forgetOldTenures(now);
        return result(update, hosts);
    }

    /** Whether a host that had lost its address has it again, so that an update is due although discovery has told of nothing. */
    public boolean isRenewalDue(double now) {
        return superseded.values().stream().anyMatch(listing -> isUnrivalled(now, listing));
    }

    /** Whether the host is listed, but another one has its address. */
    public boolean isSuperseded(String id) {
        return superseded.containsKey(id);
    }

    /** Returns the address of a host; null if it is not known, or the host is not listed. */
    public A address(String id) {
        Listing<A> listing = listings.get(id);
        return listing == null ? null : listing.address;
    }

    /** Returns the tenure of a host at its present address; null if it has none. */
    public AddressTenure tenure(String id) {
        Listing<A> listing = listings.get(id);
        return listing == null || listing.address == null || isSuperseded(id) ? null : listing.tenure();
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
            added.nextAtAddress = firstAtAddress.put(address, added);
            if (added.nextAtAddress != null || endedTenures.containsKey(address)) {
                update.unsettled.add(added);
            }
        }
    }

    /** Returns the hosts that are listed at an address, those that were added last first. */
    private List<Listing<A>> listingsAt(A address) {
        List<Listing<A>> all = new ArrayList<>();
        for (Listing<A> each = firstAtAddress.get(address); each != null; each = each.nextAtAddress) {
            all.add(each);
        }
        return all;
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
        List<Listing<A>> others = listingsAt(listing.address);
        others.remove(listing);
        firstAtAddress.remove(listing.address);
        for (int i = others.size() - 1; i >= 0; i--) {
            others.get(i).nextAtAddress = firstAtAddress.put(listing.address, others.get(i));
        }
        if (listing.contested && others.size() == 1) {
            end(update, others.get(0));
            renew(update, others.get(0));
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

    /** Decides who has the address of a host that was added, and tells its earlier tenures of that host. */
    private void settle(Update update, Listing<A> added) {
        for (Listing<A> rival : listingsAt(added.address)) {
            boolean decided = rival == added || update.settled.contains(rival) || superseded.containsKey(rival.host.id())
                    || superseded.containsKey(added.host.id());
            if (!decided) {
                settle(update, added, rival);
            }
        }
        update.settled.add(added);
        if (!superseded.containsKey(added.host.id())) {
            endedTenures.getOrDefault(added.address, List.of())
                    .forEach(tenure -> tenure.recordSuccessor(added.host, update.earliestMs));
        }
    }

    private void settle(Update update, Listing<A> added, Listing<A> rival) {
        boolean toldTogether = rival.addedInUpdate == added.addedInUpdate;
        double addedStartMs = added.host.startedMs();
        double rivalStartMs = rival.host.startedMs();
        boolean startsDecide = addedStartMs != rivalStartMs && (toldTogether || addedStartMs > 0);
        if (startsDecide && addedStartMs < rivalStartMs) {
            supersede(update, added);
        } else if (startsDecide || !toldTogether) {
            supersede(update, rival);
        } else {
            share(added, rival);
        }
    }

    private void supersede(Update update, Listing<A> ended) {
        superseded.put(ended.host.id(), ended);
        ended.supersededAtMs = update.now;
        update.changedIds.add(ended.host.id());
        end(update, ended);
    }

    /** Neither of two hosts at one address is known to have ended. */
    private static <A> void share(Listing<A> one, Listing<A> other) {
        one.contested = true;
        other.contested = true;
        one.tenure().recordSuccessor(other.host, Double.NEGATIVE_INFINITY);
        other.tenure().recordSuccessor(one.host, Double.NEGATIVE_INFINITY);
    }

    /** Gives a host its address anew. */
    private void renew(Update update, Listing<A> listing) {
        listing.tenure = null;
        listing.contested = false;
        update.changedIds.add(listing.host.id());
    }

    /** Whether a host has lost its address to one that is no longer listed, for longer than its own end would take to be told. */
    private boolean isUnrivalled(double now, Listing<A> listing) {
        return now - listing.supersededAtMs > HostIdentity.TOLD_WITHIN_MS && listingsAt(listing.address).stream()
                .allMatch(other -> superseded.containsKey(other.host.id()));
    }

    private void renewUnrivalled(Update update) {
        for (Listing<A> listing : List.copyOf(superseded.values())) {
            if (isUnrivalled(update.now, listing)) {
                superseded.remove(listing.host.id());
                renew(update, listing);
            }
        }
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
        return superseded.containsKey(host.id())
                ? new Host(host.id(), host.zone(), host.kind(), host.cell(), HostState.GONE, host.rating(), host.startedMs())
                : host;
    }
}
