package marlford.storm;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One way between two processes, which may be cut in either direction, slowed or reset. While it is cut connections stay
 * open and nothing passes, as on a network that swallows packets; what was under way arrives when it is whole again.
 */
final class LinkProxy implements Closeable {
    private static final int CHUNK = 16 * 1024;
    private static final long LOOK_MS = 5;

    private final ServerSocket listener;
    private final InetSocketAddress to;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean cutForth;
    private volatile boolean cutBack;
    private volatile long delayMs;
    private volatile boolean over;

    LinkProxy(InetSocketAddress to) throws IOException {
        this.to = to;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void cut(boolean forth, boolean back) {
        cutForth = forth;
        cutBack = back;
    }

    void delay(long ms) {
        delayMs = ms;
    }

    void reset() {
        for (Socket s : sockets) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // closed already
            }
        }
        sockets.clear();
    }

    private static void thread(Runnable work) {
        Thread t = new Thread(work, "link");
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                sockets.add(near);
                thread(() -> serve(near));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket near) {
        Socket far = new Socket();
        try {
            while (cutForth && !over) {
                Thread.sleep(LOOK_MS);
            }
            far.connect(to);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            sockets.add(far);
            thread(() -> pump(far, near, false));
            pump(near, far, true);
        } catch (IOException | InterruptedException e) {
            end(near, far);
        }
    }

    private void pump(Socket from, Socket into, boolean forth) {
        byte[] chunk = new byte[CHUNK];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                if (forth && delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                while ((forth ? cutForth : cutBack) && !over) {
                    Thread.sleep(LOOK_MS);
                }
                out.write(chunk, 0, n);
            }
        } catch (IOException | InterruptedException e) {
            // one end has gone, and so goes the other
        }
        end(from, into);
    }

    private void end(Socket a, Socket b) {
        for (Socket s : List.of(a, b)) {
            try {
                s.close();
            } catch (IOException e) {
                // closed already
            }
            sockets.remove(s);
        }
    }

    @Override
    public void close() throws IOException {
        over = true;
        listener.close();
        reset();
    }
}
