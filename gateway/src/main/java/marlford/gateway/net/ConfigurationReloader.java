package marlford.gateway.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Watches the configuration file and passes each new valid configuration on. The file is checked every
 * {@value #CHECK_INTERVAL_MS} ms and at once on SIGHUP, and it is read after a change on a thread of this class, so that no
 * request waits for it. An invalid file changes nothing and is read again at each check, because it may be half written.
 *
 * <p>The signal alone is not sufficient. A process that is started with SIGHUP ignored, for example by {@code nohup} or by
 * a shell below it, keeps ignoring it: the virtual machine does not install the handler for an ignored signal and reports
 * no error. A gateway started that way kept using the discovery address of its first configuration forever.
 *
 * <p>Until the virtual machine has installed its signal handlers, SIGHUP ends the process. For this reason the deployment
 * starts the gateway with SIGHUP ignored.
 */
final class ConfigurationReloader {
    static final long CHECK_INTERVAL_MS = 250;

    /**
     * Identifies a version of a file. Neither this class nor the file contents are compared as records, because the first
     * use of a record's generated {@code equals} costs 20 ms of processor time during the start.
     */
    private static final class Stamp {
        private final long modifiedNanos;
        private final long size;
        private final Object key;

        private Stamp(BasicFileAttributes attributes) {
            modifiedNanos = attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS);
            size = attributes.size();
            key = attributes.fileKey();
        }

        static Stamp of(String file) {
            try {
                return new Stamp(Files.readAttributes(Path.of(file), BasicFileAttributes.class));
            } catch (IOException | RuntimeException e) {
                return null; // the file can't be read now; this differs from every version, but not from another null
            }
        }

        static boolean differ(Stamp a, Stamp b) {
            return a == null || b == null ? a != b : a.modifiedNanos != b.modifiedNanos || a.size != b.size
                    || !Objects.equals(a.key, b.key);
        }
    }

    private final String file;
    private Consumer<NodeConfig> follower; // null until follow is called
    private NodeConfig newest;
    private byte[] text; // content of the file from which the newest configuration was parsed
    private Stamp lastStamp; // of the file when it was last read
    private boolean invalid; // the last content was rejected, so the file is read again at the next check
    private boolean hangupReceived;

    private ConfigurationReloader(String file) {
        this.file = file;
    }

    /**
     * Installs the SIGHUP handler. {@code sun.misc.Signal} is not a supported class, but Java has no other way to handle signals,
     * and every release has kept it.
     *
     * @param file path of the configuration file
     */
    @SuppressWarnings("sunapi")
    static ConfigurationReloader onHangup(String file) {
        ConfigurationReloader reloader = new ConfigurationReloader(file);
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> reloader.onHangupSignal());
        if (previous == SignalHandler.SIG_IGN) {
            Node.log("deckfall: SIGHUP is ignored, because the process was started that way; a changed configuration file is read within "
                    + CHECK_INTERVAL_MS + " ms instead");
        }
        return reloader;
    }

    private synchronized void onHangupSignal() {
        hangupReceived = true;
        notifyAll();
    }

    /** Reads the configuration that the process starts with. */
    synchronized NodeConfig first() throws NodeConfig.BadConfig {
        lastStamp = Stamp.of(file); // before reading, so that a concurrent write counts as a change
        text = NodeConfig.readFile(file);
        newest = NodeConfig.parse(file, text);
        return newest;
    }

    /** Checks the file and returns the newest valid configuration. */
    synchronized NodeConfig newest() {
        readIfChanged();
        return newest;
    }

    /**
     * Passes each further configuration to the consumer, on a thread of this class. A configuration newer than
     * {@code held} is passed on before this method returns.
     */
    synchronized void follow(NodeConfig held, Consumer<NodeConfig> followed) {
        follower = followed;
        readIfChanged();
        if (newest != held) {
            follower.accept(newest);
        }
        Thread watcher = new Thread(this::watch, "configuration");
        watcher.setDaemon(true);
        watcher.start();
    }

    private synchronized void watch() {
        try {
            while (true) {
                if (!hangupReceived) {
                    wait(CHECK_INTERVAL_MS);
                }
                if (readIfChanged()) {
                    follower.accept(newest);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the file if it may have changed; returns whether its valid content has changed. */
    private boolean readIfChanged() {
        Stamp stamp = Stamp.of(file);
        boolean changed = Stamp.differ(stamp, lastStamp);
        boolean hangup = hangupReceived;
        hangupReceived = false;
        if (!changed && !hangup && !invalid) {
            return false;
        }
        boolean contentChanged = false;
        try {
            byte[] newText = NodeConfig.readFile(file);
            contentChanged = !Arrays.equals(newText, text);
            if (contentChanged) {
                newest = NodeConfig.parse(file, newText);
                text = newText;
            }
            invalid = false;
            if (contentChanged || hangup) {
                Node.log("deckfall: configuration read" + (hangup ? " on SIGHUP" : " after the file changed")
                        + ": discovery at " + newest.discovery() + (contentChanged ? "" : ", content unchanged"));
            }
        } catch (NodeConfig.BadConfig | RuntimeException e) {
            if (!invalid || hangup || changed) {
                Node.log("deckfall: the changed configuration file is invalid, the previous settings stay in use: " + e.getMessage());
            }
            invalid = true;
        }
        lastStamp = stamp;
        return contentChanged;
    }
}
