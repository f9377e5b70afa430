import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A few clients take seconds to read a long answer, in pieces. Does each get the whole of it? */
final class SlowReaderOfLongAnswer extends Case {
    private static final int HOSTS = 3;
    private static final int READERS = 8;
    private static final int ANSWER_BYTES = 8_000_000; // the pages allow 32 MB
    private static final int[] READ_BYTES = {64 * 1024, 1024 * 1024, ANSWER_BYTES}; // up to where a reader reads in one go
    private static final long READER_PAUSE_MS = 4000; // what a slow reader waits after each piece but the last
    private static final int EXPIRES_MS = 6000;
    private static final int GIVE_UP_MS = 40_000;
    private static final long FIRST_CUSTOMER = 1_000_000;

    private final byte[] longAnswer = new byte[ANSWER_BYTES];
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger notBegun = new AtomicInteger(); // refused or failed, which the rule on long answers does not cover

    private SlowReaderOfLongAnswer(Path root, Path work, Path record) throws Exception {
        super(root, work, record);
        new Random(1).nextBytes(longAnswer);
    }

    public static void main(String[] args) throws Exception {
        new SlowReaderOfLongAnswer(Path.of(args[0]), Path.of(args[1]), Path.of(args[2])).run();
    }

    @Override
    boolean play() throws Exception {
        Discovery discovery = new Discovery(record, "discovery", 40);
        for (int i = 0; i < HOSTS; i++) {
            discovery.set("s-" + i, new Server(this::serveHost).address(), "room-a", "ready", 0);
        }
        Gateway gateway = newGateway("n0");
        Site site = new Site();
        site.discovery = discovery.address();
        gateway.configure(site.config(gateway));
        gateway.start();
        gateway.awaitReady();
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            long customer = FIRST_CUSTOMER + i;
            readers.add(Server.daemon(() -> readLongAnswer(gateway, customer)));
        }
        for (Thread reader : readers) {
            reader.join();
        }
        record.say("long answers: " + whole + " whole, " + cut + " cut off, " + notBegun + " not begun");
        return cut.get() == 0 && gateway.isAlive();
    }

    private void serveHost(InputStream in, Socket socket) throws IOException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String id = request.header("x-trace-id");
            record.add("host: received " + id);
            try {
                socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n"));
                socket.getOutputStream().write(longAnswer);
                record.add("host: wrote the whole answer of " + id);
            } catch (IOException e) {
                record.add("host: could not write the whole answer of " + id + ": " + e);
                throw e;
            }
        }
    }

    private void readLongAnswer(Gateway gateway, long customer) {
        String id = Requests.newId();
        int received = 0;
        boolean begun = false;
        try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
            socket.setSoTimeout(GIVE_UP_MS);
            socket.getOutputStream().write(Http.bytes(Requests.get("map-search", id, "basic", customer, EXPIRES_MS, 1, 1, 0)));
            InputStream in = socket.getInputStream();
            Http.Message head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                throw new IOException("no answer that serves the request: " + (head == null ? "closed" : head.startLine()));
            }
            record.add("reader " + id + ": " + head.startLine());
            begun = true;
            for (int until : READ_BYTES) {
                Thread.sleep(trouble && received > 0 ? READER_PAUSE_MS : 0);
                received += in.readNBytes(until - received).length;
                record.add("reader " + id + ": has read " + received + " bytes");
            }
        } catch (IOException | InterruptedException e) {
            record.add("reader " + id + ": " + e);
        }
        (received == ANSWER_BYTES ? whole : begun ? cut : notBegun).incrementAndGet();
        record.add("reader " + id + ": " + (received == ANSWER_BYTES ? "whole" : begun ? "CUT OFF" : "not begun") + ", " + received + " of " + ANSWER_BYTES);
    }
}
