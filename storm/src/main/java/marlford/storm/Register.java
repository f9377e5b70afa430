package marlford.storm;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import marlford.consensus.RequestSender;
import marlford.lease.Member;
import marlford.lease.Reply;

/** Members of the rig's own that take one lease and give it back, again and again, and note when they did. */
final class Register implements Closeable {
    private static final String LEASE = "register";
    private static final int MEMBERS = 3;
    private static final long TICK_MS = 5;
    private static final int HOLDS_MAX_MS = 60;
    private static final double STALL_MS = 300;
    private static final double NANOS_PER_MS = 1e6;

    private final NioEventLoopGroup network = new NioEventLoopGroup(1);
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1);
    private final List<Linear.Op> history = new ArrayList<>();
    private final CountDownLatch granted = new CountDownLatch(1);
    private final List<RequestSender> callers = new ArrayList<>();

    Register(Map<String, InetSocketAddress> voters, long ttlMs) {
        for (int i = 0; i < MEMBERS; i++) {
            new One(
                            new Member(
                                    "register-" + i,
                                    ThreadLocalRandom.current().nextLong() >>> 1,
                                    ttlMs,
                                    List.copyOf(voters.keySet()),
                                    0,
                                    0,
                                    Math.min(STALL_MS, ttlMs / 3.0)),
                            voters)
                    .begin();
        }
    }

    private final class One {
        private final Member member;
        private final RequestSender caller;
        private long token; // held
        private long grantedAt;
        private long until;
        private long wantedAt;

        One(Member member, Map<String, InetSocketAddress> voters) {
            this.member = member;
            this.caller = new RequestSender(network, voters, new RequestSender.Listener() {
                @Override
                public void heard(long id, Reply reply) {
                    thread.execute(() -> member.heard(id, reply, ms()));
                }

                @Override
                public void lost(String voter) {
                    if (!thread.isShutdown()) {
                        thread.execute(() -> member.lost(voter, ms()));
                    }
                }
            });
            callers.add(caller);
        }

        void begin() {
            thread.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
        }

        private double ms() {
            return System.nanoTime() / NANOS_PER_MS;
        }

        private void tick() {
            caller.drive(member, ms());
            long now = System.nanoTime();
            boolean mine = token != 0 && member.mayAct(token, ms(), 0, 0);
            if (token != 0 && !mine) {
                history.add(new Linear.Op(false, token, grantedAt, Long.MAX_VALUE)); // lost at some time since
                token = 0;
                member.release(LEASE);
            } else if (token != 0 && now > until) {
                history.add(new Linear.Op(false, token, now, Long.MAX_VALUE));
                token = 0;
                member.release(LEASE);
            } else if (token == 0 && wantedAt == 0) {
                wantedAt = now;
                member.want(LEASE, 1);
            } else if (token == 0 && member.mayAct(member.token(LEASE), ms(), 0, 0)) {
                token = member.token(LEASE);
                grantedAt = now;
                history.add(new Linear.Op(true, token, wantedAt, now));
                until = now
                        + TimeUnit.MILLISECONDS.toNanos(
                                ThreadLocalRandom.current().nextInt(HOLDS_MAX_MS));
                wantedAt = 0;
                granted.countDown();
            }
        }
    }

    /** What they did until now, or until the first of them has had the lease, but for no longer than this. */
    List<Linear.Op> history(long patienceMs) throws InterruptedException {
        granted.await(patienceMs, TimeUnit.MILLISECONDS);
        thread.shutdownNow();
        thread.awaitTermination(1, TimeUnit.SECONDS);
        return history;
    }

    @Override
    public void close() {
        thread.shutdownNow();
        callers.forEach(RequestSender::close);
        network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
