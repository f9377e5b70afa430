package marlford.gateway.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;

/** The fields of one entry of a list of hosts, and the host that they make. One after another; not thread-safe. */
final class HostEntryReader {
    private static final int SHARED_MAX = 256; // names that many hosts have in common, as those of zones

    private final Map<String, String> shared = new HashMap<>();
    private String id;
    private String address;
    private String zone;
    private String kind;
    private String state;
    private int cell;
    private double weight;
    private double startedMs;

    HostEntryReader() {
        clear();
    }

    /** The next entry begins. */
    void clear() {
        id = "";
        address = "";
        zone = "";
        kind = "";
        state = "";
        cell = 0;
        weight = 1;
        startedMs = 0;
    }

    /** A field, whose value is the parser's current token and no structure; one that is not known is ignored. */
    void set(String field, JsonParser value) throws IOException {
        switch (field) {
            case "id" -> id = value.getText();
            case "addr" -> address = value.getText();
            case "zone" -> zone = share(value.getText());
            case "kind" -> kind = share(value.getText());
            case "state" -> state = value.getText();
            case "cell" -> cell = value.getValueAsInt(0);
            case "weight" -> weight = value.getValueAsDouble(1);
            case "started_ms" -> startedMs = value.getValueAsDouble(0);
            default -> { }
        }
    }

    /** All fields of an entry that was read as a tree. */
    void set(JsonNode entry) {
        id = entry.path("id").asText();
        address = entry.path("addr").asText();
        zone = share(entry.path("zone").asText());
        kind = share(entry.path("kind").asText());
        state = entry.path("state").asText();
        cell = entry.path("cell").asInt();
        weight = entry.path("weight").asDouble(1);
        startedMs = entry.path("started_ms").asDouble();
    }

    /** One string for all hosts of a zone or kind. */
    private String share(String text) {
        if (shared.size() >= SHARED_MAX) {
            return shared.getOrDefault(text, text);
        }
        return shared.computeIfAbsent(text, same -> same);
    }

    String id() {
        return id;
    }

    /** The host that the fields make; an {@link IllegalArgumentException} says what is wrong with them. */
    Discovery.Entry entry() {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("no id");
        }
        HostState read = switch (state) {
            case "ready" -> HostState.RUNNING;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new IllegalArgumentException("unknown host state '" + state + "'");
        };
        return new Discovery.Entry(host(read), read == HostState.GONE ? null : NodeConfig.address(address));
    }

    /**
     * What is left of an entry that can't be read: its host must not get more work on the strength of what was told
     * before, so it drains. Null where it has no name.
     */
    Discovery.Entry drained() {
        return id.isEmpty() ? null : new Discovery.Entry(host(HostState.DRAINING), null);
    }

    private Host host(HostState as) {
        return new Host(id, zone, kind, cell, as, weight, startedMs);
    }
}
