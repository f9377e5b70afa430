/** The program of a fleet's member: its settings, its threads, its command line. */
package marlford.fleet;
