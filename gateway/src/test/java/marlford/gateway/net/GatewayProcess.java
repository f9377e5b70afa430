package marlford.gateway.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process of its own, with the options of the deploy file's run command and those that a test adds. */
final class GatewayProcess implements Closeable {
    private static final Path DEPLOY_FILE = Path.of("..", "deploy", "balancer.toml");
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern LATE = Pattern.compile(" late=(\\d+)");

    final int port;
    private final SocketChannel reservation; // of the port; null in a successor, which shares it
    private final Path folder;
    private final List<String> extraOptions;
    private Process process;

    /**
     * Chooses a port; {@link #start} starts the process.
     *
     * @param folder for the configuration and the log
     * @param extraOptions of the virtual machine; they override those of the deploy file
     */
    GatewayProcess(Path folder, String... extraOptions) throws IOException {
        this.folder = folder;
        this.extraOptions = List.of(extraOptions);
        this.reservation = reservePort();
        this.port = ((InetSocketAddress) reservation.getLocalAddress()).getPort();
    }

    /**
     * Reserves a port, so that no connection of this machine gets it before the process listens: bound here, but not listened to. The
     * process binds it all the same, as both allow the address's reuse.
     */
    private static SocketChannel reservePort() throws IOException {
        SocketChannel reserved = SocketChannel.open();
        reserved.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private GatewayProcess(GatewayProcess predecessor) {
        this.folder = predecessor.folder;
        this.extraOptions = predecessor.extraOptions;
        this.port = predecessor.port;
        this.reservation = null;
    }

    /** Starts a process that replaces this one, and waits until it serves. Both write to the same log. */
    GatewayProcess startSuccessor(String config) throws Exception {
        GatewayProcess successor = new GatewayProcess(this);
        successor.launch(config);
        awaitLog("the new process serves clients");
        return successor;
    }

    /** Starts the process with this configuration, whose listen address is replaced; does not wait until it serves. */
    void launch(String config) throws IOException {
        String ownConfig = config.replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + port + "\", \"disc");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployedOptions());
        command.addAll(extraOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "marlford.gateway.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("NODE_CONFIG", Files.writeString(folder.resolve("config.json"), ownConfig).toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile())).start();
    }

    /** Starts the process and waits until it serves. */
    void start(String config) throws Exception {
        launch(config);
        awaitLog("serves after");
    }

    /** Waits until the log has this text; a failure shows the log, which is deleted with the test's folder. */
    private void awaitLog(String text) throws Exception {
        try {
            Sockets.await(() -> log().contains(text), "the log has: " + text);
        } catch (AssertionError e) {
            throw new AssertionError("the process did not say \"" + text + "\" in time; its log: " + log(), e);
        }
    }

    /** The options of the virtual machine in the deploy file, without the class archive, which is built from other files. */
    private static List<String> deployedOptions() throws IOException {
        Matcher run = RUN_LINE.matcher(Files.readString(DEPLOY_FILE));
        if (!run.find()) {
            throw new IOException("no run command in " + DEPLOY_FILE);
        }
        return Arrays.stream(run.group(1).split(" "))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(word -> !word.contains("SharedArchiveFile"))
                .toList();
    }

    /** Connects a client whose reads time out after the test timeout. */
    Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(Sockets.TIMEOUT_MS);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Sockets.TIMEOUT_MS);
        return socket;
    }

    Process process() {
        return process;
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** Returns how late the event loop was at most, in milliseconds, as far as the log tells. */
    int maxLateMs() throws IOException {
        int max = 0;
        for (Matcher late = LATE.matcher(log()); late.find();) {
            max = Math.max(max, Integer.parseInt(late.group(1)));
        }
        return max;
    }

    /** Returns the largest resident size of the process so far, in kB. */
    long peakMemoryKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        return Files.readAllLines(status).stream().filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElseThrow();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            process.onExit().join();
        }
        if (reservation != null) {
            reservation.close();
        }
    }
}
