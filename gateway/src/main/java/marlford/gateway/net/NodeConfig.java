package marlford.gateway.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import marlford.gateway.EngineApi.Settings;
import marlford.gateway.wire.Fields;
import marlford.gateway.wire.SettingsReader;
import marlford.gateway.wire.WireFormatException;

/**
 * The configuration of an api gateway as read from its file. Missing or malformed content is reported as
 * {@link BadConfig}.
 *
 * @param name of the gateway
 * @param console address for operators; null for none
 * @param listen address for clients
 * @param discovery address of the discovery agent
 * @param peerListen address for messages of the other gateways; null when peers exchange no messages
 * @param peers addresses of all gateways of the tier, by their number
 * @param peersAll address that reaches all peers at once; null for none
 * @param maxDescriptors number of file descriptors that the process may hold
 * @param knownHosts host list with which the gateway starts; may be a missing node
 * @param settings of the decision engine
 * @param connectTimeoutMs limit for connecting to a host
 * @param hostIdleMs time after which an idle host connection is closed
 * @param maxOpenRequests number of requests that may be open at a time
 */
record NodeConfig(String name, InetSocketAddress console, InetSocketAddress listen, InetSocketAddress discovery,
        InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress peersAll, int maxDescriptors,
        JsonNode knownHosts, Settings settings, double connectTimeoutMs, double hostIdleMs, int maxOpenRequests) {
    private static final int MAX_PORT = 65_535;
    private static final int HEX_RADIX = 16;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final double DEFAULT_HOST_IDLE_MS = 15_000;
    private static final double DEFAULT_MAX_OPEN_REQUESTS = 20_000;

    /** The configuration is unusable; the message is a single line that says why. */
    static final class BadConfig extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfig(String message) {
            super(message);
        }
    }

    /** Reads the content of a configuration file. */
    static byte[] readFile(String file) throws BadConfig {
        if (file == null || file.isEmpty()) {
            throw new BadConfig("environment variable NODE_CONFIG is empty or not set; it must name the configuration file");
        }
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new BadConfig("can't read " + file + ": " + firstLine(e));
        }
    }

    /** Parses the content of a configuration file; the file name is used in error messages only. */
    static NodeConfig parse(String file, byte[] text) throws BadConfig {
        try {
            return of(JsonTree.read(new ByteArrayInputStream(text)));
        } catch (IOException e) {
            throw new BadConfig("can't read " + file + ": " + firstLine(e));
        } catch (WireFormatException | IllegalArgumentException e) {
            throw new BadConfig(file + ": " + e.getMessage());
        }
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    /**
     * Reads the configuration from a JSON tree.
     *
     * @throws IllegalArgumentException if a value is missing, malformed or out of range
     * @throws WireFormatException if a setting of the decision engine is missing or malformed
     */
    static NodeConfig of(JsonNode root) {
        if (!root.isObject()) {
            throw new IllegalArgumentException("expected a JSON object at the top level, found another value or nothing");
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", root.path("settings"), pairs);
        pairs.put("rng_seed", Long.toString(Long.parseUnsignedLong(text(root, "seed"), HEX_RADIX)));
        Fields fields = new Fields(pairs);
        Settings settings = SettingsValidator.validate(SettingsReader.read(fields));
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(address(peer.asText()));
        }
        boolean peerMessages = settings.limits().peerMessages() && root.hasNonNull("peer_listen");
        String console = root.hasNonNull("console") ? text(root, "console") : System.getenv("NODE_CONSOLE");
        return new NodeConfig(root.path("name").asText(), console == null || console.isEmpty() ? null : address(console),
                address(text(root, "listen")), address(text(root, "discovery")),
                peerMessages ? address(text(root, "peer_listen")) : null, List.copyOf(peers),
                root.hasNonNull("peers_all") ? address(text(root, "peers_all")) : null,
                (int) positive("limits.sockets", root.path("limits").path("sockets").asInt(DEFAULT_DESCRIPTORS)),
                root.path("known"), settings,
                positive("limits.connect_timeout_ms", fields.number("limits.connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS)),
                positive("limits.conn_idle_ms", fields.number("limits.conn_idle_ms", DEFAULT_HOST_IDLE_MS)),
                (int) positive("limits.max_open", fields.number("limits.max_open", DEFAULT_MAX_OPEN_REQUESTS)));
    }

    /** Returns the value if it is above 0; otherwise it is reported under the name of the setting. */
    private static double positive(String name, double value) {
        SettingsValidator.require(value > 0, name, value, "above 0");
        return value;
    }

    /** Flattens nested settings to the dotted names that the protocol of the simulator uses. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.fields().forEachRemaining(e -> flatten(prefix + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isObject()) {
            pairs.put(prefix + "count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(prefix + i, node.get(i), pairs);
            }
        } else if (node.isArray()) {
            StringJoiner list = new StringJoiner(",");
            node.forEach(value -> list.add(value.asText()));
            pairs.put(path, list.toString());
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }

    /** Returns the value of a required, non-empty string. */
    private static String text(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("expected a string that is not empty in '" + name + "', found another value or nothing");
        }
        return value.asText();
    }

    /** Parses a numeric IP address with a port; host names are not resolved. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("expected a numeric IP address and a port, found '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("expected a port from 0 to 65535, found '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("expected a numeric IP address and a port, found '" + text + "'", e);
        }
    }
}
