/**
 * Scale runs: many hollow gateways in one process, driven in virtual time or over loopback datagrams, and the slopes of
 * what they cost. The gateways' decisions are the program's own code; clients' sockets and hosts are left out.
 */
package marlford.storm.scale;
