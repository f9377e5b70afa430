package deckfall.net;

import deckfall.list.HostList;
import java.util.List;

/**
 * An answer of discovery: its whole list of hosts, or what changed.
 *
 * @param version {@link HostList#NONE} where it names none
 * @param full whether it is the whole list
 */
record HostListAnswer(long version, boolean full, List<Discovery.Entry> entries) { }
