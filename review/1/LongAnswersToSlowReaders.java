import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers go to clients that take seconds to read. Do other clients still get their answers in time? */
final class LongAnswersToSlowReaders extends Case {
    private static final int HOSTS = 12;
    private static final int READERS = 270; // with the others 334 at most at a time: of 1,024 descriptors clients hold a third at most, 341
    private static final long READER_GAP_MS = 15; // between the starts of two readers
    private static final int ANSWER_BYTES = 5_000_000; // the pages allow 32 MB
    private static final int[] READ_BYTES = {64 * 1024, ANSWER_BYTES}; // up to where a reader reads in one go
    private static final long READER_PAUSE_MS = 4000; // what a slow reader waits after the first part
    private static final int READER_EXPIRES_MS = 6000;
    private static final int OTHERS_EXPIRE_MS = 2500;
    private static final int LATE_MS = 500; // an answer that comes no later than this after its time only earns nothing
    private static final long OTHERS_GAP_MS = 50; // with the readers about 85 requests a second
    private static final long OTHERS_MS = 10_000; // how long other clients go on asking
    private static final int GIVE_UP_MS = 30_000; // of a reader, without a byte
    private static final long READERS_END_MS = 50_000; // for one reader to end, behind the last of the others
    private static final int OTHERS_GIVE_UP_MS = 3200; // after it nothing that comes would be in time
    private static final long FIRST_READER = 1_000_000; // customers
    private static final long FIRST_OTHER = 2_000_000;
    private static final double NOT_SENT = -1;
    private static final byte[] TILE = "tile".getBytes();

    private final byte[] longAnswer = new byte[ANSWER_BYTES];
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger(); // not written whole, or closed perhaps unread: then a client sends again

    private LongAnswersToSlowReaders(Path root, Path work, Path record) throws Exception {
        super(root, work, record);
        new Random(1).nextBytes(longAnswer);
    }

    public static void main(String[] args) throws Exception {
        new LongAnswersToSlowReaders(Path.of(args[0]), Path.of(args[1]), Path.of(args[2])).run();
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
        List<Thread> clients = new ArrayList<>();
        Thread others = Server.daemon(() -> startOthers(gateway, clients));
        Thread.sleep(500);
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            long customer = FIRST_READER + i;
            readers.add(Server.daemon(() -> readLongAnswer(gateway, customer)));
            Thread.sleep(READER_GAP_MS);
        }
        others.join();
        for (Thread client : clients) {
            client.join();
        }
        for (Thread reader : readers) {
            reader.join(READERS_END_MS);
        }
        record.say("long answers: " + whole + " whole, " + cut + " cut, " + refused + " not begun");
        record.say("other requests: " + inTime + " answered in time, " + lost + " lost, " + notTaken + " not taken");
        if (!gateway.isAlive()) {
            record.say("the gateway has ended by itself");
            return false;
        }
        return lost.get() == 0 && cut.get() == 0;
    }

    private void serveHost(InputStream in, Socket socket) throws IOException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            byte[] body = request.target().startsWith("/map-search") ? longAnswer : TILE;
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            socket.getOutputStream().write(body);
        }
    }

    private void readLongAnswer(Gateway gateway, long customer) {
        String id = Requests.newId();
        int received = 0;
        boolean begun = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.port));
            socket.setSoTimeout(GIVE_UP_MS);
            socket.getOutputStream().write(Http.bytes(Requests.get("map-search", id, "basic", customer, READER_EXPIRES_MS, 1, 1, 0)));
            InputStream in = socket.getInputStream();
            Http.Message head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                refused.incrementAndGet();
                record.add("reader " + id + ": " + (head == null ? "closed without an answer" : head.startLine()));
                return;
            }
            begun = true;
            for (int until : READ_BYTES) {
                Thread.sleep(trouble && received > 0 ? READER_PAUSE_MS : 0);
                received += in.readNBytes(until - received).length;
            }
        } catch (IOException | InterruptedException e) {
            record.add("reader " + id + ": " + e);
        }
        (received == ANSWER_BYTES ? whole : begun ? cut : refused).incrementAndGet();
        record.add("reader " + id + ": " + received + " of " + ANSWER_BYTES + " bytes");
    }

    private void startOthers(Gateway gateway, List<Thread> clients) {
        double end = record.now() + OTHERS_MS;
        for (long customer = FIRST_OTHER; record.now() < end; customer++) {
            long asking = customer;
            clients.add(Server.daemon(() -> ask(gateway, asking)));
            sleep(OTHERS_GAP_MS);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks for a tile, and waits until an answer would be lost. */
    private void ask(Gateway gateway, long customer) {
        String id = Requests.newId();
        double sentMs = NOT_SENT;
        String end = null;
        boolean ended = true;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.port));
            socket.setSoTimeout(OTHERS_GIVE_UP_MS);
            socket.getOutputStream().write(Http.bytes(Requests.get("tile-view", id, "basic", customer, OTHERS_EXPIRE_MS, 1, 1, 0)));
            sentMs = record.now();
            Http.Message answer = Http.read(socket.getInputStream());
            end = answer == null ? null : answer.startLine();
            record.add("tile " + id + ": " + (end == null ? "closed without an answer" : end));
        } catch (SocketTimeoutException e) {
            ended = false; // the connection is open, and no answer has come
            record.add("tile " + id + ": " + e);
        } catch (IOException e) {
            record.add("tile " + id + ": " + e);
        }
        if (sentMs == NOT_SENT || end == null && ended) {
            notTaken.incrementAndGet();
            return;
        }
        double tookMs = record.now() - sentMs;
        boolean answered = end != null && tookMs <= OTHERS_EXPIRE_MS + LATE_MS;
        (answered ? inTime : lost).incrementAndGet();
        record.add("tile " + id + ": " + (answered ? "in time" : "LOST") + ", sent at " + (long) sentMs + ", ended after " + (long) tookMs
                + " ms of " + OTHERS_EXPIRE_MS);
    }
}
