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
 * A host whose connections do not come up until it is opened: its queue is full, so that the system passes over whoever
 * else calls, and the caller's system calls again. What is written to it afterwards is kept.
 */
final class Door implements Closeable {
    private static final int FULL_MS = 200; // nobody answered for so long: on loopback the queue is full

    final List<String> asked = new CopyOnWriteArrayList<>(); // first lines, of whatever came once it was open
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    Door() throws IOException {
        while (true) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()), FULL_MS);
                sockets.add(filler);
            } catch (SocketTimeoutException e) {
                filler.close();
                return;
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Takes in those that wait, and answers each request with its own id. */
    void open() {
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Socket s = listener.accept();
                    sockets.add(s);
                    Thread each = new Thread(() -> serve(s));
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                // closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s) {
        try {
            for (Sockets.Message m = Sockets.read(s.getInputStream()); m != null; m = Sockets.read(s.getInputStream())) {
                asked.add(m.start());
                SocketTest.echo(m, s);
            }
        } catch (IOException e) {
            // ended
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
