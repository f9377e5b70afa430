import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Orders with a long body meet a host that hangs. Does each get its final answer before its client's time is up? */
final class LongOrderToHangingHost extends Case {
    private static final int HOSTS = 4;
    private static final int HANGING_HOST = 0; // one of four: the pages let a quarter to a half of the hosts hang
    private static final int ORDERS = 24;
    private static final long ORDER_GAP_MS = 200;
    private static final int BODY_BYTES = 1_000_000; // the pages allow 32 MB
    private static final int EXPIRES_MS = 6000; // half of the class's 12 s, the least that a client waits
    private static final int LATE_MS = 500; // an answer that comes no later than this after its time only earns nothing
    private static final int GIVE_UP_MS = 40_000;
    private static final double NOT_SENT = -1;
    private static final long FIRST_CUSTOMER = 1_000_000;

    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger(); // not written whole, or closed perhaps unread: then a client sends again

    private LongOrderToHangingHost(Path root, Path work, Path record) throws Exception {
        super(root, work, record);
    }

    public static void main(String[] args) throws Exception {
        new LongOrderToHangingHost(Path.of(args[0]), Path.of(args[1]), Path.of(args[2])).run();
    }

    @Override
    boolean play() throws Exception {
        Discovery discovery = new Discovery(record, "discovery", 40);
        for (int i = 0; i < HOSTS; i++) {
            int number = i;
            discovery.set("s-" + i, new Server((in, socket) -> serveHost(number, in, socket)).address(), "room-a", "ready", 0);
        }
        Gateway gateway = newGateway("n0");
        Site site = new Site();
        site.discovery = discovery.address();
        gateway.configure(site.config(gateway));
        gateway.start();
        gateway.awaitReady();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) {
            int number = i;
            clients.add(Server.daemon(() -> order(gateway, number)));
            Thread.sleep(ORDER_GAP_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say("orders: " + inTime + " answered in time, " + lost + " lost, " + notTaken + " not taken");
        return lost.get() == 0 && gateway.isAlive();
    }

    private void serveHost(int number, InputStream in, Socket socket) throws IOException, InterruptedException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            record.add("host s-" + number + ": received whole " + request.header("x-trace-id") + ", " + request.body().length
                    + " bytes, told to expire in " + request.header("x-expires-in-ms") + " ms");
            if (trouble && number == HANGING_HOST) {
                in.read(); // until the gateway gives the attempt up
                return;
            }
            socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        }
    }

    private void order(Gateway gateway, int number) {
        String id = Requests.newId();
        double sentMs = NOT_SENT;
        String end = null;
        boolean ended = true;
        try (Socket socket = new Socket("127.0.0.1", gateway.port)) {
            socket.setSoTimeout(GIVE_UP_MS);
            socket.getOutputStream().write(Http.bytes(Requests.postHead("copy-order", id, "key-" + id, BODY_BYTES, "basic",
                    FIRST_CUSTOMER + number, EXPIRES_MS, 1, 1, 0)));
            socket.getOutputStream().write(new byte[BODY_BYTES]);
            sentMs = record.now();
            record.add("order " + id + ": last byte sent");
            Http.Message answer = Http.read(socket.getInputStream());
            end = answer == null ? null : answer.startLine();
            record.add("order " + id + ": " + (end == null ? "closed without an answer" : end));
        } catch (SocketTimeoutException e) {
            ended = false; // the connection is open, and no answer has come
            record.add("order " + id + ": " + e);
        } catch (IOException e) {
            record.add("order " + id + ": " + e);
        }
        if (sentMs == NOT_SENT || end == null && ended) {
            notTaken.incrementAndGet();
            return;
        }
        double tookMs = record.now() - sentMs;
        boolean answered = end != null && tookMs <= EXPIRES_MS + LATE_MS;
        (answered ? inTime : lost).incrementAndGet();
        record.add("order " + id + ": " + (answered ? "in time" : "LOST") + ", ended " + (long) tookMs + " ms after its last byte, of "
                + EXPIRES_MS);
    }
}
