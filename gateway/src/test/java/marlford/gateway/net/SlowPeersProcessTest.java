package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static marlford.gateway.net.Sockets.entries;
import static marlford.gateway.net.Sockets.list;
import static marlford.gateway.net.Sockets.ok;
import static marlford.gateway.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against slow peers that use up the direct memory of the process: its event loop then slept in each allocation, long answers
 * were cut off and other requests were lost.
 */
@Tag("exclusive") // its limits of time allow for no other work on the machine
class SlowPeersProcessTest {
    private static final int SLOW_CLIENTS = 80; // with 128 KiB each they would hold more than twice the direct memory
    private static final String DIRECT_MEMORY = "4m";
    private static final int LONG_BYTES = 12 << 20; // more than the socket buffers of a connection take
    private static final int SHORT_BYTES = 60_000; // short enough to be buffered
    private static final int SMALL_BUFFER_BYTES = 4096; // of a client's socket
    private static final int HOST_BUFFER_BYTES = 256 * 1024; // more than a segment, or the host's system would not tell that it reads again
    private static final int PART_BYTES = 1 << 16;
    private static final int PIPELINED = 16;
    private static final int HOSTS = 24; // so that the held requests leave others a slot
    private static final int OTHER_REQUESTS = 40;
    private static final long OTHER_GAP_MS = 50;
    private static final long MAX_ANSWER_MS = 1000; // of other requests, whose hosts answer at once

    /** What the gateway holds for slow peers. */
    enum Held { LONG_ANSWER, CHUNKED_ANSWER, PIPELINED_SHORT_ANSWERS, LONG_BODY, SHORT_BODY }

    @TempDir
    private Path folder;
    private GatewayProcess gateway;
    private final CountDownLatch released = new CountDownLatch(1); // slow peers go on
    private final List<Socket> slowClients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        for (Socket socket : slowClients) {
            socket.close();
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LONG_BODY")
    void slowClientsDoNotStopTheEventLoop(Held held) throws Exception {
        assertOthersAreServedMeanwhile(held);
    }

    @Test
    void hostsThatReadLongBodiesSlowlyDoNotStopTheEventLoop() throws Exception {
        assertOthersAreServedMeanwhile(Held.LONG_BODY);
    }

    private void assertOthersAreServedMeanwhile(Held held) throws Exception {
        try (RecordingServer fast = new RecordingServer((m, s) -> answer(held, m, s));
                SlowServer slow = new SlowServer(HOST_BUFFER_BYTES, released, HOST_BUFFER_BYTES)) {
            String address = held == Held.LONG_BODY ? slow.address() : fast.address();
            try (DiscoveryAgent agent = new DiscoveryAgent(list(1, true, entries(HOSTS, address)))) {
                start(agent.server.address());
                for (int i = 0; i < SLOW_CLIENTS; i++) {
                    slowClients.add(startSlowClient(held, i));
                }
                assertOthersAreServed();
                released.countDown();
                assertAllServed(held);
            }
        }
    }

    private void answer(Held held, Message request, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        if (!request.startLine().contains("slow")) {
            out.write(ok("done"));
        } else if (held == Held.LONG_ANSWER) {
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n"));
            out.write(new byte[LONG_BYTES]);
        } else if (held == Held.CHUNKED_ANSWER) {
            out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int sent = 0; sent < LONG_BYTES; sent += PART_BYTES) {
                out.write(bytes(Integer.toHexString(PART_BYTES) + "\r\n"));
                out.write(new byte[PART_BYTES]);
                out.write(bytes("\r\n"));
            }
            out.write(bytes("0\r\n\r\n"));
        } else {
            if (held == Held.SHORT_BODY) {
                released.await();
            }
            out.write(ok("y".repeat(SHORT_BYTES)));
        }
    }

    private void start(String discovery) throws Exception {
        gateway = new GatewayProcess(folder, "-XX:MaxDirectMemorySize=" + DIRECT_MEMORY);
        gateway.start(Sockets.config(discovery, "127.0.0.1:0"));
    }

    /** Starts a client that sends at once what its sockets take, and reads nothing yet. */
    private Socket startSlowClient(Held held, int number) throws IOException {
        Socket socket = gateway.connect(SMALL_BUFFER_BYTES);
        OutputStream out = socket.getOutputStream();
        if (held == Held.LONG_BODY || held == Held.SHORT_BODY) {
            int length = held == Held.LONG_BODY ? LONG_BYTES : SHORT_BYTES;
            out.write(bytes("POST /order/slow HTTP/1.1\r\nHost: h\r\n" + Sockets.headers("slow" + number, Sockets.TIMEOUT_MS)
                    + "Idempotency-Key: k" + number + "\r\nContent-Length: " + length + "\r\n\r\n"));
            SlowServer.startDaemon(() -> out.write(new byte[length]));
            return socket;
        }
        for (int i = 0; i < requests(held); i++) {
            out.write(bytes(view("slow-" + number + "-" + i, Sockets.TIMEOUT_MS)));
        }
        return socket;
    }

    private static int requests(Held held) {
        return held == Held.PIPELINED_SHORT_ANSWERS ? PIPELINED : 1;
    }

    private void assertOthersAreServed() throws Exception {
        for (int i = 0; i < OTHER_REQUESTS; i++) {
            try (Socket socket = gateway.connect(0)) {
                long sentNanos = System.nanoTime();
                socket.getOutputStream().write(bytes(view("other" + i, Sockets.TIMEOUT_MS)));
                Message answer = Sockets.read(socket.getInputStream());
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertTrue(answer != null && tookMs <= MAX_ANSWER_MS, "another client waited for " + tookMs + " ms");
            }
            Thread.sleep(OTHER_GAP_MS);
        }
        assertTrue(gateway.maxLateMs() < MAX_ANSWER_MS, "the event loop was late by " + gateway.maxLateMs() + " ms");
    }

    /** All slow clients go on at the same time. */
    private void assertAllServed(Held held) throws Exception {
        ExecutorService readers = Executors.newFixedThreadPool(SLOW_CLIENTS);
        try {
            List<Future<?>> results = new ArrayList<>();
            for (Socket client : slowClients) {
                results.add(readers.submit(() -> {
                    assertServed(held, client);
                    return null;
                }));
            }
            for (Future<?> result : results) {
                result.get();
            }
        } finally {
            readers.shutdownNow();
        }
    }

    /** The client gets its answers whole. */
    private static void assertServed(Held held, Socket client) throws IOException {
        if (held == Held.CHUNKED_ANSWER) {
            InputStream in = client.getInputStream();
            for (int last4 = 0; last4 != ('\r' << 24 | '\n' << 16 | '\r' << 8 | '\n');) {
                last4 = last4 << 8 | in.read();
            }
            assertEquals(LONG_BYTES, LongResponseTest.readChunks(in).length);
            return;
        }
        for (int i = 0; i < requests(held); i++) {
            Message answer = Sockets.read(client.getInputStream());
            assertTrue(answer != null, "an answer was cut off");
            assertEquals(200, answer.status());
        }
    }
}
