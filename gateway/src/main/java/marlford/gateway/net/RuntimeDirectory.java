package marlford.gateway.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Files by which the processes of one gateway find each other, including across an upgrade. They are in the private
 * directory that the platform provides. Their names contain the gateway's name and listen address, because on other
 * platforms several gateways may share the directory, and gateways of two deployments may have the same name.
 *
 * @param excludedHosts file that stores the hosts excluded by operators
 * @param successorSocket socket on which the running process waits for its successor
 * @param sentRequestIds table of request ids that the processes share
 */
record RuntimeDirectory(Path excludedHosts, Path successorSocket, Path sentRequestIds) {
    private static final int MAX_SOCKET_PATH_BYTES = 100; // slightly below the limit of the system

    /** Returns null when the platform provides no directory, or one whose path is too long for a socket. */
    static RuntimeDirectory in(String folder, String name, InetSocketAddress listen) {
        return under(folder, hex(name.getBytes(StandardCharsets.UTF_8)) + '-' + hex(listen.getAddress().getAddress()) + '-'
                + listen.getPort());
    }

    /** Returns the files of a process of an earlier version, whose names have no address; used only if the address is taken. */
    static RuntimeDirectory ofEarlierVersion(String folder, String name) {
        return under(folder, hex(name.getBytes(StandardCharsets.UTF_8)));
    }

    private static RuntimeDirectory under(String folder, String key) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        Path successor = Path.of(folder, "successor-" + key);
        if (successor.toString().getBytes(StandardCharsets.UTF_8).length > MAX_SOCKET_PATH_BYTES) {
            Node.log("start: upgrades and stored host exclusions are disabled, because this socket path is longer than "
                    + MAX_SOCKET_PATH_BYTES + " bytes; use a shorter TMPDIR or gateway name: " + successor);
            return null;
        }
        return new RuntimeDirectory(Path.of(folder, "left-out-" + key), successor, Path.of(folder, "sent-ids-" + key));
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
