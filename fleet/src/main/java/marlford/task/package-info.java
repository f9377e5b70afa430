/** Which runs of fleet-wide tasks may begin, by the leases of the member. No I/O and no clock. */
package marlford.task;
