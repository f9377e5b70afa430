/** What no part of the gateway may do, checked in one place and counted while it runs. Pure: no clock, no I/O. */
package marlford.gateway.guard;
