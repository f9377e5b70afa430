/** What a holder does and when, by its leases. No I/O and no clock. */
package marlford.task;
