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
 * Exchanges lines with the other process of an upgrade. One thread may send and receive; a separate thread reads the socket, so
 * that a receive can time out. A line that is too long ends the connection, as do an empty line and more queued lines than the
 * protocol ever has outstanding.
 */
final class HandoverChannel implements Closeable {
    private static final int MAX_LINE_CHARS = 256;
    private static final int MAX_QUEUED_LINES = 8; // received and not yet taken
    private static final String END_OF_STREAM = ""; // never a line of the protocol

    private final SocketChannel channel;
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private volatile boolean ended;

    /** Starts the reading thread. */
    HandoverChannel(SocketChannel channel) {
        this.channel = channel;
        Thread reader = new Thread(this::read, "upgrade");
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends a line; blocks until the socket has accepted it. */
    void send(String line) throws IOException {
        ByteBuffer bytes = StandardCharsets.US_ASCII.encode(line + '\n');
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Waits for the next line. Returns null if none arrives within the timeout or the connection has ended. */
    String receive(long timeoutMs) throws InterruptedException {
        String line = lines.poll(timeoutMs, TimeUnit.MILLISECONDS);
        if (line == END_OF_STREAM) { // compared by identity; put back for later calls
            lines.offer(END_OF_STREAM);
            return null;
        }
        return line;
    }

    /** Returns whether the connection is known to have ended. May be called from any thread. */
    boolean isEnded() {
        return ended;
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(Channels.newReader(channel, StandardCharsets.US_ASCII), MAX_LINE_CHARS)) {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c >= 0 && line.length() <= MAX_LINE_CHARS; c = in.read()) {
                if (c != '\n') {
                    line.append((char) c);
                } else if (line.length() == 0 || !lines.offer(line.toString())) {
                    break;
                } else {
                    line.setLength(0);
                }
            }
        } catch (IOException e) {
            // the connection has ended, which is reported below
        }
        ended = true;
        while (!lines.offer(END_OF_STREAM)) {
            lines.poll(); // discard queued lines: the process that sent them is gone
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
