package marlford.storm.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import marlford.gateway.quota.QuotaCoordinator;
import marlford.storm.scale.PartTimer.Part;

/**
 * A fleet of hollow gateways on event loops, each with a datagram socket of its own on loopback.
 * Processor time is taken by
 * part, with a clock around each call, and in the sum, from the loops' threads.
 */
final class LoopFleet implements AutoCloseable {
    private static final int LOOPS = 2;
    private static final long LOAD_EVERY_MS = 5;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_US = 1e3;
    private static final long END_MS = 100;

    private final int gateways;
    private final Workload workload;
    private final double intakePerSecond;
    private final EventLoopGroup loops;
    private final Set<Long> threads = ConcurrentHashMap.newKeySet();
    private final List<Member> members = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> numbers = new ConcurrentHashMap<>();
    private final List<DemandTable> demands = new ArrayList<>(); // by gateway
    private volatile boolean loaded;

    LoopFleet(int gateways, Workload workload, double intakePerSecond, long seed) throws InterruptedException {
        this.gateways = gateways;
        this.workload = workload;
        this.intakePerSecond = intakePerSecond;
        SplittableRandom random = new SplittableRandom(seed);
        shareOut(workload.customers(gateways, random.split()));
        loops = new NioEventLoopGroup(LOOPS, work -> {
            Thread thread = new Thread(work, "hollow-gateways");
            thread.setDaemon(true);
            threads.add(thread.getId());
            return thread;
        });
        for (int number = 0; number < gateways; number++) {
            members.add(new Member(number, random.split()));
        }
        for (Member member : members) {
            numbers.put(member.address(), member.number);
        }
    }

    private void shareOut(List<Customer> customers) {
        List<List<Customer>> byGateway = new ArrayList<>();
        for (int number = 0; number < gateways; number++) {
            byGateway.add(new ArrayList<>());
        }
        for (Customer customer : customers) {
            for (int i = 0; i < customer.named.spread(); i++) {
                byGateway.get((customer.named.first() + i) % gateways).add(customer);
            }
        }
        byGateway.forEach(own -> demands.add(new DemandTable(own)));
    }

    /** Runs for so long without load, then under load, and measures the latter part of each. */
    Map<String, Double> play(double warmUpSeconds, double seconds) throws InterruptedException {
        members.forEach(member -> member.onLoop(member::start));
        Thread.sleep((long) (warmUpSeconds * MS_PER_S));
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("idle_cpu_ms_per_gateway_second", cpuMs(seconds));
        loaded = true;
        Thread.sleep((long) (warmUpSeconds * MS_PER_S));
        for (Member member : members) {
            member.onLoop(member::clear);
        }
        figures.put("cpu_ms_per_gateway_second", cpuMs(seconds));
        loaded = false;
        for (Member member : members) {
            member.onLoop(member::stop);
        }
        addParts(figures, seconds);
        return figures;
    }

    /** Processor time of the loops' threads while so much time passes, for each gateway and second. */
    private double cpuMs(double seconds) throws InterruptedException {
        long before = threadNanos();
        Thread.sleep((long) (seconds * MS_PER_S));
        return (threadNanos() - before) / NANOS_PER_MS / seconds / gateways;
    }

    private long threadNanos() {
        ThreadMXBean beans = ManagementFactory.getThreadMXBean();
        return threads.stream().mapToLong(beans::getThreadCpuTime).sum();
    }

    private void addParts(Map<String, Double> figures, double seconds) {
        double each = seconds * gateways;
        for (Part part : List.of(Part.DECISION, Part.MESSAGES, Part.BEAT, Part.SOCKET)) {
            long nanos = members.stream().mapToLong(m -> m.timer.nanos(part)).sum();
            figures.put(part.name().toLowerCase(Locale.ROOT) + "_ms_per_gateway_second", nanos / NANOS_PER_MS / each);
        }
        long tries = members.stream().mapToLong(m -> m.tries).sum();
        long decisionNanos =
                members.stream().mapToLong(m -> m.timer.nanos(Part.DECISION)).sum();
        figures.put("decision_us", decisionNanos / NANOS_PER_US / Math.max(1, tries));
        figures.put("tries_per_gateway_second", tries / each);
        figures.put("messages_per_gateway_second", sum(Member::messages) / each);
        figures.put("bytes_per_gateway_second", sum(Member::bytes) / each);
        figures.put("let_in_share", sum(Member::letIn) / Math.max(1, tries));
        Samples waits = new Samples();
        members.forEach(m -> waits.addAll(m.waits));
        figures.put("wait_p50_ms", waits.quantile(0.5));
        figures.put("wait_p99_ms", waits.quantile(0.99));
    }

