package marlford.storm;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import marlford.storm.Fault.Kind;

/** The processes of a run, what lies between them, and whoever plays the faults. */
final class Rig implements Closeable {
    /** The tasks: one holder, two holders, shards, ticks. */
    static final String ONE = "one";

    static final String TWO = "two";
    static final String POOL = "pool";
    static final String TICK = "tick";
    private static final int VOTERS_FEW = 3;
    private static final int VOTERS_MANY = 5;
    private static final int HOSTS = 6;
    private static final long EXPORT_MS = 1000; // an interval of usage
    private static final double TAKES_PART = 5; // of a session, for an act
    private static final int SHARDS = 12;
    private static final String HANDED_OVER = "fleet: handed over in ";
    private static final double MILLION = 1e6;
    private static final long START_MS = 30_000; // until all take part
    private static final long END_MS = 5000; // after SIGTERM
    private static final long LOOK_MS = 20;
    private static final long MINUTE_MS = 60_000;
    static final int PROBE_MS = 400;
    private static final long SAID_MS = 20_000;
    private static final int PORT_FIRST = 10_000;
    private static final int PORT_PARTS = 110; // up to 32,000, below what Linux gives to clients' connections
    private static final int PORTS_EACH = 200;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger();
    private static final int LAST_WORDS = 30; // lines of each process
    private static final int HANDS = 8; // faults that are begun or ended at one moment

    /** A fault as it was played, by the machine's monotonic clock in nanoseconds. */
    record Played(Kind kind, String who, long from, long to) {}

    private final Path folder;
    private final long ttlMs;
    private final double drift;
    private final Map<String, Gateway> gateways = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final List<String> voters = new ArrayList<>();
    private final Map<String, Map<String, LinkProxy>> links = new HashMap<>(); // from, to a voter
    private final Map<String, LinkProxy> toResource = new HashMap<>();
    private final Map<String, Path> copies = new HashMap<>(); // of disks, before their last life
    private final List<Played> played = new CopyOnWriteArrayList<>();
    private final List<String> failed = new CopyOnWriteArrayList<>();
    private final Gateway.Role role;
    private final Hosts hosts; // null where no clients are served
    private final Map<String, Integer> ports = new HashMap<>(); // of voters
    private final List<Integer> clientPorts = new ArrayList<>();
    private final Map<String, Integer> consoles = new HashMap<>();
    private final Resource resource = new Resource();
    private final ScheduledThreadPoolExecutor hands = new ScheduledThreadPoolExecutor(HANDS);
    private long zero;

