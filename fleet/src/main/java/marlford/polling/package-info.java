/** Whose turn it is to call for a list that all need. No I/O and no clock. */
package marlford.polling;
