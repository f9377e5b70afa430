package marlford.gateway.net;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Message;

/** A host that reads nothing of an order, or a little at a time, before it is released, and answers each request that has come whole. */
final class SlowServer implements Closeable {
    private static final int BACKLOG = 200;
    private static final long READ_INTERVAL_MS = 1000;

    final List<Message> requests = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket();
    private final CountDownLatch released;
    private final int bytesAtATime;

    /**
     * @param released lets it read orders
     * @param bytesAtATime what it reads each second of an order before that
     */
    SlowServer(int receiveBufferBytes, CountDownLatch released, int bytesAtATime) throws IOException {
        this.released = released;
        this.bytesAtATime = bytesAtATime;
        listener.setReceiveBufferSize(receiveBufferBytes);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        startDaemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            startDaemon(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        for (int first = in.read(); first >= 0; first = in.read()) {
            ByteArrayOutputStream begun = new ByteArrayOutputStream();
            begun.write(first);
            while (first == 'P' && !released.await(READ_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                begun.write(in.readNBytes(bytesAtATime));
            }
            Message request = Sockets.read(new SequenceInputStream(new ByteArrayInputStream(begun.toByteArray()), in));
            if (request == null) {
                return;
            }
            requests.add(request);
            socket.getOutputStream().write(Sockets.ok("done"));
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** A task of a thread of its own, which ends with its socket. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                return; // the peer or the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
