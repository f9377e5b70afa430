/** Shared health checks: which hosts this member probes, and which results of others it uses. No I/O and no clock. */
package marlford.health;
