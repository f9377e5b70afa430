package marlford.storm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import marlford.storm.Fault.Kind;

/**
 * Begins and ends the faults of a schedule, on threads of its own. Faults of one process exclude each other by its monitor;
 * one that is due while its process is down or stopped is left out. A fault that fails to be injected is a defect of the
 * run, not a quieter run.
 */
final class FaultInjector {
    private static final int THREADS = 8; // faults that begin or end at one moment
    private static final long TERM_MS = 5000; // for a process to end after SIGTERM
    private static final long MINUTE_MS = 60_000;

    /** A fault as it was injected, in nanoseconds of {@link System#nanoTime}. */
    record Played(Kind kind, String who, long from, long to) {}

    private final Map<String, Gateway> gateways;
    private final List<String> voters;
    private final ProxyNetwork network;
    private final Resource resource;
    private final Hosts hosts; // null where no clients are served
    private final Path copies;
    private final long ttlMs;
    private final Map<String, Path> oldDisks = new ConcurrentHashMap<>(); // as they were before the last start
    private final List<Played> played = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final ScheduledThreadPoolExecutor threads = new ScheduledThreadPoolExecutor(THREADS);

    /** @param copies directory for copies of disks */
    FaultInjector(
            Map<String, Gateway> gateways,
            List<String> voters,
            ProxyNetwork network,
            Resource resource,
            Hosts hosts,
            Path copies,
            long ttlMs) {
        this.gateways = gateways;
        this.voters = voters;
        this.network = network;
        this.resource = resource;
        this.hosts = hosts;
        this.copies = copies;
        this.ttlMs = ttlMs;
    }

    /** Injects the faults of a schedule, each at its time from now on. */
    void schedule(Schedule schedule) {
        for (Fault f : schedule.faults()) {
            threads.schedule(() -> guarded(() -> begin(f)), f.at(), TimeUnit.MILLISECONDS);
        }
    }

    List<Played> played() {
        return played;
    }

    /** Faults that could not be injected. */
    List<String> failures() {
        return failures;
    }

    /** Ends nothing further. */
    void close() {
        threads.shutdownNow();
    }

    private void guarded(Callable<Void> action) {
        try {
            action.call();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            failures.add("rig: " + e);
        }
    }

    /** Ends a fault when its time is up, which may be after the end of the play. */
    private void after(Fault f, Gateway g, Callable<Void> end) {
        threads.schedule(
                () -> guarded(() -> {
                    synchronized (g) {
                        return end.call();
                    }
                }),
                f.lasts(),
                TimeUnit.MILLISECONDS);
    }

    private Void begin(Fault f) throws IOException, InterruptedException {
        if (f.kind() == Kind.KILL_ALL) {
            for (String name : gateways.keySet()) {
                begin(new Fault(f.at(), Kind.KILL, name, f.lasts()));
            }
            return null;
        }
        if (f.kind() == Kind.AGENT_AWAY || f.kind() == Kind.HANG_HOST) {
            setOutside(f, true);
            threads.schedule(() -> guarded(() -> setOutside(f, false)), f.lasts(), TimeUnit.MILLISECONDS);
            return null;
        }
        Gateway g = target(f);
        synchronized (g) {
            if (g.isAlive() && !g.isStopped()) {
                long now = System.nanoTime();
                played.add(new Played(f.kind(), g.name, now, now + TimeUnit.MILLISECONDS.toNanos(f.lasts())));
                inject(f, g);
            }
        }
        return null;
    }

    private Gateway target(Fault f) throws IOException {
        String who = f.who().equals("leader") ? leader() : f.who().equals("holder") ? resource.holder() : f.who();
        Gateway g = gateways.get(who);
        if (g == null) {
            throw new IllegalStateException("nobody by the name " + who + " for " + f);
        }
        return g;
    }

    /** The current leader by the logs: the last to report leadership of the latest term. */
    private String leader() throws IOException {
        String leader = voters.get(0);
        int latest = 0;
        for (String v : voters) {
            String term = gateways.get(v).last(" leads, term ");
            if (!term.isEmpty() && Integer.parseInt(term.trim()) > latest) {
                latest = Integer.parseInt(term.trim());
                leader = v;
            }
        }
        return leader;
    }

    /** Faults of hosts and discovery. */
    private Void setOutside(Fault f, boolean begins) {
        if (f.kind() == Kind.AGENT_AWAY) {
            hosts.away(begins);
        } else {
            hosts.hang(f.who(), begins);
        }
        return null;
    }

