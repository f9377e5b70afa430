/**
 * Leases of a fleet: what the agreed log says of them, when a silent session may be ended, and for how long a holder
 * may act. No I/O and no clock; docs/design/fleet-leases.md derives why two holders never act at once.
 */
package marlford.lease;
