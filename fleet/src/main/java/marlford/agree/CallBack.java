package marlford.agree;

import marlford.lease.Reply;

/** A voter's reply to the call of this number. */
record CallBack(long id, Reply reply) {}
