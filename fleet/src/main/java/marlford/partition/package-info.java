/** Which of several pieces a name falls into, the same for all who ask. */
package marlford.partition;
