/** Which hosts this member asks how they are, for all; and which of the others' findings it believes. No I/O and no clock. */
package marlford.health;
