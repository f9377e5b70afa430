/**
 * The register of requests with an idempotency key: who owns each, under which token, and its outcome. No I/O and no
 * clock; docs/design/work-in-hand.md. No gateway uses it yet.
 */
package marlford.register;
