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
import marlford.gateway.wire.WireFault;

/** What this api gateway was told at its start; anything missing or malformed is a {@link BadConfig}. */
record NodeConfig(String name, InetSocketAddress console, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress peerListen,
        List<InetSocketAddress> peers, InetSocketAddress peersAll, int sockets, JsonNode known, Settings settings,
        double connectTimeoutMs, double idleMs, int maxOpen) {
    private static final int PORT_MAX = 65_535;
    private static final int HEX = 16;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_CONNECT_MS = 250;
    private static final double DEFAULT_IDLE_MS = 15_000;
    private static final double DEFAULT_MAX_OPEN = 20_000;

    /** One plain line on what is wrong with the configuration. */
    static final class BadConfig extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfig(String message) {
            super(message);
        }
    }

    /** The text of a configuration file. */
    static byte[] bytes(String file) throws BadConfig {
        if (file == null || file.isEmpty()) {
            throw new BadConfig("NODE_CONFIG names no file");
        }
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new BadConfig("can't read " + file + ": " + firstLine(e));
        }
    }

    /** What the text of that file says. */
    static NodeConfig read(String file, byte[] text) throws BadConfig {
        try {
            return of(JsonTree.read(new ByteArrayInputStream(text)));
        } catch (IOException e) {
            throw new BadConfig("can't read " + file + ": " + firstLine(e));
        } catch (WireFault | IllegalArgumentException e) {
            throw new BadConfig(file + ": " + e.getMessage());
        }
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    static NodeConfig of(JsonNode root) {
        if (!root.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", root.path("settings"), pairs);
        pairs.put("rng_seed", Long.toString(Long.parseUnsignedLong(text(root, "seed"), HEX)));
        Fields fields = new Fields(pairs);
        Settings settings = SettingsValidator.checked(SettingsReader.read(fields));
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(address(peer.asText()));
        }
        boolean mail = settings.limits().peers() && root.hasNonNull("peer_listen");
        String console = root.hasNonNull("console") ? text(root, "console") : System.getenv("NODE_CONSOLE");
        return new NodeConfig(root.path("name").asText(), console == null || console.isEmpty() ? null : address(console),
                address(text(root, "listen")), address(text(root, "discovery")),
                mail ? address(text(root, "peer_listen")) : null, List.copyOf(peers),
                root.hasNonNull("peers_all") ? address(text(root, "peers_all")) : null,
                (int) positive("limits.sockets", root.path("limits").path("sockets").asInt(DEFAULT_SOCKETS)),
                root.path("known"), settings,
                positive("limits.connect_timeout_ms", fields.number("limits.connect_timeout_ms", DEFAULT_CONNECT_MS)),
                positive("limits.conn_idle_ms", fields.number("limits.conn_idle_ms", DEFAULT_IDLE_MS)),
                (int) positive("limits.max_open", fields.number("limits.max_open", DEFAULT_MAX_OPEN)));
    }

    private static double positive(String name, double value) {
        SettingsValidator.hold(value > 0, name, value, "above 0");
        return value;
    }

    /** Nested settings under the names that the simulator's wire gives them. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        String below = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.fields().forEachRemaining(e -> flatten(below + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isObject()) {
            pairs.put(below + "count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(below + i, node.get(i), pairs);
            }
        } else if (node.isArray()) {
            StringJoiner list = new StringJoiner(",");
            node.forEach(value -> list.add(value.asText()));
            pairs.put(path, list.toString());
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }

    private static String text(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("missing or malformed '" + name + "'");
        }
        return value.asText();
    }

    /** Numbers and a port: there are no names to look up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("bad address '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > PORT_MAX) {
            throw new IllegalArgumentException("bad port in '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("bad address '" + text + "'", e);
        }
    }
}
