package marlford.consensus;

import marlford.lease.Request;

/** An ask on its way to a voter; its reply carries the same number. */
record RequestFrame(long id, Request ask) {}
