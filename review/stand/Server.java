import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server at a free port of the loopback address, with one thread for each connection. */
final class Server implements AutoCloseable {
    private static final int BACKLOG = 200;

    /** Serves one connection until it returns; the connection is closed then. */
    interface ConnectionHandler {
        void serve(InputStream in, Socket socket) throws IOException, InterruptedException;
    }

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ConnectionHandler handler;

    Server(ConnectionHandler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            return; // the listener was closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            handler.serve(new BufferedInputStream(socket.getInputStream()), socket);
        } catch (IOException | InterruptedException e) {
            return; // the other side has ended the connection
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
