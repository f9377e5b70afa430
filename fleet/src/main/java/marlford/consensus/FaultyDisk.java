package marlford.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A disk that fails as a control file says: {@code full} (write fails), {@code fail} (sync fails) or {@code hang}
 * (sync blocks until the file is gone). For fault injection only ({@code -Dmarlford.faults=true}).
 */
final class FaultyDisk implements Disk {
    private static final long LOOK_MS = 20;

    private final Disk real;
    private final Path orders;

    FaultyDisk(Disk real, Path orders) {
        this.real = real;
        this.orders = orders;
    }

    private String order() throws IOException {
        return Files.exists(orders) ? Files.readString(orders).trim() : "";
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
        if (order().equals("full")) {
            throw new IOException("no space left on device (as ordered)");
        }
        real.append(bytes);
    }

    @Override
    public void force() throws IOException {
        if (order().equals("fail")) {
            throw new IOException("the sync failed (as ordered)");
        }
        while (order().equals("hang")) {
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        real.force();
    }

    @Override
    public void close() throws IOException {
        real.close();
    }
}
