/**
 * What customers used, by interval: counted where it is let in, in memory that outlives the process, and exported once. No
 * I/O and no clock; docs/design/usage-export.md derives why exported is admitted.
 */
package marlford.usage;
