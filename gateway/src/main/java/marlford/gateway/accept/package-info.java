/** Listeners that go on accepting whatever one accept came to. */
package marlford.gateway.accept;
