package marlford.agree;

import marlford.lease.Ask;

/** An ask on its way to a voter; its reply carries the same number. */
record Call(long id, Ask ask) {}
