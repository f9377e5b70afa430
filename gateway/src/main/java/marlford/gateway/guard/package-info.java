/** Invariants of the gateway, checked in one place and counted while it runs. Pure: no clock, no I/O. */
package marlford.gateway.guard;
