/** Single-flight polling of a list that all members need. No I/O and no clock. */
package marlford.polling;
