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

/** The steps of an upgrade, and the new process's end at each of them. */
class HandOverTest {
    private static final long PATIENCE_MS = 30_000;
    private static final long NEVER_MS = 3_600_000;

    @TempDir
    private Path dir;
    private Path path;
    private final BlockingQueue<String> done = new LinkedBlockingQueue<>(); // with the place
    private final Deque<Closeable> ends = new ArrayDeque<>();
    private boolean away;

    private final Successor.Place place = new Successor.Place() {
        @Override
        public boolean release() {
            done.add("release");
            return away;
        }

        @Override
        public void leave() {
            done.add("leave");
        }

        @Override
        public void takeBack() {
            done.add("takeBack");
        }

        @Override
        public void end() {
            done.add("end");
        }
    };

    @BeforeEach
    void path() {
        path = dir.resolve("s");
    }

    @AfterEach
    void close() throws IOException {
        for (Closeable c : ends) {
            c.close();
        }
    }

    private void running(long probationMs) throws IOException {
        Successor running = new Successor(path, place, line -> { }, probationMs);
        ends.push(running);
        running.open();
    }

    private Predecessor found() throws Exception {
        Predecessor found = Predecessor.find(path, PATIENCE_MS);
        assertNotNull(found);
        ends.push(found);
        return found;
    }

    private String next() throws InterruptedException {
        return done.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** A process of another program, or of another version, that speaks for itself. */
    private SocketChannel stranger(String text) throws IOException {
        SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(path));
        ends.push(channel);
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
    void thePlaceChangesHandsInOrder() throws Exception {
        running(0);
        Predecessor old = found();
        assertTrue(done.isEmpty());
        assertTrue(old.take(PATIENCE_MS));
        assertEquals("release", next());
        assertFalse(old.away());
        assertTrue(done.isEmpty());
        assertTrue(old.serving(PATIENCE_MS));
        assertEquals("leave", next());
        assertEquals("end", next());
    }

    @Test
    void aGatewayThatSendsItsClientsAwayGoesOnDoingSo() throws Exception {
        away = true;
        running(NEVER_MS);
        Predecessor old = found();
        assertTrue(old.take(PATIENCE_MS));
        assertTrue(old.away());
    }

    @Test
    void anEndBeforeTheTakingChangesNothing() throws Exception {
        running(NEVER_MS);
        found().close();
        Predecessor next = found();
        assertTrue(next.take(PATIENCE_MS));
        assertEquals("release", next());
    }

    @Test
    void anEndBeforeServingGivesThePlaceBack() throws Exception {
        running(NEVER_MS);
        Predecessor old = found();
        assertTrue(old.take(PATIENCE_MS));
        old.close();
        assertEquals("release", next());
        assertEquals("takeBack", next());
        Predecessor again = awaitFound();
        assertTrue(again.take(PATIENCE_MS));
        assertEquals("release", next());
    }

    @Test
    void anEndWhileItServesGivesThePlaceBack() throws Exception {
        running(NEVER_MS);
        Predecessor old = found();
        assertTrue(old.take(PATIENCE_MS));
        assertTrue(old.serving(PATIENCE_MS));
        assertEquals("release", next());
        assertEquals("leave", next());
        Successor newer = new Successor(path, place, line -> { }, NEVER_MS);
        newer.open(); // the new process waits for its own successor, and dies
        newer.close();
        old.close();
        assertEquals("takeBack", next());
        assertTrue(awaitFound().take(PATIENCE_MS)); // the old one has its path again
        assertEquals("release", next());
    }

    /** The path is there again a moment after the place is. */
    private Predecessor awaitFound() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        for (Predecessor p = Predecessor.find(path, PATIENCE_MS);; p = Predecessor.find(path, PATIENCE_MS)) {
            if (p != null) {
                ends.push(p);
                return p;
            }
            assertTrue(System.nanoTime() < end, "nobody answers");
            Thread.sleep(5);
        }
    }

    @Test
    void theRunningProcessMayEndAtAnyStep() throws Exception {
        assertNull(Predecessor.find(path, PATIENCE_MS));
        Successor running = new Successor(path, place, line -> { }, NEVER_MS);
        running.open();
        running.close();
        assertNull(Predecessor.find(path, PATIENCE_MS)); // its file is there, and nobody behind it
    }

    @Test
    void anotherVersionIsToldSoAndNothingHappens() throws Exception {
        running(NEVER_MS);
        assertEquals("no: this is marlford-upgrade 1\n", read(stranger("marlford-upgrade 2\n")));
        assertTrue(done.isEmpty());
        Predecessor next = found();
        assertTrue(next.take(PATIENCE_MS));
    }

    @Test
    void aRunningProcessOfAnotherVersionIsLeftAlone() throws Exception {
        ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(path));
        ends.push(other);
        Thread answering = new Thread(() -> {
            try (SocketChannel c = other.accept()) {
                c.write(ByteBuffer.wrap("no: this is marlford-upgrade 9\n".getBytes(StandardCharsets.US_ASCII)));
                c.read(ByteBuffer.allocate(100));
            } catch (IOException e) {
                // the test's end
            }
        });
        answering.start();
        IOException e = assertThrows(IOException.class, () -> Predecessor.find(path, PATIENCE_MS));
        assertTrue(e.getMessage().contains("marlford-upgrade 9"), e.getMessage());
    }

    /** What no process of ours says ends the connection, and the next one is heard. */
    @Test
    void noiseIsPassedOver() throws Exception {
        running(NEVER_MS);
        for (String noise : new String[] {"\n", "x".repeat(1000), "a\n".repeat(50)}) {
            stranger(noise);
        }
        stranger(Successor.HELLO + "\nserving\n");
        assertTrue(awaitFound().take(PATIENCE_MS));
        assertEquals("release", next());
        assertTrue(done.isEmpty());
    }

    /** The folder can't be written to for a while: that once ended a process that served. */
    @Test
    void aSocketThatCanNotBeHadYetIsTriedAgain() throws Exception {
        path = dir.resolve("missing").resolve("s");
        running(NEVER_MS);
        Files.createDirectory(path.getParent());
        assertTrue(awaitFound().take(PATIENCE_MS));
        assertEquals("release", next());
    }

    /** Without a socket for a moment the running process was taken for gone, and the new one ended: its address was in use. */
    @Test
    void aFailedConnectTakesTheRunningProcessForGone() throws Exception {
        running(NEVER_MS);
        AtomicInteger failing = new AtomicInteger(3);
        Predecessor old = Predecessor.find(path, PATIENCE_MS, address -> {
            if (failing.getAndDecrement() > 0) {
                throw new SocketException("Too many open files in system");
            }
            return SocketChannel.open(address);
        });
        assertNotNull(old);
        ends.push(old);
        assertTrue(old.take(PATIENCE_MS));
    }
}
