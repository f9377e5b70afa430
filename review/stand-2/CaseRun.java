import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a case: its folders, its record, its limit of time and its exit status. */
final class CaseRun {
    static final int RULE_HELD = 0;
    static final int RULE_BROKEN = 10; // play.sh turns it into 1
    static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MS = 115_000;

    /** The case itself. Returns whether the rule held. */
    interface Body {
        boolean run(CaseRun run) throws IOException, InterruptedException;
    }

    final Recorder recorder;
    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private CaseRun(Path root, Path record) throws IOException {
        this.root = root.toAbsolutePath().normalize();
        this.recorder = new Recorder(record);
        this.folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::removeFolder));
    }

    /** @param arguments the root of the repository and the file of the record */
    static void main(String[] arguments, Body body) {
        Thread limit = new Thread(CaseRun::endLate);
        limit.setDaemon(true);
        limit.start();
        int status = COULD_NOT_RUN;
        try {
            CaseRun run = new CaseRun(Path.of(arguments[0]), Path.of(arguments[1]));
            run.recorder.event("case", run.trouble ? "with the disruption" : "without the disruption");
            status = body.run(run) ? RULE_HELD : RULE_BROKEN;
            run.recorder.event("case", status == RULE_HELD ? "the rule held" : "the rule was broken");
        } catch (IOException | RuntimeException | InterruptedException e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static void endLate() {
        try {
            Thread.sleep(LIMIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.err.println("the case could not run: it took too long");
        System.exit(COULD_NOT_RUN);
    }

    /** Starts an api gateway and waits until it is ready. */
    GatewayProcess startGateway(Configuration configuration) throws IOException, InterruptedException {
        GatewayProcess gateway = new GatewayProcess(root, folder, configuration, recorder);
        gateway.awaitReady();
        return gateway;
    }

    private void removeFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).collect(java.util.stream.Collectors.toList())) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("the temporary folder could not be removed: " + e);
        }
    }

    /** Returns the head of a request, with a new id where none is given. */
    static String head(String method, String path, String id, int expiresMs, List<String> further) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Plan: institution\r\n"
                + "X-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: " + expiresMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
                + String.join("", further) + "\r\n";
    }

    /** Returns an id of 16 hex digits. */
    static String newId() {
        return String.format("%016x", java.util.concurrent.ThreadLocalRandom.current().nextLong());
    }
}
