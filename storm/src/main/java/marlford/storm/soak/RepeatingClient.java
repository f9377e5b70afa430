package marlford.storm.soak;

import java.io.IOException;
import java.net.Socket;
import marlford.storm.soak.RequestLedger.Effect;

/**
 * A client that sends an order that must not run twice, leaves, and sends the same id again, to the same gateway, which may be another
 * process of it by then. Hosts judge whether it ran twice.
 */
final class RepeatingClient extends SoakVisitor {
    private static final int LEAVES_MS = 150;
    private static final int AGAIN_MS = 700;
    private static final int TIMES = 3;
    private static final int ANSWER_MS = 4000;
    private static final int REST_MS = 800;

    RepeatingClient(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws IOException, InterruptedException {
        String id = nextId("p");
        Effect effect = random.nextBoolean() ? Effect.ONCE : Effect.KEYED;
        String order = SoakClient.order(id, SoakClient.ORDER_DEADLINE_MS, process.number);
        String request = effect == Effect.ONCE
                ? order.replace("/order/", "/pay/").replaceAll("Idempotency-Key: [^\r]*\r\n", "")
                : order;
        fleet.ledger().sent(id, SoakClient.ORDER_DEADLINE_MS, effect);
        for (int i = 0; i < TIMES; i++) {
            send(process, request, fleet.ledger().sentAgain(id), i == TIMES - 1);
            Thread.sleep(random.nextInt(AGAIN_MS));
        }
    }

    private void send(SoakProcess process, String request, RequestLedger.Entry entry, boolean stays)
            throws IOException, InterruptedException {
        try (Socket socket = SoakClient.connect(process)) {
            entry.written();
            socket.getOutputStream().write(HttpText.bytes(request));
            if (stays) {
                socket.setSoTimeout(ANSWER_MS);
                HttpText.read(socket.getInputStream());
            } else {
                Thread.sleep(random.nextInt(LEAVES_MS));
            }
        } finally {
            entry.leftNanos = System.nanoTime();
        }
    }

    @Override
    int restMs() {
        return random.nextInt(REST_MS);
    }
}
