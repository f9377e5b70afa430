package marlford.storm.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Gateways, hosts, discoveries and clients of a soak, and what is needed to judge them. */
final class SoakFleet implements Closeable {
    private static final int HOSTS = 8;
    private static final int CLIENTS_EACH = 3;
    /** Processes for each client that repeats ids, reads lumps or held answers, or leaves. */
    private static final int REPEATING_EACH = 2;

    private static final String SETTINGS = """
                {"name": "gNUMBER", "listen": "127.0.0.1:PORT", "discovery": "DISCOVERY", "seed": "8c1f30d27a5be9NUMBER",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 400}, "peer_listen": PEER, "peers": [PEERS],
                 "known": LIST,
                 "settings": {"ordinal": NUMBER, "balancers": COUNT, "az": "z0",
                  "limits": {"max_attempts": 3, "cancel": true, "probes": true, "peer_messages": true, "retry_after": true,
                   "max_retry_after_ms": 500, "connect_timeout_ms": 2000},
                  "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2, "drain_grace_ms": 2000},
                  "specifics": {"max_units": 4, "mail_per_s": 40},
                  "classes": [
                   {"name": "view", "effect": "repeatable", "goal_time_ms": 800, "hard_limit_ms": 1500},
                   {"name": "order", "effect": "by_key", "key_scope": "zone", "window_ms": WINDOW, "goal_time_ms": 1500,
                    "hard_limit_ms": 2500},
                   {"name": "pay", "effect": "once", "goal_time_ms": 1500, "hard_limit_ms": 2500}],
                  "plans": [{"name": "free", "units_per_s": 1000000, "depth": 1000000}]}}
                """;
    /** Complaints that no busy machine explains. */
    private static final Pattern UNTIMED =
            Pattern.compile("defect|broken_(repeated|second|closed|listened)|OutOfMemoryError");

    private static final long MEMORY_LIMIT_KB = 192 * 1024;
    private static final long READY_MS = 60_000;
    private static final long LOOK_MS = 20;

    /** A request that got no answer; whether it is lost follows from the log of the process that may have read it. */
    private record Suspect(SoakProcess process, int life, String id, String how, boolean busy) {}

    private final List<SoakProcess> processes = new ArrayList<>();
    private final RequestLedger ledger = new RequestLedger();
    private final SoakFindings findings = new SoakFindings();
    private final Lateness lateness = new Lateness(this::processes);
    private final SoakHosts hosts;
    private final List<SoakDiscovery> discoveries = new ArrayList<>();
    private final List<String> peers = new ArrayList<>();
    private final List<Suspect> suspects = new CopyOnWriteArrayList<>();
    private volatile boolean playing = true;

    private final List<SocketChannel> reservedPorts = new ArrayList<>();

