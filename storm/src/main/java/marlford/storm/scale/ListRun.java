package marlford.storm.scale;

/**
 * One gateway's decision module and list of hosts, timed by the machine's clock while virtual time passes.
 *
 * @param gateways that the settings name
 * @param hosts on the list
 * @param triesPerSecond requests a second
 * @param changesPerSecond hosts a second that drain, end and come back; two words each
 * @param seconds of virtual time that are timed
 * @param seed all chance is drawn from it
 */
record ListRun(int gateways, int hosts, double triesPerSecond, double changesPerSecond, double seconds, long seed) {}