    private void inject(Fault f, Gateway g) throws IOException, InterruptedException {
        switch (f.kind()) {
            case KILL -> kill(f, g);
            case TERM -> terminate(f, g);
            case STOP -> suspend(f, g);
            case ISOLATE -> cut(f, g, true, true);
            case MUTE -> cut(f, g, true, false);
            case DEAF -> cut(f, g, false, true);
            case CUT_RESOURCE -> cutResource(f, g);
            case SLOW_RESOURCE -> slowResource(f, g);
            case RESET -> network.reset(g.name);
            case EMPTY_DISK -> emptyDisk(f, g);
            case OLDER_DISK, TURNED_BIT -> corruptDisk(f, g);
            case FULL_DISK, FAILING_SYNC, HANGING_SYNC -> failDisk(f, g);
            case STEP_BACK -> stepBack(f, g);
            default -> throw new IllegalArgumentException("can't play " + f.kind());
        }
    }

    private void kill(Fault f, Gateway g) throws IOException, InterruptedException {
        g.kill();
        keepDisk(g);
        startAfter(f, g);
    }

    private void terminate(Fault f, Gateway g) throws IOException, InterruptedException {
        g.term();
        g.awaitEnd(TERM_MS);
        keepDisk(g);
        startAfter(f, g);
    }

    private void suspend(Fault f, Gateway g) throws IOException, InterruptedException {
        g.stop();
        after(f, g, () -> {
            g.go();
            return null;
        });
    }

    private void cut(Fault f, Gateway g, boolean out, boolean in) {
        network.cut(g.name, out, in);
        after(f, g, () -> {
            network.heal(g.name);
            return null;
        });
    }

    private void cutResource(Fault f, Gateway g) {
        network.toResource(g.name).cut(true, false);
        after(f, g, () -> {
            network.toResource(g.name).cut(false, false);
            return null;
        });
    }

    private void slowResource(Fault f, Gateway g) {
        network.toResource(g.name).delay(ttlMs / 4);
        after(f, g, () -> {
            network.toResource(g.name).delay(0);
            return null;
        });
    }

    private void emptyDisk(Fault f, Gateway g) throws IOException, InterruptedException {
        g.kill();
        Directories.delete(g.disk());
        startAfter(f, g);
    }

    private void corruptDisk(Fault f, Gateway g) throws IOException, InterruptedException {
        g.kill();
        if (f.kind() == Kind.TURNED_BIT) {
            turnBit(g);
        } else if (oldDisks.containsKey(g.name)) {
            Directories.delete(g.disk());
            Directories.copy(oldDisks.get(g.name), g.disk());
        }
        g.start();
        after(f, g, () -> {
            g.kill();
            Directories.delete(g.disk());
            g.start();
            return null;
        });
    }

    private void failDisk(Fault f, Gateway g) throws IOException {
        if (!voters.contains(g.name)) {
            return;
        }
        Path order = Files.createDirectories(g.disk()).resolve("fault"); // a new process may not have created it yet
        Files.writeString(order, f.kind() == Kind.FULL_DISK ? "full" : f.kind() == Kind.FAILING_SYNC ? "fail" : "hang");
        after(f, g, () -> {
            Files.deleteIfExists(order);
            if (f.kind() != Kind.HANGING_SYNC) { // its voter has stopped for the life of the process
                g.kill();
                g.start();
            }
            return null;
        });
    }

    private void stepBack(Fault f, Gateway g) throws IOException {
        Path order = Files.writeString(g.disk().resolveSibling("clock"), Long.toString(-MINUTE_MS));
        after(f, g, () -> {
            Files.deleteIfExists(order);
            return null;
        });
    }

    private void startAfter(Fault f, Gateway g) {
        after(f, g, () -> {
            if (!g.isAlive()) {
                g.start();
            }
            return null;
        });
    }

    /** Keeps the disk as it is before the next start, so that an outdated copy can come back. */
    private void keepDisk(Gateway g) throws IOException {
        if (Files.exists(g.disk())) {
            Path to = copies.resolve(g.name);
            Directories.delete(to);
            Directories.copy(g.disk(), to);
            oldDisks.put(g.name, to);
        }
    }

    private static void turnBit(Gateway g) throws IOException {
        Path file = g.disk().resolve("agreed");
        byte[] bytes = Files.exists(file) ? Files.readAllBytes(file) : new byte[0];
        if (bytes.length > 0) {
            bytes[bytes.length / 2] ^= 1;
            Files.write(file, bytes);
        }
    }
}
