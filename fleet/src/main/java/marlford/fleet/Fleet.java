package marlford.fleet;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import marlford.consensus.MonotonicClock;
import marlford.consensus.RequestSender;
import marlford.consensus.Voter;
import marlford.gateway.net.ServingGateway;
import marlford.gateway.net.SharedListFetch;
import marlford.gateway.net.UsageRecorder;
import marlford.lease.Member;
import marlford.lease.Reply;
import marlford.task.FleetTask;
import marlford.task.TaskRun;

/**
 * A process's part in the fleet: the member on a thread of its own, the voter if this process is one, and the tasks.
 * It shares no thread with the event loop that serves clients, and nothing there waits for it.
 */
final class Fleet {
    private static final long TICK_MS = 10;
    private static final long LEAVE_MS =
            1000; // for the last word; it takes a few milliseconds where a majority is there

    private final FleetConfig config;
    private final Consumer<String> log;
    private final MonotonicClock time = MonotonicClock.ofThisProcess();
    private final WallClock wallClock;
    private final NioEventLoopGroup network = new NioEventLoopGroup(1);
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, work -> {
        Thread t = new Thread(work, "marlford-member");
        t.setDaemon(true);
        return t;
    });
    private final TaskDispatcher dispatcher = new TaskDispatcher();
    private final Map<String, FleetConfig.TaskConfig> taskConfigs = new LinkedHashMap<>();
    private final Map<String, FleetTask> tasks = new LinkedHashMap<>();
    private final Member member;
    private final Voter voter; // null where this process is none
    private final RequestSender requestSender;
    private final UsageExporter usageExporter; // null where nothing is exported
    private final SharedListPolling listPolling; // null where each gateway calls for lists when it likes
    private HealthCheckWorker healthChecks; // null until the gateway serves, and where nothing is probed
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private double dueAt = Double.NaN; // when the next tick should come
    private long session;
    private int running; // acts
    private boolean begun; // before, a connection may end already, and there is nobody to tell
    private boolean ending; // no act begins any more

    /** @param log one line for what operators should know; from any thread */
    Fleet(FleetConfig config, Consumer<String> log) throws IOException {
        this.config = config;
        this.log = log;
        this.wallClock = new WallClock(config.folder());
        this.member = new Member(
                config.name(),
                new SecureRandom().nextLong() >>> 1,
                config.ttlMs(),
                List.copyOf(config.voters().keySet()),
                config.driftPpm(),
                config.marginMs(),
                config.stallMs());
        this.voter = config.voters().containsKey(config.name())
                ? new Voter(
                        new Voter.Settings(
                                config.fleet(),
                                config.name(),
                                config.voters(),
                                config.folder().resolve(config.name())),
                        time,
                        network,
                        log)
                : null;
        this.requestSender = new RequestSender(network, config.voters(), new RequestSender.Listener() {
            @Override
            public void heard(long id, Reply reply) {
                run(() -> member.heard(id, reply, time.ms()));
            }

            @Override
            public void lost(String name) {
                run(() -> member.lost(name, time.ms()));
            }
        });
        for (FleetConfig.TaskConfig t : config.tasks()) {
            taskConfigs.put(t.name(), t);
            tasks.put(t.name(), t.task());
        }
        usageExporter = config.export() == null
                ? null
                : new UsageExporter(
                        config.export(),
                        Files.createDirectories(config.folder()).resolve(config.name() + ".usage"),
                        wallClock,
                        log);
        listPolling = config.lists() ? new SharedListPolling(member, this::run, time::ms) : null;
    }

    /** Whose turn it is to call for a list. */
    SharedListFetch lists() {
        return listPolling == null ? SharedListFetch.NONE : listPolling;
    }

    /** The gateway of this process serves. */
    void serving(ServingGateway gateway) {
        if (config.probes() != null && gateway.allowsProbes()) {
            run(() -> healthChecks = new HealthCheckWorker(config.probes(), gateway, member, this::run, log));
        }
    }

    /** Where a gateway of this process notes what it lets in. */
    UsageRecorder usage() {
        return usageExporter == null ? UsageRecorder.NONE : usageExporter.usage();
    }

    /** Begins; returns at once, whoever else is there. */
    void start() throws IOException, InterruptedException {
        if (voter != null) {
            voter.start();
        }
        thread.execute(() -> {
            tasks.values().forEach(d -> d.begin(member));
            begun = true;
        });
        thread.scheduleWithFixedDelay(() -> run(() -> {}), 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** All that touches the member happens here, one at a time, and each time what follows from it is sent. */
    private void run(Runnable what) {
        if (thread.isShutdown()) {
            return;
        }
        thread.execute(() -> {
            try {
                what.run();
                if (begun) {
                    act();
                }
            } catch (RuntimeException e) {
                log.accept("fleet: defect: " + e);
                e.printStackTrace();
            }
        });
    }

    private void act() {
        double now = time.ms();
        double late = Double.isNaN(dueAt) ? 0 : Math.max(0, now - dueAt);
        dueAt = now + TICK_MS;
        requestSender.drive(member, now);
        if (member.session() != session) {
            session = member.session();
            log.accept("fleet: " + (session == 0 ? "the session has ended" : "session " + session));
        }
        if (member.hasLeft()) {
            left.complete(null);
            return;
        }
        if (ending) {
            if (running == 0 && (usageExporter == null || !usageExporter.isRunning())) {
                member.leave(); // what began is over, so the next holder acts alone
            }
            return;
        }
        if (listPolling != null) {
            listPolling.due(now, late);
        }
        if (healthChecks != null) {
            healthChecks.due(member, now, late);
        }
        if (usageExporter != null) {
            usageExporter.due(member, now, late, () -> run(() -> {}));
        }
        tasks.forEach((name, task) ->
                task.due(member, now, late, wallClock.ms()).forEach(a -> post(taskConfigs.get(name), task, a)));
    }

    private void post(FleetConfig.TaskConfig taskConfig, FleetTask task, TaskRun taskRun) {
        running++;
        dispatcher
                .post(taskConfig.url(), taskRun, config.name())
                .whenComplete((over, e) -> run(() -> {
                    running--;
                    task.ended(member, taskRun);
                }));
    }

    /** Runs work under a lease of its own; the token, or the reason why not. */
    CompletableFuture<Long> hold(String lease, int limit) {
        CompletableFuture<Long> held = new CompletableFuture<>();
        thread.execute(() -> member.want(lease, limit));
        thread.scheduleWithFixedDelay(
                () -> {
                    long token = member.token(lease);
                    if (token != 0 && member.mayAct(token, time.ms(), 0, 0)) {
                        held.complete(token);
                    }
                },
                TICK_MS,
                TICK_MS,
                TimeUnit.MILLISECONDS);
        return held;
    }

    /** Lets what runs end, and gives everything back, so that nobody waits for the end of a session. */
    void leave() {
        double began = time.ms();
        run(() -> ending = true);
        try {
            left.get(LEAVE_MS, TimeUnit.MILLISECONDS);
            log.accept("fleet: handed over in " + Math.round(time.ms() - began) + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            log.accept("fleet: could not hand over; the session ends by its silence");
        }
    }

    /** What operators see of the fleet from here; from any thread, without waiting for anybody but this member. */
    String text() {
        CompletableFuture<String> text = new CompletableFuture<>();
        thread.execute(() -> text.complete("member=" + member + " left_ms=" + Math.round(member.leftMs(time.ms()))
                + '\n' + requestSender.text() + (listPolling == null ? "" : listPolling.text())
                + (healthChecks == null ? "" : healthChecks.text())));
        String voters = voter == null ? "" : voter.text();
        try {
            return text.get(LEAVE_MS, TimeUnit.MILLISECONDS) + voters;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return voters;
        } catch (ExecutionException | TimeoutException e) {
            return "member=late\n" + voters;
        }
    }

    void close() {
        thread.shutdownNow();
        if (usageExporter != null) {
            usageExporter.close();
        }
        requestSender.close();
        if (voter != null) {
            voter.close();
        }
        network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
