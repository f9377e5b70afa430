/** The agreed log: MicroRaft on a store of segments, netty and a clock of its own. docs/design/fleet-agreement.md. */
package marlford.consensus;
