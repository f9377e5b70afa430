package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a process that ended by itself while the slowest permitted client was still reading a long answer. */
class SlowestReaderShutdownTest {
    private static final int ANSWER_BYTES = 5_500_000;
    private static final int PIECE_BYTES = 16_000;
    private static final long PIECE_INTERVAL_MS = 250; // 64 kB a second: 86 s in all
    private static final int CLIENT_WINDOW_BYTES = 64 * 1024;

    @TempDir
    private Path folder;

    @Test
    void theSlowestClientGetsItsWholeAnswer() throws Exception {
        try (RecordingServer host = new RecordingServer((m, s) -> answer(s));
                DiscoveryAgent agent = new DiscoveryAgent(Sockets.list(1, true, Sockets.entries(1, host.address())));
                GatewayProcess gateway = new GatewayProcess(folder)) {
            gateway.start(Sockets.config(agent.server.address(), "127.0.0.1:0"));
            try (Socket client = gateway.connect(CLIENT_WINDOW_BYTES)) {
                client.getOutputStream().write(bytes(Sockets.view("long", Sockets.TIMEOUT_MS)));
                InputStream in = client.getInputStream();
                Sockets.readHead(in);
                gateway.process().destroy(); // SIGTERM
                assertEquals(ANSWER_BYTES, readSlowly(in));
            }
            assertTrue(gateway.process().waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, gateway.process().exitValue());
        }
    }

    private static void answer(Socket socket) throws IOException {
        socket.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
        socket.getOutputStream().write(new byte[ANSWER_BYTES]);
    }

    /** Returns how many bytes have come before the end of the answer or of the connection. */
    private static int readSlowly(InputStream in) throws IOException, InterruptedException {
        int received = 0;
        for (int read = PIECE_BYTES; read > 0;) {
            Thread.sleep(PIECE_INTERVAL_MS);
            read = in.readNBytes(Math.min(PIECE_BYTES, ANSWER_BYTES - received)).length;
            received += read;
        }
        return received;
    }
}
