/**
 * Usage by customer and interval: counted on admission, in memory that survives the process, and exported exactly
 * once. No I/O and no clock; docs/design/usage-export.md shows why the exported sum equals the admitted one.
 */
package marlford.usage;
