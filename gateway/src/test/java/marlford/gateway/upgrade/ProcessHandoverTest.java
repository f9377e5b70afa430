package marlford.gateway.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.SocketException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The steps of an upgrade, and either process ending at each of them. */
class ProcessHandoverTest {
    private static final long PATIENCE_MS = 30_000;
    private static final long NEVER_MS = 3_600_000;

    @TempDir
    private Path dir;
    private Path path;
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>(); // calls of the running process's side, in order
    private final Deque<Closeable> resources = new ArrayDeque<>();
    private boolean quiesced;

    private final HandoverServer.ServingProcess servingProcess = new HandoverServer.ServingProcess() {
        @Override
        public boolean handOver() {
            calls.add("release");
            return quiesced;
        }

        @Override
        public void stopAccepting() {
            calls.add("leave");
        }

        @Override
        public void resume() {
            calls.add("takeBack");
        }

        @Override
        public void shutDown() {
            calls.add("end");
        }
    };

    @BeforeEach
    void setPath() {
        path = dir.resolve("s");
    }

    @AfterEach
    void close() throws IOException {
        for (Closeable resource : resources) {
            resource.close();
        }
    }

    /** Starts the running process's side. */
    private void startRunningProcess(long probationMs) throws IOException {
        HandoverServer running = new HandoverServer(path, servingProcess, line -> { }, probationMs);
        resources.push(running);
        running.open();
    }

    /** Connects the new process's side, which must find the running process. */
    private HandoverClient connectNewProcess() throws Exception {
        HandoverClient found = HandoverClient.find(path, PATIENCE_MS);
        assertNotNull(found);
        resources.push(found);
        return found;
    }

    /** Waits for the next call of the running process's side. */
    private String nextCall() throws InterruptedException {
        return calls.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Connects and sends raw text, as another program or another version would. */
    private SocketChannel sendRaw(String text) throws IOException {
        SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(path));
        resources.push(channel);
        channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        return channel;
    }

