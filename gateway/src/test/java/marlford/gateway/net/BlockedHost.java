package marlford.gateway.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A host that accepts no connection until {@link #startAccepting} is called. Until then its accept queue is full, so
 * the kernel drops further connection attempts, and the client's kernel repeats them. Once it accepts, it records the
 * start line of each request and echoes the request.
 */
final class BlockedHost implements Closeable {
    private static final int QUEUE_FULL_TIMEOUT_MS = 200; // a loopback connect that takes longer means that the accept queue is full

    final List<String> requestLines = new CopyOnWriteArrayList<>(); // start lines of the requests received
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> openSockets = new CopyOnWriteArrayList<>();

    BlockedHost() throws IOException {
        while (true) {
            Socket queuedConnection = new Socket();
            try {
                queuedConnection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
                        QUEUE_FULL_TIMEOUT_MS);
                openSockets.add(queuedConnection);
            } catch (SocketTimeoutException e) {
                queuedConnection.close();
                return;
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Starts to accept, first the connections that wait in the queue, and echoes each request. */
    void startAccepting() {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket s = listener.accept();
                    openSockets.add(s);
                    Thread connectionThread = new Thread(() -> serve(s));
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                }
            } catch (IOException e) {
                // the listener was closed
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void serve(Socket s) {
        try {
            for (Sockets.Message m = Sockets.read(s.getInputStream()); m != null; m = Sockets.read(s.getInputStream())) {
                requestLines.add(m.startLine());
                SocketTest.echo(m, s);
            }
        } catch (IOException e) {
            // the connection ended
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : openSockets) {
            s.close();
        }
    }
}
