/** The program of a member: settings, threads and command line. */
package marlford.fleet;
