/**
 * Quotas and ceilings of a tier of hundreds of gateways, where neither all can hear of all use nor each can be asked at an
 * even rate: one gateway keeps each customer's book, is asked once a try and answers at once. No I/O and no clock: every
 * call brings its time in milliseconds, messages come and go as bytes. Nothing here is thread-safe; all of it belongs to
 * one event loop.
 */
package marlford.gateway.quota;
