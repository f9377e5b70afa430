package marlford.consensus;

import marlford.lease.Request;

/** A request on its way to a voter; the reply carries the same id. */
record RequestFrame(long id, Request ask) {}
