package marlford.gateway.upgrade;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Lines between the two processes of an upgrade. One thread may say and wait; a thread of this class reads, so that a
 * wait can end by time. A line that is too long, or one more than is ever outstanding, ends the connection.
 */
final class HandoverChannel implements Closeable {
    private static final int LINE_MAX = 256; // characters
    private static final int AHEAD_MAX = 8; // lines not yet asked for
    private static final String END = ""; // never a line of the protocol

    private final SocketChannel channel;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(AHEAD_MAX);
    private volatile boolean ended;

    HandoverChannel(SocketChannel channel) {
        this.channel = channel;
        Thread reader = new Thread(this::read, "upgrade");
        reader.setDaemon(true);
        reader.start();
    }

    void say(String line) throws IOException {
        ByteBuffer bytes = StandardCharsets.US_ASCII.encode(line + '\n');
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** The next line; null where none came within this time, or none will come. */
    String next(long ms) throws InterruptedException {
        String line = lines.poll(ms, TimeUnit.MILLISECONDS);
        if (line == END) { // the very object, for whoever asks next, too
            lines.offer(END);
            return null;
        }
        return line;
    }

    /** Whether the other side is known to be gone. */
    boolean ended() {
        return ended;
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(Channels.newReader(channel, StandardCharsets.US_ASCII), LINE_MAX)) {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c >= 0 && line.length() <= LINE_MAX; c = in.read()) {
                if (c != '\n') {
                    line.append((char) c);
                } else if (line.length() == 0 || !lines.offer(line.toString())) {
                    break;
                } else {
                    line.setLength(0);
                }
            }
        } catch (IOException e) {
            // ended, which is all that there is to tell
        }
        ended = true;
        while (!lines.offer(END)) {
            lines.poll(); // nobody will act on the lines of one that is gone
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
