package marlford.gateway.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Where the processes that are one gateway meet, also across an upgrade: the platform's private folder, under the
 * gateway's own name and the address that it serves at, as elsewhere several may share one, and gateways of two deployments
 * may have one name.
 *
 * @param leftOut holds the hosts that operators left out
 * @param successor socket at which the running process waits for the one that is to take its place
 */
record RuntimeDirectory(Path leftOut, Path successor) {
    private static final int SOCKET_PATH_MAX = 100; // bytes; the system's own limit lies just above

    /** Null where the platform gives no folder, or gave one whose name is too long for a socket's. */
    static RuntimeDirectory in(String folder, String name, InetSocketAddress listen) {
        return under(folder, hex(name.getBytes(StandardCharsets.UTF_8)) + '-' + hex(listen.getAddress().getAddress()) + '-'
                + listen.getPort());
    }

    /** Where a process of a version before addresses counted has its place; it is asked only where the address is taken. */
    static RuntimeDirectory before(String folder, String name) {
        return under(folder, hex(name.getBytes(StandardCharsets.UTF_8)));
    }

    private static RuntimeDirectory under(String folder, String own) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        Path successor = Path.of(folder, "successor-" + own);
        if (successor.toString().getBytes(StandardCharsets.UTF_8).length > SOCKET_PATH_MAX) {
            Node.log("no upgrades and no memory of hosts left out: the path is too long: " + successor);
            return null;
        }
        return new RuntimeDirectory(Path.of(folder, "left-out-" + own), successor);
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
