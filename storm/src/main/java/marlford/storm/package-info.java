/**
 * The rig: starts several processes of the program on loopback, breaks what is between them by a schedule, and judges what
 * they did by the notes of a stand-in resource. docs/operators/storm.md.
 */
package marlford.storm;
