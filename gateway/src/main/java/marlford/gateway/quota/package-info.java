/**
 * Quotas and ceilings in a tier of hundreds of gateways. Such a tier is too large for all gateways to learn of all usage,
 * and for each of them to be queried at an even rate. Therefore one gateway keeps the ledger of each customer, receives one
 * query per request and answers at once. This package does no I/O and reads no clock: every call brings its time in
 * milliseconds, and messages are passed as bytes. Nothing here is thread-safe; all of it belongs to one event loop.
 */
package marlford.gateway.quota;
