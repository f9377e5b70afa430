package marlford.storm.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Draws faults from a seed and plays them, several at once. */
final class SoakFaults {
    private static final long KILLED_AFTER_TERM_MS = SoakClient.ORDER_DEADLINE_MS + 700; // at the page's earliest
    private static final long COMES_ON_MS = 300; // new connections after SIGTERM
    private static final int TOLD_TO_END_MS = 6000; // after a successor serves
    private static final int GAP_MS = 300;
    private static final int AWAY_LEAST_MS = 300;
    private static final int AWAY_MS = 2000;
    private static final int MOOD_MS = 2500;
    private static final int PAUSE_LEAST_MS = 30;
    private static final int PAUSE_MS = 120;
    private static final int DRAINS_MS = 4000;
    private static final long TOLD_LATE_MS = 6000; // the longest that a list may take where discovery is in trouble
    private static final int SILENCES = 3; // one in so many times that discovery is away it is silent instead
    private static final int SILENT_LEAST_MS = 6500; // longer than the list may take
    private static final int SILENT_MS = 1000;
    private static final int END_TOLD_LEAST_MS = 1000; // after a host that has its address was told
    private static final int END_TOLD_MS = 4000;
    private static final int CROWD = 500;
    private static final int CROWD_MS = 4000;
    private static final int SERIES = 3;

    /** What may happen. */
    private enum Kind {
        KILL,
        TERM,
        TERM_TWICE,
        UPGRADE,
        PAUSE,
        PAUSE_ALL,
        NEW_CONFIGURATIONS,
        HOST_HANGS,
        HOST_SLOW,
        HOST_RESETS,
        HOST_CUTS,
        HOST_DRAINS,
        HOST_ACCEPTS_LATE,
        HOST_REPLACED,
        DISCOVERY_AWAY,
        CROWD
    }

    private static final Set<Kind> ENDING = EnumSet.of(Kind.KILL, Kind.TERM, Kind.TERM_TWICE, Kind.UPGRADE);

    private final SoakFleet fleet;
    private final Random random;
    private final boolean crowds;
    private final List<Thread> playing = new ArrayList<>();
    private final Set<SoakProcess> ending = ConcurrentHashMap.newKeySet(); // until they are up again
    private final Set<SoakHosts.Host> changing = ConcurrentHashMap.newKeySet(); // hosts that drain, end or accept late
    private final List<String> played = new ArrayList<>();

