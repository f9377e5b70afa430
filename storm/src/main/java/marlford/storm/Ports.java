package marlford.storm;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports of loopback for the processes, below those that the system gives to client connections, and from a range of this
 * process's own: a killed process finds its port free when it starts again, beside other runs on the machine. Thread-safe.
 */
final class Ports {
    private static final int FIRST = 10_000;
    private static final int RANGES = 110; // up to 32,000, where Linux's ephemeral ports begin
    private static final int RANGE_SIZE = 200;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private Ports() {}

    /** A port on which nobody listens. */
    static int free() throws IOException {
        int first = FIRST + (int) (ProcessHandle.current().pid() % RANGES) * RANGE_SIZE;
        for (int i = 0; i < RANGE_SIZE; i++) {
            int port = first + Math.floorMod(NEXT.getAndIncrement(), RANGE_SIZE);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // in use: the next one
            }
        }
        throw new IOException("no port is free from " + first + " on");
    }
}
