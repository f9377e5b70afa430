package marlford.storm.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients at one gateway that ask for long answers, read nothing for seconds and leave: together they would hold more than a
 * gateway's memory. The other clients show whether it goes on.
 */
final class SlowCrowd extends SoakVisitor {
    private static final int CLIENTS = 140; // as many as a gateway may have connections to hosts
    private static final int SMALL_BUFFER_BYTES = 4096; // so that the sockets take little
    private static final int STAY_MS = 3000;
    private static final int GAP_MS = 1500;

    SlowCrowd(SoakFleet fleet, int number, long seed) {
        super(fleet, number, seed);
    }

    @Override
    void visit(SoakProcess process) throws InterruptedException {
        fleet.findings().count(SoakFindings.Count.FAULTS);
        crowd(process);
    }

    @Override
    int restMs() {
        return random.nextInt(GAP_MS);
    }

    private void crowd(SoakProcess process) throws InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        List<RequestLedger.Entry> entries = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS && process.isUp(); i++) {
                String id = nextId("d");
                entries.add(fleet.ledger().sent(id, SoakClient.VIEW_DEADLINE_MS, false));
                Socket socket = SoakClient.connect(process, SMALL_BUFFER_BYTES);
                sockets.add(socket);
                String request = SoakClient.view(id, SoakClient.VIEW_DEADLINE_MS, process.number);
                socket.getOutputStream().write(HttpText.bytes(request.replace("/view/", "/view/" + SoakHosts.LONG)));
            }
        } catch (IOException e) {
            // as many as came
        }
        Thread.sleep(random.nextInt(STAY_MS));
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // ended before
            }
        }
        entries.forEach(entry -> entry.leftNanos = System.nanoTime());
    }
}
