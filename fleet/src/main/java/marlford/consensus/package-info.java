/**
 * The replicated log: MicroRaft with a segment store, a Netty transport and its own clock. See
 * docs/design/fleet-agreement.md.
 */
package marlford.consensus;