    SoakFleet(Path folder, String classPath, int count, long seed) throws IOException, InterruptedException {
        FailingCalls calls = FailingCalls.build(folder);
        this.hosts = new SoakHosts(HOSTS, seed, ledger, findings, lateness);
        discoveries.add(new SoakDiscovery(hosts));
        discoveries.add(new SoakDiscovery(hosts));
        List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Path own = Files.createDirectories(folder.resolve("g" + i));
            int port = reservePort();
            DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            held.add(peer);
            peers.add("\"127.0.0.1:" + peer.getLocalPort() + "\"");
            Files.deleteIfExists(own.resolve(SoakProcess.LOG)); // of another soak, with the same names of requests
            processes.add(new SoakProcess(i, port, own, classPath, calls, seed * count + i));
        }
        held.forEach(DatagramSocket::close);
    }

    /**
     * A port that no client's connection gets while its process is away: bound here, but not listened to. The process binds it all
     * the same, since both allow the address's reuse.
     */
    private int reservePort() throws IOException {
        SocketChannel reserved = SocketChannel.open();
        reservedPorts.add(reserved);
        reserved.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return ((InetSocketAddress) reserved.getLocalAddress()).getPort();
    }

    /** Starts all processes, and returns once they serve. */
    void start() throws IOException, InterruptedException {
        lateness.start();
        for (SoakProcess process : processes) {
            writeSettings(process, 0);
            process.start();
        }
        for (SoakProcess process : processes) {
            awaitUp(process);
        }
    }

    /** Starts clients, which ask until {@link #stop}. */
    void startClients(long seed) {
        playing = true;
        for (int i = 0; i < processes.size() * CLIENTS_EACH; i++) {
            Threads.start("client", new SoakClient(this, (int) (seed % 100_000) * 1000 + i, seed * 31 + i));
        }
        for (int i = 0; i < processes.size(); i++) {
            Threads.start("slow", new SlowClient(this, (int) (seed % 100_000) * 1000 + i, seed * 41 + i));
        }
        for (int i = 0; i < processes.size(); i += REPEATING_EACH) {
            Threads.start("repeating", new RepeatingClient(this, (int) (seed % 100_000) * 1000 + i, seed * 47 + i));
            Threads.start("lumps", new LumpReader(this, (int) (seed % 100_000) * 1000 + i, seed * 53 + i));
            Threads.start("leaving", new LeavingClient(this, (int) (seed % 100_000) * 1000 + i, seed * 61 + i));
            Threads.start("held", new HeldAnswerReader(this, (int) (seed % 100_000) * 1000 + i, seed * 67 + i));
        }
        Threads.start("endless", new EndlessAnswerClient(this, (int) (seed % 100_000) * 1000, seed * 71));
        Threads.start("flood", new FloodClient(this, (int) (seed % 100_000) * 1000, seed * 59));
        Threads.start("slow crowd", new SlowCrowd(this, (int) (seed % 100_000) * 1000, seed * 43));
        for (int i = 0; i < processes.size(); i++) {
            Threads.start("stopping", new StoppingClient(this, (int) (seed % 100_000) * 1000 + i, seed * 37 + i));
        }
    }

    void stop() {
        playing = false;
    }

    boolean plays() {
        return playing;
    }

    SoakFindings findings() {
        return findings;
    }

    RequestLedger ledger() {
        return ledger;
    }

    Lateness lateness() {
        return lateness;
    }

    List<SoakProcess> processes() {
        return Collections.unmodifiableList(processes);
    }

    SoakHosts hosts() {
        return hosts;
    }

    List<SoakDiscovery> discoveries() {
        return Collections.unmodifiableList(discoveries);
    }

    /** A process that takes clients; null where none does. */
    SoakProcess anyUp(Random random) {
        List<SoakProcess> up = processes.stream().filter(SoakProcess::isUp).toList();
        return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    }

    /** A request got no answer; it is judged once the run is over. */
    void suspect(SoakProcess process, int life, String id, String how) {
        suspects.add(new Suspect(process, life, id, how, isTimed(how) && lateness.isMachineBusy()));
    }

    /** Whether only a time that was measured here says that there was no answer; a connection that ended is no such matter. */
    private static boolean isTimed(String how) {
        return how.startsWith(SoakClient.NO_ANSWER);
    }

    private static boolean isTimedAlone(List<String> complaints) {
        return complaints.stream().noneMatch(line -> UNTIMED.matcher(line).find());
    }

    /** Waits until it says that it is healthy, and lets clients come. */
    void awaitUp(SoakProcess process) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_MS * 1_000_000;
        while (!isHealthy(process)) {
            if (System.nanoTime() > end || !process.isAlive()) {
                findings.broken("start: process " + process.number + " did not come up: " + process.ending());
                return;
            }
            Thread.sleep(LOOK_MS);
        }
        process.setUp(true);
    }

    /** Waits until one more process of it serves than before an upgrade; whether it does. */
    boolean awaitSuccessor(SoakProcess process, long servings) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_MS * 1_000_000;
        while (process.servings() <= servings) {
            if (System.nanoTime() > end || !process.isAlive()) {
                if (process.failedForReusePort()) {
                    findings.count(SoakFindings.Count.KNOWN_RED);
                } else {
                    findings.broken("upgrade: process " + process.number + " did not come up: " + process.ending());
                }
                return false;
            }
            Thread.sleep(LOOK_MS);
        }
        return true;
    }

    private static boolean isHealthy(SoakProcess process) {
        try (var socket = SoakClient.connect(process)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(HttpText.bytes("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"));
            HttpText.Message answer = HttpText.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes its configuration anew, with one of the discoveries and the present list. */
    void writeSettings(SoakProcess process, int discovery) throws IOException {
        String text = SETTINGS.replace("NUMBER", Integer.toString(process.number))
                .replace("PORT", Integer.toString(process.port))
                .replace("DISCOVERY", discoveries.get(discovery).address())
                .replace("WINDOW", Double.toString(SoakHosts.KEY_WINDOW_MS))
                .replace("LIST", discoveries.get(discovery).list())
                .replace("PEERS", String.join(",", peers))
                .replace("PEER", peers.get(process.number))
                .replace("COUNT", Integer.toString(processes.size()));
        Path fresh = process.settings().resolveSibling("fresh.json");
        synchronized (process) { // two faults may write at once
            Files.writeString(fresh, text);
            Files.move(fresh, process.settings(), StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Judges requests without an answer by what their process says that it read, and the processes by their own complaints. */
    void judge(List<Long> logsFrom) throws IOException {
        for (Suspect suspect : suspects) {
            String log = Files.readString(suspect.process().log());
            if (log.contains("taken request=" + suspect.id() + " ")) {
                findings.broken(
                        "lost: " + suspect.id() + " at process " + suspect.process().number + ": " + suspect.how());
            } else {
                findings.count(SoakFindings.Count.RESENT);
            }
        }
        suspects.clear();
        judgeRepeats();
        for (int i = 0; i < processes.size(); i++) {
            if (processes.get(i).isUp() && !processes.get(i).isAlive()) {
                findings.broken(
                        "process " + i + " ended by itself: " + processes.get(i).ending());
            }
            long memoryKb = processes.get(i).peakMemoryKb();
            if (memoryKb > MEMORY_LIMIT_KB) {
                findings.broken("process " + i + " had " + memoryKb + " kB of memory");
            }
            List<String> complaints = processes.get(i).complaints(logsFrom.get(i));
            if (!complaints.isEmpty()) {
                findings.timed(
                        lateness.isMachineBusy(),
                        "process " + i + " says: "
                                + complaints.stream().distinct().limit(3).collect(Collectors.joining(" | ")));
            }
        }
    }

    /** An order that ran in two zones, one of them that of a host that was not listed yet, is a fault where the gateway had been told. */
    private void judgeRepeats() throws IOException {
        Set<String> orders = hosts.takeRepeatsAtUnlisted();
        Set<String> told = new HashSet<>();
        for (SoakProcess process : orders.isEmpty() ? List.<SoakProcess>of() : processes) {
            told.addAll(ToldRepeats.in(Files.readAllLines(process.log()), orders));
        }
        for (String order : orders) {
            if (told.contains(order)) {
                findings.broken("duplicate: " + order + ": RAN_IN_TWO_ZONES, and its gateway had been told");
            } else {
                findings.count(SoakFindings.Count.KNOWN_RED); // nobody could tell a gateway (KNOWN-RED.txt)
            }
        }
    }

    @Override
    public void close() throws IOException {
        stop();
        for (SoakProcess process : processes) {
            process.close();
        }
        for (SoakDiscovery discovery : discoveries) {
            discovery.close();
        }
        hosts.close();
        for (SocketChannel reserved : reservedPorts) {
            reserved.close();
        }
    }
}