    private static String read(SocketChannel channel) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(100);
        while (channel.read(bytes) >= 0 && bytes.hasRemaining()) {
            continue;
        }
        return new String(bytes.array(), 0, bytes.position(), StandardCharsets.US_ASCII);
    }

    @Test
    void theStepsOfAHandoverHappenInOrder() throws Exception {
        startRunningProcess(0);
        HandoverClient predecessor = connectNewProcess();
        assertTrue(calls.isEmpty());
        assertTrue(predecessor.takeOver(PATIENCE_MS));
        assertEquals("release", nextCall());
        assertFalse(predecessor.wasQuiesced());
        assertTrue(calls.isEmpty());
        assertTrue(predecessor.reportServing(PATIENCE_MS));
        assertEquals("leave", nextCall());
        assertEquals("end", nextCall());
    }

    @Test
    void theNewProcessLearnsThatClientsAreBeingSentAway() throws Exception {
        quiesced = true;
        startRunningProcess(NEVER_MS);
        HandoverClient predecessor = connectNewProcess();
        assertTrue(predecessor.takeOver(PATIENCE_MS));
        assertTrue(predecessor.wasQuiesced());
    }

    @Test
    void aNewProcessThatEndsBeforeTakingOverChangesNothing() throws Exception {
        startRunningProcess(NEVER_MS);
        connectNewProcess().close();
        HandoverClient nextProcess = connectNewProcess();
        assertTrue(nextProcess.takeOver(PATIENCE_MS));
        assertEquals("release", nextCall());
    }

    @Test
    void aNewProcessThatEndsBeforeServingIsReplacedByTheOldOne() throws Exception {
        startRunningProcess(NEVER_MS);
        HandoverClient predecessor = connectNewProcess();
        assertTrue(predecessor.takeOver(PATIENCE_MS));
        predecessor.close();
        assertEquals("release", nextCall());
        assertEquals("takeBack", nextCall());
        HandoverClient anotherAttempt = awaitRunningProcess();
        assertTrue(anotherAttempt.takeOver(PATIENCE_MS));
        assertEquals("release", nextCall());
    }

    @Test
    void aNewProcessThatEndsDuringProbationIsReplacedByTheOldOne() throws Exception {
        startRunningProcess(NEVER_MS);
        HandoverClient predecessor = connectNewProcess();
        assertTrue(predecessor.takeOver(PATIENCE_MS));
        assertTrue(predecessor.reportServing(PATIENCE_MS));
        assertEquals("release", nextCall());
        assertEquals("leave", nextCall());
        HandoverServer newer = new HandoverServer(path, servingProcess, line -> { }, NEVER_MS);
        newer.open(); // the new process opens its own socket at the path, and ends
        newer.close();
        predecessor.close();
        assertEquals("takeBack", nextCall());
        assertTrue(awaitRunningProcess().takeOver(PATIENCE_MS)); // the old process has bound the path again
        assertEquals("release", nextCall());
    }

    /** The socket is bound again shortly after {@code resume}. */
    private HandoverClient awaitRunningProcess() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        for (HandoverClient found = HandoverClient.find(path, PATIENCE_MS);; found = HandoverClient.find(path, PATIENCE_MS)) {
            if (found != null) {
                resources.push(found);
                return found;
            }
            assertTrue(System.nanoTime() < deadline, "no process answers at the path");
            Thread.sleep(5);
        }
    }

    @Test
    void noProcessIsFoundWithoutASocketOrBehindAStaleOne() throws Exception {
        assertNull(HandoverClient.find(path, PATIENCE_MS));
        HandoverServer running = new HandoverServer(path, servingProcess, line -> { }, NEVER_MS);
        running.open();
        running.close();
        assertNull(HandoverClient.find(path, PATIENCE_MS)); // the socket file exists, but no process listens
    }

    @Test
    void aNewProcessOfAnotherVersionIsRejected() throws Exception {
        startRunningProcess(NEVER_MS);
        assertEquals("no: this is marlford-upgrade 1\n", read(sendRaw("marlford-upgrade 2\n")));
        assertTrue(calls.isEmpty());
        HandoverClient nextProcess = connectNewProcess();
        assertTrue(nextProcess.takeOver(PATIENCE_MS));
    }

    @Test
    void aRunningProcessOfAnotherVersionIsNotTakenOver() throws Exception {
        ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(path));
        resources.push(other);
        Thread otherProcess = new Thread(() -> {
            try (SocketChannel connection = other.accept()) {
                connection.write(ByteBuffer.wrap("no: this is marlford-upgrade 9\n".getBytes(StandardCharsets.US_ASCII)));
                connection.read(ByteBuffer.allocate(100));
            } catch (IOException e) {
                // closed at the end of the test
            }
        });
        otherProcess.start();
        IOException e = assertThrows(IOException.class, () -> HandoverClient.find(path, PATIENCE_MS));
        assertTrue(e.getMessage().contains("marlford-upgrade 9"), e.getMessage());
    }

    /** Input that violates the protocol ends its connection, and the next connection is served. */
    @Test
    void invalidInputEndsOnlyItsOwnConnection() throws Exception {
        startRunningProcess(NEVER_MS);
        for (String input : new String[] {"\n", "x".repeat(1000), "a\n".repeat(50)}) {
            sendRaw(input);
        }
        sendRaw(HandoverServer.VERSION_LINE + "\nserving\n");
        assertTrue(awaitRunningProcess().takeOver(PATIENCE_MS));
        assertEquals("release", nextCall());
        assertTrue(calls.isEmpty());
    }

    /** Guards against a serving process that ends because its socket's folder cannot be written to for a while. */
    @Test
    void aSocketThatCannotBeOpenedYetIsRetried() throws Exception {
        path = dir.resolve("missing").resolve("s");
        startRunningProcess(NEVER_MS);
        Files.createDirectory(path.getParent());
        assertTrue(awaitRunningProcess().takeOver(PATIENCE_MS));
        assertEquals("release", nextCall());
    }

    /**
     * Guards against taking the running process for ended when this machine briefly has no socket to connect with; the new
     * process would then fail, since the address is in use.
     */
    @Test
    void aLocalConnectFailureIsRetried() throws Exception {
        startRunningProcess(NEVER_MS);
        AtomicInteger failuresLeft = new AtomicInteger(3);
        HandoverClient predecessor = HandoverClient.find(path, PATIENCE_MS, address -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new SocketException("Too many open files in system");
            }
            return SocketChannel.open(address);
        });
        assertNotNull(predecessor);
        resources.push(predecessor);
        assertTrue(predecessor.takeOver(PATIENCE_MS));
    }
}
