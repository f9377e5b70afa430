/**
 * Sessions and leases of a fleet: the replicated state machine, the leader's failure detector and the holder's lease
 * validity. No I/O and no clock; docs/design/fleet-leases.md proves that two holders never act at once.
 */
package marlford.lease;
