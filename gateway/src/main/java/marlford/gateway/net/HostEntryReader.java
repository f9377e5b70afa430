package marlford.gateway.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;

/** Collects the fields of an entry of a list of hosts and builds its host. Reused for one entry after another; not thread-safe. */
final class HostEntryReader {
    private static final int MAX_SHARED_NAMES = 256; // distinct names of zones and kinds that are shared among hosts

    private final Map<String, String> sharedNames = new HashMap<>();
    private String id;
    private String address;
    private String zone;
    private String kind;
    private String state;
    private int cell;
    private double weight;
    private double startedMs;

    HostEntryReader() {
        reset();
    }

    /** Resets all fields to their defaults, ahead of the next entry. */
    void reset() {
        id = "";
        address = "";
        zone = "";
        kind = "";
        state = "";
        cell = 0;
        weight = 1;
        startedMs = 0;
    }

    /**
     * Sets a field. Unknown fields are ignored.
     *
     * @param value its current token is the field's value, and not an object or array
     */
    void set(String field, JsonParser value) throws IOException {
        switch (field) {
            case "id" -> id = value.getText();
            case "addr" -> address = value.getText();
            case "zone" -> zone = shareName(value.getText());
            case "kind" -> kind = shareName(value.getText());
            case "state" -> state = value.getText();
            case "cell" -> cell = value.getValueAsInt(0);
            case "weight" -> weight = value.getValueAsDouble(1);
            case "started_ms" -> startedMs = value.getValueAsDouble(0);
            default -> { }
        }
    }

    /** Sets all fields from an entry that was read as a tree. */
    void set(JsonNode entry) {
        id = entry.path("id").asText();
        address = entry.path("addr").asText();
        zone = shareName(entry.path("zone").asText());
        kind = shareName(entry.path("kind").asText());
        state = entry.path("state").asText();
        cell = entry.path("cell").asInt();
        weight = entry.path("weight").asDouble(1);
        startedMs = entry.path("started_ms").asDouble();
    }

    /** Returns one string instance for all hosts of a zone or kind, to save memory. */
    private String shareName(String text) {
        if (sharedNames.size() >= MAX_SHARED_NAMES) {
            return sharedNames.getOrDefault(text, text);
        }
        return sharedNames.computeIfAbsent(text, same -> same);
    }

    String id() {
        return id;
    }

    /**
     * Returns the host that the fields describe.
     *
     * @throws IllegalArgumentException if the id is missing, the state is unknown or the address cannot be read
     */
    Discovery.Entry toEntry() {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("the field 'id' is missing or empty");
        }
        HostState hostState = switch (state) {
            case "ready" -> HostState.RUNNING;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new IllegalArgumentException("unknown host state '" + state + "', expected ready, draining or gone");
        };
        return new Discovery.Entry(host(hostState), hostState == HostState.GONE ? null : NodeConfig.address(address));
    }

    /**
     * Returns the host of an invalid entry as draining, since it must not get new requests because of an earlier list. Its address counts
     * if it can be read, as no other host is there then. Null if the entry has no id.
     */
    Discovery.Entry toDrainingEntry() {
        return id.isEmpty() ? null : new Discovery.Entry(host(HostState.DRAINING), readableAddress());
    }

    private InetSocketAddress readableAddress() {
        try {
            return NodeConfig.address(address);
        } catch (IllegalArgumentException unreadable) {
            return null;
        }
    }

    private Host host(HostState hostState) {
        return new Host(id, zone, kind, cell, hostState, weight, startedMs);
    }
}
