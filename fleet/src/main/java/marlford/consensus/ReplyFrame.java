package marlford.consensus;

import marlford.lease.Reply;

/** The reply of a voter to the request with this id. */
record ReplyFrame(long id, Reply reply) {}
