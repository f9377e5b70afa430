package marlford.fleet;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import marlford.task.FleetTask;
import marlford.task.FleetTasks;

/**
 * The settings of a fleet, read from JSON and validated by {@code fleet.schema.json}; docs/operators/fleet.md
 * describes each with unit and default.
 */
record FleetConfig(
        String fleet,
        String name,
        Map<String, InetSocketAddress> voters,
        Path folder,
        long ttlMs,
        double driftPpm,
        double marginMs,
        double stallMs,
        List<TaskConfig> tasks,
        ExportConfig export,
        ProbeConfig probes,
        boolean lists) {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final long TTL_MS = 3000;
    private static final double DRIFT_PPM = 1000;
    private static final double MARGIN_MS = 20;
    private static final double STALL_MS = 500;
    private static final long INTERVAL_MS = 60_000;
    private static final long PROBE_MS = 1000;
    private static final double PROBE_TAKES_MS = 260; // the gateway gives a probe up after 250
    private static final int VOTERS_FEW = 3;
    private static final int VOTERS_MANY = 5;

    /** A task: what it does, and where its acts are posted to. */
    record TaskConfig(String name, String kind, URI url, long everyMs, double takesMs, int holders, int shards) {
        FleetTask task() {
            return switch (kind) {
                case "single" -> new FleetTasks.Single(name, holders, everyMs, takesMs);
                case "sharded" -> new FleetTasks.Sharded(name, shards, everyMs, takesMs);
                default -> new FleetTasks.Periodic(name, everyMs, takesMs);
            };
        }
    }

    /** Where usage goes, and how long an interval is; null where nothing is exported. */
    record ExportConfig(Path file, long intervalMs) {}

    /** How often each host is probed, by one gateway for all, and the longest that a probe takes; null where none are sent. */
    record ProbeConfig(long everyMs, double takesMs) {}

    /** One plain line on what is wrong with the settings. */
    static final class BadFleet extends Exception {
        private static final long serialVersionUID = 1L;

        BadFleet(String message) {
            super(message);
        }
    }

    /** @param name this process's name, over what the file says; null for that */
    static FleetConfig read(Path file, String name) throws BadFleet {
        JsonNode root;
        try {
            root = JSON.readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new BadFleet("can't read " + file + ": "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        try (InputStream schema = FleetConfig.class.getResourceAsStream("/marlford/fleet.schema.json")) {
            JsonSchema rules = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(schema);
            Set<ValidationMessage> wrong = rules.validate(root);
            if (!wrong.isEmpty()) {
                throw new BadFleet(file + ": "
                        + wrong.stream()
                                .map(ValidationMessage::getMessage)
                                .sorted()
                                .collect(Collectors.joining("; ")));
            }
        } catch (IOException e) {
            throw new BadFleet("the schema can't be read: " + e.getMessage());
        }
        try {
            return of(root, name);
        } catch (IllegalArgumentException e) {
            throw new BadFleet(file + ": " + e.getMessage());
        }
    }

    private static FleetConfig of(JsonNode root, String name) {
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (JsonNode v : root.path("voters")) {
            InetSocketAddress at = address(v.path("address").asText());
            if (voters.put(v.path("name").asText(), at) != null || !addresses.add(at)) {
                throw new IllegalArgumentException(
                        "voter " + v.path("name").asText() + " or its address is named twice");
            }
        }
        if (voters.size() != VOTERS_FEW && voters.size() != VOTERS_MANY) {
            throw new IllegalArgumentException("3 or 5 voters, and not " + voters.size());
        }
        String own = name != null ? name : root.path("name").asText();
        if (own.isEmpty()) {
            throw new IllegalArgumentException("no name: neither in the file nor by --name");
        }
        JsonNode s = root.path("session");
        List<TaskConfig> tasks = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (JsonNode t : root.path("tasks")) {
            if (!named.add(t.path("name").asText())) {
                throw new IllegalArgumentException("task " + t.path("name").asText() + " is named twice");
            }
            tasks.add(new TaskConfig(
                    t.path("name").asText(),
                    t.path("kind").asText(),
                    URI.create(t.path("url").asText()),
                    t.path("every_ms").asLong(),
                    t.path("takes_ms").asDouble(),
                    t.path("holders").asInt(1),
                    t.path("shards").asInt(1)));
        }
        JsonNode e = root.path("export");
        ExportConfig export = e.isMissingNode()
                ? null
                : new ExportConfig(
                        Path.of(e.path("file").asText()), e.path("interval_ms").asLong(INTERVAL_MS));
        JsonNode p = root.path("probes");
        ProbeConfig probes =
                p.isMissingNode() ? null : new ProbeConfig(p.path("every_ms").asLong(PROBE_MS), PROBE_TAKES_MS);
        return new FleetConfig(
                root.path("fleet").asText(),
                own,
                voters,
                Path.of(root.path("folder").asText()),
                s.path("ttl_ms").asLong(TTL_MS),
                s.path("drift_ppm").asDouble(DRIFT_PPM),
                s.path("margin_ms").asDouble(MARGIN_MS),
                s.path("stall_ms").asDouble(STALL_MS),
                List.copyOf(tasks),
                export,
                probes,
                root.path("lists").asBoolean(false));
    }

    /** Numbers and a port: there are no names to look up. */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("bad address '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalArgumentException("bad address '" + text + "'", e);
        }
    }
}
