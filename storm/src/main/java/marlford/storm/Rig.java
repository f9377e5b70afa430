package marlford.storm;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A cluster of processes of the program on loopback, with proxies between them and an injector of faults. */
final class Rig implements Closeable {
    /** The tasks: one holder, two holders, shards, ticks. */
    static final String ONE = "one";

    static final String TWO = "two";
    static final String POOL = "pool";
    static final String TICK = "tick";
    private static final int VOTERS_FEW = 3;
    private static final int VOTERS_MANY = 5;
    private static final int HOSTS = 6;
    private static final long START_MS = 30_000; // until all take part
    static final int PROBE_MS = 400;
    private static final long SAID_MS = 20_000;

    private final Path folder;
    private final Map<String, Gateway> gateways = new LinkedHashMap<>();
    private final List<String> names = new ArrayList<>();
    private final List<String> voters = new ArrayList<>();
    private final Gateway.Role role;
    private final Hosts hosts; // null where no clients are served
    private final Map<String, Integer> ports = new LinkedHashMap<>(); // of voters
    private final List<Integer> clientPorts = new ArrayList<>();
    private final Map<String, Integer> consoles = new HashMap<>();
    private final Resource resource = new Resource();
    private final FleetSettings settings;
    private final ProxyNetwork network;
    private final FaultInjector faults;
    private final ProcessLogs logs;
    private long zero;

    /**
     * @param drift by how much the clocks of the processes run wrong: of every three one fast, one slow, one right
     * @param classPath of the program
     * @param options for each process's JVM
     */
    Rig(int count, Gateway.Role role, long ttlMs, double drift, String classPath, List<String> options)
            throws IOException {
        this.folder = Directories.createTemporary();
        this.role = role;
        this.hosts = role == Gateway.Role.AGENT ? null : new Hosts(HOSTS);
        for (int i = 0; i < count; i++) {
            names.add("g" + i);
        }
        voters.addAll(names.subList(0, voters(count)));
        for (String v : voters) {
            ports.put(v, Ports.free());
        }
        this.settings = new FleetSettings(ports, ttlMs, drift, role == Gateway.Role.SERVES ? exported() : null);
        this.network = new ProxyNetwork(names, ports, resource.address());
        for (String name : names) {
            List<String> all = new ArrayList<>(options);
            all.add("-Dmarlford.clock.rate=" + (1 + drift * (1 - names.indexOf(name) % 3)));
            addProcess(name, classPath, all);
        }
        this.faults = new FaultInjector(gateways, voters, network, resource, hosts, folder.resolve("copies"), ttlMs);
        this.logs = new ProcessLogs(gateways.values());
    }

