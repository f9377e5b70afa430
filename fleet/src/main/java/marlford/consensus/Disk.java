package marlford.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A file that is appended to, and what may fail of it. */
interface Disk extends Closeable {
    /** Writes all of it at the end. */
    void append(ByteBuffer bytes) throws IOException;

    /** Returns once all that was appended outlives the machine. */
    void force() throws IOException;

    /** The real file. */
    static Disk open(Path file) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        return new Disk() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    /** Puts a finished file in another's place, so that either the one or the other is there after any loss of power. */
    static void replace(Path fresh, Path old) throws IOException {
        Files.move(fresh, old, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(old.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }
}
