package marlford.storm;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The proxies on all connections from a process to a voter and to the resource, where faults are injected. */
final class ProxyNetwork implements Closeable {
    private final Map<String, Map<String, LinkProxy>> toVoters = new HashMap<>(); // by process, by voter
    private final Map<String, LinkProxy> toResource = new HashMap<>();

    /** @param ports of the voters */
    ProxyNetwork(Collection<String> processes, Map<String, Integer> ports, InetSocketAddress resource)
            throws IOException {
        for (String process : processes) {
            toResource.put(process, new LinkProxy(resource));
            Map<String, LinkProxy> proxies = new HashMap<>();
            for (Map.Entry<String, Integer> voter : ports.entrySet()) {
                if (!voter.getKey().equals(process)) {
                    proxies.put(
                            voter.getKey(),
                            new LinkProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), voter.getValue())));
                }
            }
            toVoters.put(process, proxies);
        }
    }

    /** Where a process reaches another that is a voter. */
    LinkProxy toVoter(String process, String voter) {
        return toVoters.get(process).get(voter);
    }

    LinkProxy toResource(String process) {
        return toResource.get(process);
    }

    /**
     * Cuts a process off from all others.
     *
     * @param out whether what it sends is lost
     * @param in whether what it would receive is lost
     */
    void cut(String process, boolean out, boolean in) {
        toVoters.get(process).values().forEach(proxy -> proxy.cut(out, in));
        incoming(process).forEach(proxy -> proxy.cut(in, out));
    }

    void heal(String process) {
        around(process).forEach(proxy -> proxy.cut(false, false));
    }

    /** Resets all connections of a process with others. */
    void reset(String process) {
        around(process).forEach(LinkProxy::reset);
    }

    private List<LinkProxy> incoming(String process) {
        List<LinkProxy> proxies = new ArrayList<>();
        toVoters.values().forEach(to -> {
            if (to.containsKey(process)) {
                proxies.add(to.get(process));
            }
        });
        return proxies;
    }

    private List<LinkProxy> around(String process) {
        List<LinkProxy> proxies = new ArrayList<>(toVoters.get(process).values());
        proxies.addAll(incoming(process));
        return proxies;
    }

    @Override
    public void close() throws IOException {
        for (Map<String, LinkProxy> proxies : toVoters.values()) {
            for (LinkProxy proxy : proxies.values()) {
                proxy.close();
            }
        }
        for (LinkProxy proxy : toResource.values()) {
            proxy.close();
        }
    }
}
