/** Hash partitioning of names, the same for every process. */
package marlford.partition;
