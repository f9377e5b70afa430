package marlford.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** An append-only file, as an interface so that tests can make it fail. */
interface Disk extends Closeable {
    /** Appends all bytes. */
    void append(ByteBuffer bytes) throws IOException;

    /** Returns once everything appended is durable. */
    void force() throws IOException;

    /** Opens a file. */
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

    /** Atomically and durably replaces a file by another. */
    static void replace(Path fresh, Path old) throws IOException {
        Files.move(fresh, old, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(old.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }
}
