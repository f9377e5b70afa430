/** A soak: real processes under random, overlapping faults, judged by what clients and hosts saw. */
package marlford.storm.soak;
