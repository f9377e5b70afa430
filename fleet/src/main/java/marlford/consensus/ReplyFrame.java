package marlford.consensus;

import marlford.lease.Reply;

/** A voter's reply to the call of this number. */
record ReplyFrame(long id, Reply reply) {}
