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
 * Keeps a process on the newest good configuration. The file is looked at four times a second, and at once at SIGHUP;
 * it is read when it was replaced, on a thread of its own, so that no request waits for it. A file that can't be used
 * changes nothing and is looked at again, since it may be half written.
 *
 * <p>The signal alone is not enough. A process that is started with SIGHUP ignored, as by {@code nohup} or by a shell
 * under it, keeps ignoring it: the virtual machine leaves such a signal alone, whatever handler is set, and says
 * nothing. A gateway so started once went on for good with the discovery that its first file named.
 *
 * <p>Before the virtual machine takes signals, SIGHUP ends the process; the deploy file starts it with SIGHUP ignored.
 */
final class ConfigurationReloader {
    static final long LOOK_MS = 250; // how often the file is looked at

    /**
     * Whether a file was replaced or written to. No record, here and for what is compared below: the first use of a
     * record's own {@code equals} costs a start 20 ms of the processor.
     */
    private static final class Stamp {
        private final long modifiedNanos;
        private final long size;
        private final Object key;

        private Stamp(BasicFileAttributes a) {
            modifiedNanos = a.lastModifiedTime().to(TimeUnit.NANOSECONDS);
            size = a.size();
            key = a.fileKey();
        }

        static Stamp of(String file) {
            try {
                return new Stamp(Files.readAttributes(Path.of(file), BasicFileAttributes.class));
            } catch (IOException | RuntimeException e) {
                return null; // gone for the moment: that, too, is a change
            }
        }

        static boolean differ(Stamp a, Stamp b) {
            return a == null || b == null ? a != b : a.modifiedNanos != b.modifiedNanos || a.size != b.size
                    || !Objects.equals(a.key, b.key);
        }
    }

    private final String file;
    private Consumer<NodeConfig> follower; // null while the process still starts
    private NodeConfig newest;
    private byte[] text; // of which it was read
    private Stamp seen; // of the file as it was last read
    private boolean bad; // so it must be read again
    private boolean hungUp;

    private ConfigurationReloader(String file) {
        this.file = file;
    }

    /** Takes the signal from now on. Java has no other way to it than this class, which all its releases keep. */
    @SuppressWarnings("sunapi")
    static ConfigurationReloader onHangup(String file) {
        ConfigurationReloader reload = new ConfigurationReloader(file);
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> reload.hangUp());
        if (before == SignalHandler.SIG_IGN) {
            Node.log("deckfall: SIGHUP is ignored since before the start: a replaced file is seen " + LOOK_MS
                    + " ms later");
        }
        return reload;
    }

    private synchronized void hangUp() {
        hungUp = true;
        notifyAll();
    }

    /** The configuration to start by. */
    synchronized NodeConfig first() throws NodeConfig.BadConfig {
        seen = Stamp.of(file); // before the reading: what is written meanwhile is a change
        text = NodeConfig.bytes(file);
        newest = NodeConfig.read(file, text);
        return newest;
    }

    /** The newest configuration that can be used, as the file stands now; a bad file leaves the one read before. */
    synchronized NodeConfig newest() {
        look();
        return newest;
    }

    /**
     * From now on each new configuration is passed on, on a thread of this class; one that came since {@code held} was
     * read, before this returns.
     */
    synchronized void follow(NodeConfig held, Consumer<NodeConfig> followed) {
        follower = followed;
        look();
        if (newest != held) {
            follower.accept(newest);
        }
        Thread watch = new Thread(this::watch, "configuration");
        watch.setDaemon(true);
        watch.start();
    }

    private synchronized void watch() {
        try {
            while (true) {
                if (!hungUp) {
                    wait(LOOK_MS);
                }
                if (look()) {
                    follower.accept(newest);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the file where it may have changed; returns whether it now says something new. */
    private boolean look() {
        Stamp now = Stamp.of(file);
        boolean changed = Stamp.differ(now, seen);
        boolean asked = hungUp;
        hungUp = false;
        if (!changed && !asked && !bad) {
            return false;
        }
        boolean news = false;
        try {
            byte[] fresh = NodeConfig.bytes(file);
            news = !Arrays.equals(fresh, text);
            if (news) {
                newest = NodeConfig.read(file, fresh);
                text = fresh;
            }
            bad = false;
            if (news || asked) {
                Node.log("deckfall: configuration read" + (asked ? " at SIGHUP" : " from a replaced file")
                        + ": discovery at " + newest.discovery() + (news ? "" : ", nothing new"));
            }
        } catch (NodeConfig.BadConfig | RuntimeException e) {
            if (!bad || asked || changed) {
                Node.log("deckfall: the settings stay as they were: " + e.getMessage());
            }
            bad = true;
        }
        seen = now;
        return news;
    }
}
