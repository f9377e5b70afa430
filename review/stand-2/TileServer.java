import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A tile server: one request at a time on a connection, which is kept. What it does with a request is given to it. */
final class TileServer {
    private static final int BACKLOG = 100;
    private static final int BIND_TRIES = 100;
    private static final int BIND_RETRY_MS = 20;
    private static final String LOAD_REPORT = "TEXT latency_ms=100, util=0.4";

    /** Handles a request that has come whole. */
    interface Handler {
        void handle(HttpMessage request, Socket connection, InputStream input) throws IOException, InterruptedException;
    }

    private final Handler handler;
    private final ServerSocket listener;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** @param port to listen on; 0 for a free one */
    TileServer(int port, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = listen(port);
        Threads.start(this::accept);
    }

    /** Listens on a port, which the system may still hold for a moment for a server that has just ended. */
    private static ServerSocket listen(int port) throws IOException {
        for (int tries = 1;; tries++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
                return socket;
            } catch (BindException e) {
                socket.close();
                if (tries == BIND_TRIES) {
                    throw e;
                }
            }
            try {
                Thread.sleep(BIND_RETRY_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the number of connections that were made to it. */
    int connectionCount() {
        return connections.size();
    }

    /** Ends as a process that dies: new connections are refused, and open ones are reset. */
    void die() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            reset(connection);
        }
    }

    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Writes a whole answer with status 200. */
    static void answer(Socket connection, String body) throws IOException {
        connection.getOutputStream().write(HttpMessage.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
        connection.getOutputStream().flush();
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = listener.accept();
            connection.setTcpNoDelay(true);
            connections.add(connection);
            Threads.start(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        InputStream input = new BufferedInputStream(connection.getInputStream());
        for (HttpMessage request = HttpMessage.read(input); request != null; request = HttpMessage.read(input)) {
            if (request.path().equals("/healthz") || request.path().equals("/load")) {
                answer(connection, LOAD_REPORT);
            } else {
                handler.handle(request, connection, input);
            }
        }
        connection.close();
    }
}