    /**
     * @param drift by how much the clocks of the processes run wrong: of every three one fast, one slow, one right
     * @param classPath of the program
     * @param options for each process's JVM
     */
    Rig(int count, Gateway.Role role, long ttlMs, double drift, String classPath, List<String> options)
            throws IOException {
        this.folder = scratch();
        this.role = role;
        this.hosts = role == Gateway.Role.AGENT ? null : new Hosts(HOSTS);
        this.ttlMs = ttlMs;
        this.drift = drift;
        for (int i = 0; i < count; i++) {
            names.add("g" + i);
        }
        voters.addAll(names.subList(0, voters(count)));
        for (String v : voters) {
            ports.put(v, freePort());
        }
        for (String name : names) {
            Path own = Files.createDirectories(folder.resolve(name));
            List<String> all = new ArrayList<>(options);
            all.add("-Dmarlford.clock.rate=" + (1 + drift * (1 - names.indexOf(name) % 3)));
            gateways.put(name, new Gateway(name, role, own, classPath, all));
            if (hosts != null) {
                clientPorts.add(freePort());
                consoles.put(name, freePort());
                Files.writeString(
                        own.resolve("node.json"),
                        hosts.settings(
                                name,
                                names.indexOf(name),
                                count,
                                clientPorts.get(clientPorts.size() - 1),
                                consoles.get(name)));
            }
            toResource.put(name, new LinkProxy(resource.address()));
            Map<String, LinkProxy> to = new HashMap<>();
            for (String v : voters) {
                if (!v.equals(name)) {
                    to.put(v, new LinkProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(v))));
                }
            }
            links.put(name, to);
            writeSettings(name);
        }
    }

    /**
     * A new folder for the processes' disks, in memory where the machine has such a place: the faults of disks are the
     * schedule's, and a machine whose own syncs take seconds at times must not add to them.
     */
    private static Path scratch() throws IOException {
        Path memory = Path.of("/dev/shm");
        return Files.isWritable(memory)
                ? Files.createTempDirectory(memory, "marlford-storm")
                : Files.createTempDirectory("marlford-storm");
    }

    /**
     * A port that nobody listens at, of those that the system gives to no client's connection, and of a part of them that other
     * rigs at the same time don't use: a process that is killed finds its port free when it starts again.
     */
    private static int freePort() throws IOException {
        int first = PORT_FIRST + (int) (ProcessHandle.current().pid() % PORT_PARTS) * PORTS_EACH;
        for (int i = 0; i < PORTS_EACH; i++) {
            int port = first + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS_EACH);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                // somebody has it
            }
        }
        throw new IOException("no port is free from " + first + " on");
    }

    static int voters(int gateways) {
        return gateways >= VOTERS_MANY ? VOTERS_MANY : VOTERS_FEW;
    }

    private void writeSettings(String name) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode()
                .put("fleet", "storm")
                .put(
                        "folder",
                        gateways.get(name).settings().resolveSibling("state").toString());
        ArrayNode all = root.putArray("voters");
        for (String v : voters) {
            int port = v.equals(name) ? ports.get(v) : links.get(name).get(v).port();
            all.addObject().put("name", v).put("address", "127.0.0.1:" + port);
        }
        root.putObject("session")
                .put("ttl_ms", ttlMs)
                .put("stall_ms", ttlMs / 3.0)
                .put("drift_ppm", drift * MILLION);
        if (role == Gateway.Role.SERVES) {
            root.putObject("probes").put("every_ms", PROBE_MS);
            root.put("lists", true);
            root.putObject("export")
                    .put("file", folder.resolve("usage").toString())
                    .put("interval_ms", EXPORT_MS);
        }
        ArrayNode tasks = root.putArray("tasks");
        String url = "http://127.0.0.1:" + toResource.get(name).port() + "/act";
        task(tasks, ONE, "single", url, 50).put("holders", 1);
        task(tasks, TWO, "single", url, 100).put("holders", 2);
        task(tasks, POOL, "sharded", url, 200).put("shards", SHARDS);
        task(tasks, TICK, "ticking", url, 500);
        Files.writeString(gateways.get(name).settings(), json.writeValueAsString(root));
    }

    private ObjectNode task(ArrayNode tasks, String name, String kind, String url, int everyMs) {
        return tasks.addObject()
                .put("name", name)
                .put("kind", kind)
                .put("url", url)
                .put("every_ms", everyMs)
                .put("takes_ms", takesMs());
    }

    /** The longest that a holder waits for an act. */
    double takesMs() {
        return ttlMs / TAKES_PART;
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
            while (!gateways.get(name).isUp()) {
                if (System.nanoTime() > end || !gateways.get(name).isAlive()) {
                    System.err.println("storm: " + name + " is not up: "
                            + gateways.get(name).lastLine());
                    return false;
                }
                Thread.sleep(LOOK_MS);
            }
        }
        if (!await(() -> role == Gateway.Role.ALONE || !resource.holder().isEmpty(), end)) {
            return false;
        }
        zero = System.nanoTime();
        return true;
    }

    /** Plays the faults and returns when the time is up. */
    void play(Schedule schedule, long ms) throws InterruptedException {
        for (Fault f : schedule.faults()) {
            hands.schedule(() -> guarded(() -> begin(f)), f.at(), TimeUnit.MILLISECONDS);
        }
        Thread.sleep(Math.max(0, ms - sinceMs())); // what ends later does so while others look
    }

    /** Heals nothing further, and waits until a task is acted on anew; false where it is not within 20 s. */
    boolean awaitAct(String task) throws IOException, InterruptedException {
        long from = System.nanoTime();
        return await(
                () -> resource.notes().stream()
                        .anyMatch(n -> n.taken() && n.task().equals(task) && n.begin() > from),
                from + TimeUnit.MILLISECONDS.toNanos(SAID_MS));
    }

    private interface Check {
        boolean holds() throws IOException;
    }

    /** Whether it comes about before this time. */
    private static boolean await(Check check, long end) throws IOException, InterruptedException {
        while (!check.holds()) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(LOOK_MS);
        }
        return true;
    }

    /** Does something, and waits until each process has said this since; false where one does not within 20 s. */
    boolean awaitSaid(String part, Runnable what) throws IOException, InterruptedException {
        Map<Gateway, Integer> from = new HashMap<>();
        for (Gateway g : gateways.values()) {
            from.put(g, Files.readString(g.log()).length());
        }
        what.run();
        return awaitSaid(part, from, gateways.values());
    }

    /** The same, where each may have said it already. */
    boolean awaitSaid(String part) throws IOException, InterruptedException {
        return awaitSaid(part, Map.of(), gateways.values());
    }

    /** The same of one. */
    boolean awaitSaid(String name, String part) throws IOException, InterruptedException {
        return awaitSaid(part, Map.of(), List.of(gateways.get(name)));
    }

    private boolean awaitSaid(String part, Map<Gateway, Integer> from, Collection<Gateway> all)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SAID_MS);
        for (Gateway g : all) {
            if (!await(() -> Files.readString(g.log()).indexOf(part, from.getOrDefault(g, 0)) >= 0, end)) {
                return false;
            }
        }
        return true;
    }

    /** Milliseconds since all took part. */
    long sinceMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - zero);
    }

    /** What can't be played is a defect of the rig, not a quieter storm. */
    private void guarded(Callable<Void> what) {
        try {
            what.call();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            failed.add("rig: " + e);
        }
    }

    private void after(Fault f, Gateway g, Callable<Void> what) {
        hands.schedule(
                () -> guarded(() -> {
                    synchronized (g) {
                        return what.call();
                    }
                }),
                f.lasts(),
                TimeUnit.MILLISECONDS); // runs after the end of the play, too
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

    /** The process that leads now, as the logs say: whoever said so last, of the latest term. */
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

    private Void begin(Fault f) throws IOException, InterruptedException {
        if (f.kind() == Kind.KILL_ALL) {
            for (String name : names) {
                begin(new Fault(f.at(), Kind.KILL, name, f.lasts()));
            }
            return null;
        }
        if (f.kind() == Kind.AGENT_AWAY || f.kind() == Kind.HANG_HOST) {
            outside(f, true);
            hands.schedule(() -> guarded(() -> outside(f, false)), f.lasts(), TimeUnit.MILLISECONDS);
            return null;
        }
        String who = f.who().equals("leader") ? leader() : f.who().equals("holder") ? resource.holder() : f.who();
        Gateway g = gateways.get(who);
        if (g == null) {
            throw new IllegalStateException("nobody by the name " + who + " for " + f);
        }
        synchronized (g) {
            if (g.isAlive() && !g.isStopped()) {
                long now = System.nanoTime();
                played.add(new Played(f.kind(), who, now, now + TimeUnit.MILLISECONDS.toNanos(f.lasts())));
                play(f, g);
            }
        }
        return null;
    }

    private Void outside(Fault f, boolean begins) {
        if (f.kind() == Kind.AGENT_AWAY) {
            hosts.away(begins);
        } else {
            hosts.hang(f.who(), begins);
        }
        return null;
    }

    private void play(Fault f, Gateway g) throws IOException, InterruptedException {
        switch (f.kind()) {
            case KILL -> {
                g.kill();
                copy(g);
                startAfter(f, g);
            }
            case TERM -> {
                g.term();
                g.awaitEnd(END_MS);
                copy(g);
                startAfter(f, g);
            }
            case STOP -> {
                g.stop();
                after(f, g, () -> {
                    g.go();
                    return null;
                });
            }
            case ISOLATE -> cut(f, g, true, true);
            case MUTE -> cut(f, g, true, false);
            case DEAF -> cut(f, g, false, true);
            case CUT_RESOURCE -> {
                toResource.get(g.name).cut(true, false);
                after(f, g, () -> {
                    toResource.get(g.name).cut(false, false);
                    return null;
                });
            }
            case SLOW_RESOURCE -> {
                toResource.get(g.name).delay(ttlMs / 4);
                after(f, g, () -> {
                    toResource.get(g.name).delay(0);
                    return null;
                });
            }
            case RESET -> around(g).forEach(LinkProxy::reset);
            case EMPTY_DISK -> {
                g.kill();
                wipe(g.disk());
                startAfter(f, g);
            }
            case OLDER_DISK, TURNED_BIT -> {
                g.kill();
                if (f.kind() == Kind.TURNED_BIT) {
                    turnBit(g);
                } else if (copies.containsKey(g.name)) {
                    wipe(g.disk());
                    copyAll(copies.get(g.name), g.disk());
                }
                g.start();
                after(f, g, () -> {
                    g.kill();
                    wipe(g.disk());
                    g.start();
                    return null;
                });
            }
            case FULL_DISK, FAILING_SYNC, HANGING_SYNC -> {
                if (!voters.contains(g.name)) {
                    return;
                }
                Path order = Files.createDirectories(g.disk()).resolve("fault"); // a new life may not have made it yet
                Files.writeString(
                        order, f.kind() == Kind.FULL_DISK ? "full" : f.kind() == Kind.FAILING_SYNC ? "fail" : "hang");
                after(f, g, () -> {
                    Files.deleteIfExists(order);
                    if (f.kind() != Kind.HANGING_SYNC) { // its vote has ended with this life
                        g.kill();
                        g.start();
                    }
                    return null;
                });
            }
            case STEP_BACK -> {
                Path order = Files.writeString(g.disk().resolveSibling("clock"), Long.toString(-MINUTE_MS));
                after(f, g, () -> {
                    Files.deleteIfExists(order);
                    return null;
                });
            }
            default -> throw new IllegalArgumentException("can't play " + f.kind());
        }
    }

    private void startAfter(Fault f, Gateway g) {
        after(f, g, () -> {
            if (!g.isAlive()) {
                g.start();
            }
            return null;
        });
    }

    private void cut(Fault f, Gateway g, boolean out, boolean in) {
        links.get(g.name).values().forEach(l -> l.cut(out, in));
        links.forEach((from, to) -> {
            if (to.containsKey(g.name)) {
                to.get(g.name).cut(in, out);
            }
        });
        after(f, g, () -> {
            around(g).forEach(l -> l.cut(false, false));
            return null;
        });
    }

    private Collection<LinkProxy> around(Gateway g) {
        List<LinkProxy> all = new ArrayList<>(links.get(g.name).values());
        links.values().forEach(to -> {
            if (to.containsKey(g.name)) {
                all.add(to.get(g.name));
            }
        });
        return all;
    }

    /** Before its next life the disk is kept as it is, for that an older one may come back. */
    private void copy(Gateway g) throws IOException {
        if (Files.exists(g.disk())) {
            Path to = folder.resolve("copies").resolve(g.name);
            wipe(to);
            copyAll(g.disk(), to);
            copies.put(g.name, to);
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

    private static void copyAll(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.walk(from)) {
            for (Path p : files.toList()) {
                Path copy = to.resolve(from.relativize(p).toString());
                if (Files.isDirectory(p)) {
                    Files.createDirectories(copy);
                } else {
                    Files.copy(p, copy, StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
    }

    private static void wipe(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(p);
                }
            }
        }
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

    List<Played> played() {
        return played;
    }

    /** The moment at which all took part. */
    long zero() {
        return zero;
    }

    /** How long each planned hand-over took, as the processes say, in milliseconds. */
    List<Long> handOvers() throws IOException {
        List<Long> took = new ArrayList<>();
        for (Gateway g : gateways.values()) {
            try (Stream<String> lines = Files.lines(g.log())) {
                lines.filter(l -> l.contains(HANDED_OVER))
                        .forEach(l -> took.add(Long.parseLong(
                                l.substring(l.indexOf(HANDED_OVER)).replaceAll("\\D", ""))));
            }
        }
        return took;
    }

    /** Lines of the logs that tell of a defect, and faults that could not be played. */
    List<String> defects() throws IOException {
        List<String> found = new ArrayList<>(failed);
        for (Gateway g : gateways.values()) {
            try (Stream<String> lines = Files.lines(g.log())) {
                lines.filter(l -> l.contains("defect")).forEach(l -> found.add(g.name + ": " + l));
            }
        }
        return found;
    }

    /** Of each process whether it runs, and what it said last: for whoever is told that nothing goes on. */
    String lastWords() throws IOException {
        StringBuilder all = new StringBuilder();
        for (String name : names) {
            Gateway g = gateways.get(name);
            List<String> lines = Files.readAllLines(g.log());
            all.append(name)
                    .append(g.isStopped() ? " is stopped" : g.isAlive() ? " runs" : " has ended")
                    .append('\n');
            lines.subList(Math.max(0, lines.size() - LAST_WORDS), lines.size())
                    .forEach(l -> all.append("  ").append(l).append('\n'));
        }
        return all.toString();
    }

    /** Where all that the processes leave lies until the end. */
    Path folder() {
        return folder;
    }

    /** Ends the processes, and keeps what they left in this folder. */
    void keep(Path in) throws IOException {
        end();
        copyAll(folder, in);
    }

    private void end() {
        hands.shutdownNow();
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
        for (Map<String, LinkProxy> to : links.values()) {
            for (LinkProxy l : to.values()) {
                l.close();
            }
        }
        for (LinkProxy l : toResource.values()) {
            l.close();
        }
        resource.close();
        if (hosts != null) {
            hosts.close();
        }
        wipe(folder);
    }
}
