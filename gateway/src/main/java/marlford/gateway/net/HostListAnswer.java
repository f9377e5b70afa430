package marlford.gateway.net;

import java.util.List;
import marlford.gateway.list.HostList;

/**
 * An answer of discovery: its whole list of hosts, or what changed.
 *
 * @param version {@link HostList#NONE} where it names none
 * @param full whether it is the whole list
 */
record HostListAnswer(long version, boolean full, List<Discovery.Entry> entries) { }
