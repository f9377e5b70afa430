import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One case: runs against processes of the gateway. Its exit statuses are its own, because a virtual machine that cannot start ends
 * with 1; run.sh turns them into 0, 1 and 2.
 */
abstract class Case {
    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int NOT_RUN = 12;

    final Record record;
    final Path root;
    final Path work;
    final boolean trouble;
    private final List<Gateway> gateways = new CopyOnWriteArrayList<>();

    Case(Path root, Path work, Path recordFile) throws Exception {
        this.root = root;
        this.work = work;
        this.record = new Record(recordFile);
        this.trouble = !"0".equals(System.getenv("TROUBLE"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** A process of the gateway that ends with the case at the latest. */
    Gateway newGateway(String name) throws Exception {
        Gateway gateway = new Gateway(record, root, work.resolve(name), name);
        gateways.add(gateway);
        return gateway;
    }

    private void killAll() {
        for (Gateway gateway : gateways) {
            try {
                gateway.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void addLogs() throws Exception {
        for (Gateway gateway : gateways) {
            if (Files.exists(gateway.folder.resolve("log"))) {
                record.add("log of " + gateway.name + ":\n" + gateway.log());
            }
        }
    }

    /** Plays the case and ends this process with its verdict. */
    void run() {
        int status = NOT_RUN;
        try {
            record.say(trouble ? "with the disruption" : "without the disruption");
            status = play() ? HELD : BROKEN;
            killAll();
            addLogs();
        } catch (Exception e) {
            record.say("the case could not run: " + e);
        }
        record.say(status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "no verdict");
        record.close();
        System.exit(status);
    }
}
