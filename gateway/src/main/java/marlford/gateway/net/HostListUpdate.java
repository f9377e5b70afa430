package marlford.gateway.net;

import java.util.List;
import marlford.gateway.list.HostList;

/**
 * A response of a discovery agent: the whole list of hosts, or the changes since an earlier version.
 *
 * @param version of the list; {@link HostList#NO_VERSION} if the response has none
 * @param full whether it is the whole list
 * @param entries the hosts that it names, in their order
 */
record HostListUpdate(long version, boolean full, List<Discovery.Entry> entries) { }
