package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import marlford.gateway.net.Sockets.DiscoveryAgent;
import marlford.gateway.net.Sockets.Message;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against answers that a process which ended by itself cut off: their hosts had given all, and the end still waited in the process for
 * a client that read slowly.
 */
class HeldAnswerShutdownTest {
    private static final int CLIENTS = 36;
    /** The lengths differ by less than the process holds for a client, so that some ends wait there, whatever the sockets hold. */
    private static final int LENGTH_STEP_BYTES = 20_000;

    private static final int SHORTEST_BYTES = 200_000;
    private static final int CLIENT_WINDOW_BYTES = 64 * 1024;
    private static final int CHUNK_BYTES = 7000;
    private static final int PIECE_BYTES = 10_000;
    private static final long PIECE_INTERVAL_MS = 20;
    private static final long SECOND_SIGNAL_AFTER_MS = 500;
    private static final long READ_AFTER_MS = 2500; // of the signal, which is beyond the exit time
    private static final int LONGEST_DEADLINE_MS = 600; // the exit time is 0.4 s later
    private static final long STOPPED_CLIENTS_LIMIT_MS = 24_000; // a client that reads nothing is ended within 22 s
    private static final String DEADLINE = "\"hard_limit_ms\": 60000";

    /** The form of the answer and of the request. */
    private enum Form {
        LENGTH, CHUNKED, END_OF_CONNECTION, LAST_ON_ITS_CONNECTION, ANOTHER_REQUEST_BEHIND;

        static Form of(int client) {
            return values()[client % values().length];
        }
    }

    /** What makes the process end. */
    private enum Ending { TERM, TERM_TWICE, CLIENTS_SENT_AWAY, UPGRADE }

    @TempDir
    private Path folder;

    private RecordingServer host;
    private DiscoveryAgent discovery;
    private GatewayProcess gateway;
    private GatewayProcess successor;
    private final AtomicIntegerArray given = new AtomicIntegerArray(CLIENTS); // 1: the gateway has taken the whole answer
    private String config;
    private int consolePort;

    @BeforeEach
    void startGateway() throws Exception {
        host = new RecordingServer(this::answer);
        discovery = new DiscoveryAgent(Sockets.list(1, true, Sockets.entries(CLIENTS, host.address())));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            consolePort = free.getLocalPort();
        }
        config = Sockets.config(discovery.server.address(), "127.0.0.1:0").replace(DEADLINE, "\"hard_limit_ms\": " + LONGEST_DEADLINE_MS);
        gateway = new GatewayProcess(folder);
        gateway.start(config.replace("\"console\": \"127.0.0.1:0\"", "\"console\": \"127.0.0.1:" + consolePort + "\""));
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        if (successor != null) {
            successor.close();
        }
        discovery.close();
        host.close();
    }

    private static int lengthOf(int client) {
        return SHORTEST_BYTES + client * LENGTH_STEP_BYTES;
    }

    /** Answers at full speed and ends its side of the connection; the gateway's end shows that it has taken the whole answer. */
    private void answer(Message request, Socket socket) throws IOException {
        if (!request.header("X-Trace-Id").startsWith("long")) {
            socket.getOutputStream().write(Sockets.ok("short"));
            return;
        }
        int client = Integer.parseInt(request.header("X-Trace-Id").replaceAll("\\D", ""));
        Form form = Form.of(client);
        OutputStream out = socket.getOutputStream();
        String framing = form == Form.CHUNKED ? "Transfer-Encoding: chunked\r\n"
                : form == Form.END_OF_CONNECTION ? "" : "Content-Length: " + lengthOf(client) + "\r\n";
        out.write(bytes("HTTP/1.1 200 OK\r\nConnection: close\r\n" + framing + "\r\n"));
        out.write(form == Form.CHUNKED ? Sockets.chunked(lengthOf(client), CHUNK_BYTES) : new byte[lengthOf(client)]);
        socket.shutdownOutput();
        socket.getInputStream().read();
        given.set(client, 1);
    }

    /** A client and what it has read. */
    private final class SlowReader {
        final int number;
        final Socket socket;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        SlowReader(int number) throws IOException {
            this.number = number;
            this.socket = gateway.connect(CLIENT_WINDOW_BYTES);
            String request = Sockets.view("long" + number, LONGEST_DEADLINE_MS);
            if (Form.of(number) == Form.LAST_ON_ITS_CONNECTION) {
                request = request.replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
            }
            socket.getOutputStream().write(bytes(request));
        }

        /** Reads in pieces until the gateway has taken the whole answer, and then nothing. */
        Void readUntilGiven() throws Exception {
            while (given.get(number) == 0) {
                received.write(socket.getInputStream().readNBytes(PIECE_BYTES));
                Thread.sleep(PIECE_INTERVAL_MS);
            }
            if (Form.of(number) == Form.ANOTHER_REQUEST_BEHIND) {
                socket.getOutputStream().write(bytes(Sockets.view("behind" + number, LONGEST_DEADLINE_MS)));
            }
            return null;
        }

        /** Reads the rest of the answer; returns the length of its body, or -1 where its end does not come. */
        int bodyBytes() throws IOException {
            try (socket) {
                InputStream in = new SequenceInputStream(new ByteArrayInputStream(received.toByteArray()),
                        new BufferedInputStream(socket.getInputStream()));
                return Sockets.readBody(Sockets.readHead(in), in);
            } catch (IOException e) {
                return -1;
            }
        }
    }

    /** Lets each client ask for a long answer; returns when the gateway has taken all of them from their hosts. */
    private List<SlowReader> askAll() throws Exception {
        List<SlowReader> clients = new ArrayList<>();
        List<Future<Void>> reading = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int i = 0; i < CLIENTS; i++) {
            SlowReader client = new SlowReader(i);
            clients.add(client);
            reading.add(threads.submit(client::readUntilGiven));
        }
        for (Future<Void> each : reading) {
            each.get(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        threads.shutdown();
        return clients;
    }

    private void end(Ending ending) throws Exception {
        if (ending == Ending.CLIENTS_SENT_AWAY) {
            try (Socket console = new Socket(InetAddress.getLoopbackAddress(), consolePort)) {
                console.getOutputStream().write(bytes("POST /admin/quiesce HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
                assertEquals(200, Sockets.read(console.getInputStream()).status());
            }
        } else if (ending == Ending.UPGRADE) {
            successor = gateway.startSuccessor(config);
        }
        gateway.process().destroy();
        if (ending == Ending.TERM_TWICE) {
            Thread.sleep(SECOND_SIGNAL_AFTER_MS);
            gateway.process().destroy();
        }
    }

    @ParameterizedTest
    @EnumSource
    void whatTheProcessHoldsReachesItsClients(Ending ending) throws Exception {
        List<SlowReader> clients = askAll();
        end(ending);
        Thread.sleep(READ_AFTER_MS);
        List<String> cut = new ArrayList<>();
        for (SlowReader client : clients) {
            int received = client.bodyBytes();
            if (received != lengthOf(client.number)) {
                cut.add(Form.of(client.number) + ": " + received + " of " + lengthOf(client.number));
            }
        }
        assertEquals(List.of(), cut);
        assertTrue(gateway.process().waitFor(Sockets.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, gateway.process().exitValue());
    }

    @Test
    void clientsThatReadNothingDoNotHoldTheProcess() throws Exception {
        askAll();
        end(Ending.TERM);
        assertTrue(gateway.process().waitFor(STOPPED_CLIENTS_LIMIT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, gateway.process().exitValue());
    }
}
