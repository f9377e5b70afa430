/** Listeners that continue to accept connections after a failed accept. */
package marlford.gateway.accept;