    /** @param crowds whether idle clients may fill a process's places */
    SoakFaults(SoakFleet fleet, long seed, boolean crowds) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.crowds = crowds;
    }

    /** Plays faults for so long, and returns once all have ended and every process is up again. */
    void play(long ms) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < end) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            begin(kind, random.nextInt(fleet.processes().size()), random.nextLong());
            Thread.sleep(random.nextInt(GAP_MS));
        }
        for (Thread thread : playing) {
            thread.join();
        }
    }

    List<String> played() {
        return List.copyOf(played);
    }

    private void begin(Kind kind, int number, long seed) {
        SoakProcess process = fleet.processes().get(number);
        boolean ends = ENDING.contains(kind);
        long down = fleet.processes().stream().filter(p -> !p.isUp()).count();
        if (ends
                        && (!process.isUp()
                                || ending.contains(process)
                                || down * 3 >= fleet.processes().size())
                || kind == Kind.CROWD && !crowds) {
            return;
        }
        if (ends) {
            ending.add(process);
        }
        played.add(kind + " " + number);
        fleet.findings().count(SoakFindings.Count.FAULTS);
        playing.add(Threads.start("fault", () -> {
            try {
                play(kind, process, new Random(seed));
            } catch (IOException e) {
                fleet.findings().broken("the soak's own fault " + kind + ": " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    private void play(Kind kind, SoakProcess process, Random own) throws IOException, InterruptedException {
        switch (kind) {
            case KILL -> kill(process, own);
            case TERM, TERM_TWICE -> terminate(kind, process);
            case UPGRADE -> upgrade(process, own);
            case PAUSE -> pause(process, own);
            case PAUSE_ALL -> pauseAll(own);
            case NEW_CONFIGURATIONS -> configure(process, own);
            case HOST_HANGS -> mood(HostMood.HANGS, own);
            case HOST_SLOW -> mood(HostMood.SLOW, own);
            case HOST_RESETS -> mood(HostMood.RESETS, own);
            case HOST_CUTS -> mood(HostMood.CUTS_ANSWERS, own);
            case HOST_DRAINS -> drain(own);
            case HOST_ACCEPTS_LATE -> acceptLate(own);
            case HOST_REPLACED -> replace(own);
            case DISCOVERY_AWAY -> away(own);
            default -> crowd(process, own);
        }
    }

    private void kill(SoakProcess process, Random own) throws IOException, InterruptedException {
        process.kill();
        Thread.sleep(AWAY_LEAST_MS + own.nextInt(AWAY_MS));
        restart(process);
    }

    private void pauseAll(Random own) throws IOException, InterruptedException {
        for (SoakProcess each : fleet.processes()) {
            pause(each, own);
        }
    }

    /** Several configurations in a row, each of which may name another discovery. */
    private void configure(SoakProcess process, Random own) throws IOException, InterruptedException {
        for (int i = 0; i < SERIES; i++) {
            fleet.writeSettings(process, own.nextInt(fleet.discoveries().size()));
            process.signal("HUP");
            Thread.sleep(own.nextInt(GAP_MS));
        }
    }

    private void terminate(Kind kind, SoakProcess process) throws IOException, InterruptedException {
        process.terminate();
        Thread.sleep(COMES_ON_MS);
        process.setUp(false);
        if (kind == Kind.TERM_TWICE) { // signals in series
            process.signal("HUP");
            process.terminate();
        }
        if (!process.hasEndedWithin(KILLED_AFTER_TERM_MS - COMES_ON_MS)) {
            process.killIfAlive();
            process.hasEndedWithin(KILLED_AFTER_TERM_MS);
        }
        Thread.sleep(2 * AWAY_LEAST_MS);
        restart(process);
    }

    /** A second process takes the first one's place while clients go on; the first is told to end within 6 s of that. */
    private void upgrade(SoakProcess process, Random own) throws IOException, InterruptedException {
        long servings = process.servings();
        process.startSuccessor();
        if (fleet.awaitSuccessor(process, servings)) {
            Thread.sleep(own.nextInt(TOLD_TO_END_MS));
            process.endPredecessor(KILLED_AFTER_TERM_MS);
        } else {
            process.keepPredecessor();
        }
        ending.remove(process);
    }

    private void restart(SoakProcess process) throws IOException, InterruptedException {
        fleet.writeSettings(process, 0);
        process.start();
        fleet.awaitUp(process);
        ending.remove(process);
    }

    private static void pause(SoakProcess process, Random own) throws IOException, InterruptedException {
        process.pause(PAUSE_LEAST_MS + own.nextInt(PAUSE_MS));
    }

    private void mood(HostMood mood, Random own) throws InterruptedException {
        SoakHosts.Host host = anyHost(own);
        host.mood = mood;
        Thread.sleep(AWAY_LEAST_MS + own.nextInt(MOOD_MS));
        host.mood = HostMood.WELL;
    }

    private SoakHosts.Host anyHost(Random own) {
        List<SoakHosts.Host> all = fleet.hosts().all();
        return all.get(own.nextInt(all.size()));
    }

    private void acceptLate(Random own) throws IOException, InterruptedException {
        SoakHosts.Host host = anyHost(own);
        if (host.mood == HostMood.WELL && changing.add(host)) {
            host.acceptLate();
            Thread.sleep(AWAY_LEAST_MS + own.nextInt(AWAY_MS));
            host.acceptAgain();
            changing.remove(host);
        }
    }

    /** Discovery tells of the new host at once, or some time after it has come up at the old one's address, and of the old one's end with it or later. */
    private void replace(Random own) throws IOException, InterruptedException {
        SoakHosts.Host old = anyHost(own);
        if (old.draining || !changing.add(old)) {
            return;
        }
        SoakHosts.Host fresh = fleet.hosts().replace(old);
        Thread.sleep(own.nextBoolean() ? 0 : own.nextInt(AWAY_MS));
        if (own.nextBoolean()) {
            fleet.hosts().list(old, fresh);
        } else {
            fresh.startedMs = own.nextBoolean() ? 0 : System.currentTimeMillis();
            changing.add(fresh);
            fleet.hosts().listBeside(old, fresh, own.nextBoolean());
            changed();
            Thread.sleep(END_TOLD_LEAST_MS + own.nextInt(END_TOLD_MS));
            fleet.hosts().unlist(old);
            changing.remove(fresh);
        }
        changed();
    }

    private void drain(Random own) throws InterruptedException {
        SoakHosts.Host host = anyHost(own);
        if (host.draining || !changing.add(host)) {
            return;
        }
        host.drainingNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TOLD_LATE_MS);
        host.draining = true;
        changed();
        Thread.sleep(TOLD_LATE_MS + DRAINS_MS);
        host.draining = false;
        changed();
        changing.remove(host);
    }

    private void changed() {
        fleet.discoveries().forEach(SoakDiscovery::changed);
    }

    private void away(Random own) throws IOException, InterruptedException {
        SoakDiscovery discovery =
                fleet.discoveries().get(own.nextInt(fleet.discoveries().size()));
        long lasts = AWAY_LEAST_MS + own.nextInt(AWAY_MS);
        if (own.nextInt(SILENCES) == 0) {
            silence(discovery, own);
            return;
        }
        discovery.away(true);
        Thread.sleep(lasts);
        discovery.away(false);
        for (SoakHosts.Host host : fleet.hosts().all()) { // counts from its return
            long told = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TOLD_LATE_MS);
            host.drainingNanos = Math.max(host.drainingNanos, told);
        }
    }

    /** A host is replaced while discovery is silent; what it misses counts as told before its return. */
    private void silence(SoakDiscovery discovery, Random own) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SILENT_LEAST_MS + own.nextInt(SILENT_MS));
        discovery.silent(true);
        replace(own);
        Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime())));
        discovery.silent(false);
    }

    private static void crowd(SoakProcess process, Random own) throws InterruptedException {
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < CROWD && process.isUp(); i++) {
                idle.add(SoakClient.connect(process));
            }
        } catch (IOException e) {
            // as many as came
        }
        Thread.sleep(own.nextInt(CROWD_MS));
        for (Socket socket : idle) {
            try {
                socket.close();
            } catch (IOException e) {
                // ended before
            }
        }
    }
}