    private double sum(ToLongFunction<Member> count) {
        return members.stream().mapToLong(count).sum();
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, END_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** One gateway and its socket; all but its address belongs to its loop's thread. */
    private final class Member implements HollowGateway.Surroundings {
        private final int number;
        private final SplittableRandom random;
        private final PartTimer timer = new PartTimer(System::nanoTime);
        private final Samples waits = new Samples();
        private final Channel channel;
        private HollowGateway gateway;
        private double loadAt;
        private double due;
        private long tries;
        private long messages;
        private long bytes;
        private long letIn;
        private boolean stopped;

        Member(int number, SplittableRandom random) throws InterruptedException {
            this.number = number;
            this.random = random;
            channel = new Bootstrap()
                    .group(loops)
                    .channel(NioDatagramChannel.class)
                    .handler(new Receiver(this))
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
        }

        InetSocketAddress address() {
            return (InetSocketAddress) channel.localAddress();
        }

        EventLoop loop() {
            return channel.eventLoop();
        }

        void onLoop(Runnable work) {
            loop().submit(work).syncUninterruptibly();
        }

        void start() {
            double now = now();
            gateway = new HollowGateway(
                    now, number, gateways, intakePerSecond, workload.plans(), random.nextLong(), timer, this);
            loadAt = now;
            long beatMs = (long) HollowGateway.BEAT_MS;
            loop().scheduleAtFixedRate(this::beat, random.nextLong(beatMs), beatMs, TimeUnit.MILLISECONDS);
            loop().scheduleAtFixedRate(
                            this::load, random.nextLong(LOAD_EVERY_MS), LOAD_EVERY_MS, TimeUnit.MILLISECONDS);
        }

        private void beat() {
            if (!stopped) {
                gateway.beat(now());
            }
        }

        /** The requests that are due since this was last called. */
        private void load() {
            double now = now();
            DemandTable demand = demands.get(number);
            boolean asks = loaded && !stopped && !demand.isEmpty();
            due = asks ? due + (now - loadAt) * workload.triesPerSecond() / MS_PER_S : 0;
            loadAt = now;
            for (; due >= 1; due--) {
                tries++;
                gateway.request(now(), demand.draw(random), Workload.units(random));
            }
        }

        void receive(InetSocketAddress sender, byte[] data) {
            Integer from = numbers.get(sender);
            if (from != null && gateway != null && !stopped) {
                gateway.receive(now(), from, data);
            }
        }

        @Override
        public void send(int from, int peer, byte[] data) {
            messages++;
            bytes += data.length;
            timer.time(
                    Part.SOCKET,
                    () -> channel.writeAndFlush(new DatagramPacket(
                            Unpooled.wrappedBuffer(data), members.get(peer).address())));
        }

        @Override
        public void decided(
                double now, int decider, HollowGateway.Request request, QuotaCoordinator.Decision decision) {
            waits.add(now - request.askedAt());
            letIn += decision.admitted() ? 1 : 0;
        }

        void clear() {
            timer.clear();
            waits.clear();
            tries = messages = bytes = letIn = 0;
        }

        void stop() {
            stopped = true;
        }

        long messages() {
            return messages;
        }

        long bytes() {
            return bytes;
        }

        long letIn() {
            return letIn;
        }
    }

    /** Hands datagrams to their gateway as byte arrays; the packet is released by the superclass. */
    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Member member;

        Receiver(Member member) {
            this.member = member;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            member.receive(packet.sender(), ByteBufUtil.getBytes(packet.content()));
        }
    }
}