    private void addProcess(String name, String classPath, List<String> options) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name));
        gateways.put(name, new Gateway(name, role, own, classPath, options));
        if (hosts != null) {
            int port = Ports.free();
            clientPorts.add(port);
            consoles.put(name, Ports.free());
            Files.writeString(
                    own.resolve("node.json"),
                    hosts.settings(name, names.indexOf(name), names.size(), port, consoles.get(name)));
        }
        settings.write(gateways.get(name).settings(), name, network);
    }

    static int voters(int gateways) {
        return gateways >= VOTERS_MANY ? VOTERS_MANY : VOTERS_FEW;
    }

    /** The longest that a holder waits for an act. */
    double takesMs() {
        return settings.takesMs();
    }

    /**
     * Starts all and returns once each takes part and the single task is acted on, so that faults that are meant for its holder
     * find one; false where that does not come about.
     */
    boolean start() throws IOException, InterruptedException {
        for (String name : names) {
            gateways.get(name).start();
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        for (String name : names) {
            if (!awaitUp(gateways.get(name), end)) {
                System.err.println(
                        "storm: " + name + " is not up: " + gateways.get(name).lastLine());
                return false;
            }
        }
        if (!Await.until(() -> role == Gateway.Role.ALONE || !resource.holder().isEmpty(), end)) {
            return false;
        }
        zero = System.nanoTime();
        return true;
    }

    private static boolean awaitUp(Gateway process, long end) throws IOException, InterruptedException {
        return Await.until(() -> process.isUp() || !process.isAlive(), end) && process.isUp();
    }

    /** Plays the faults and returns when the time is up; a fault that ends later does so while others look. */
    void play(Schedule schedule, long ms) throws InterruptedException {
        faults.schedule(schedule);
        Thread.sleep(Math.max(0, ms - sinceMs()));
    }

    /** Heals nothing further, and waits until a task is acted on anew; false where it is not within 20 s. */
    boolean awaitAct(String task) throws IOException, InterruptedException {
        long from = System.nanoTime();
        return Await.until(
                () -> resource.notes().stream()
                        .anyMatch(n -> n.taken() && n.task().equals(task) && n.begin() > from),
                from + TimeUnit.MILLISECONDS.toNanos(SAID_MS));
    }

    /** Does something, and waits until each process has said this since; false where one does not within 20 s. */
    boolean awaitSaid(String part, Runnable what) throws IOException, InterruptedException {
        return logs.awaitAfter(what, part);
    }

    /** The same, where each may have said it already. */
    boolean awaitSaid(String part) throws IOException, InterruptedException {
        return logs.await(part);
    }

    /** The same of one. */
    boolean awaitSaid(String name, String part) throws IOException, InterruptedException {
        return new ProcessLogs(List.of(gateways.get(name))).await(part);
    }

    /** Milliseconds since all took part. */
    long sinceMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - zero);
    }

    /** Another process under the name of one of these; it is not part of the play, and whoever starts it ends it. */
    Gateway twin(String of) throws IOException {
        Gateway twin = new Gateway(
                of,
                role,
                Files.createDirectories(folder.resolve(of + "-twin")),
                System.getProperty("java.class.path"),
                List.of());
        Files.writeString(
                twin.settings(),
                Files.readString(gateways.get(of).settings())
                        .replace(
                                folder.resolve(of).toString(),
                                folder.resolve(of + "-twin").toString()));
        return twin;
    }

    /** Where voters are reached without anything between. */
    Map<String, InetSocketAddress> voterAddresses() {
        Map<String, InetSocketAddress> at = new HashMap<>();
        ports.forEach((v, port) -> at.put(v, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
        return at;
    }

    /** What a process's console says on this page. */
    String page(String name, String path) throws IOException {
        try (InputStream in = new URL("http://127.0.0.1:" + consoles.get(name) + path).openStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Where clients are served. */
    List<Integer> clientPorts() {
        return clientPorts;
    }

    /** The gateways by name. */
    Map<String, Gateway> gateways() {
        return gateways;
    }

    Hosts hosts() {
        return hosts;
    }

    /** Where the fleet's usage goes. */
    Path exported() {
        return folder.resolve("usage");
    }

    List<Note> notes() {
        return resource.notes();
    }

    List<FaultInjector.Played> played() {
        return faults.played();
    }

    /** The moment at which all took part. */
    long zero() {
        return zero;
    }

    /** How long each planned handover took, in milliseconds. */
    List<Long> handOvers() throws IOException {
        return logs.handOvers();
    }

    /** Lines of the logs that tell of a defect, and faults that could not be played. */
    List<String> defects() throws IOException {
        List<String> found = new ArrayList<>(faults.failures());
        found.addAll(logs.defects());
        return found;
    }

    /** Of each process whether it runs, and what it said last: for whoever is told that nothing goes on. */
    String lastWords() throws IOException {
        return logs.lastLines();
    }

    /** Where all that the processes leave lies until the end. */
    Path folder() {
        return folder;
    }

    /** Ends the processes, and keeps what they left in this folder. */
    void keep(Path in) throws IOException {
        end();
        Directories.copy(folder, in);
    }

    private void end() {
        faults.close();
        for (Gateway g : gateways.values()) {
            try {
                g.kill(); // a stopped one dies, too
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        end();
        network.close();
        resource.close();
        if (hosts != null) {
            hosts.close();
        }
        Directories.delete(folder);
    }
}
