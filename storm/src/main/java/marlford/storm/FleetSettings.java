package marlford.storm;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Writes a process's settings of the fleet (docs/operators/fleet.md).
 *
 * @param ports of the voters, where they listen
 * @param drift by how much clocks run wrong, 0.02 for 2%
 * @param usage file for exported usage; null for a member that serves no clients
 */
record FleetSettings(Map<String, Integer> ports, long ttlMs, double drift, Path usage) {
    private static final double MILLION = 1e6;
    private static final double RUN_PART = 5; // of a session's time, for a run of a task
    private static final long EXPORT_MS = 1000; // an interval of usage
    private static final int SHARDS = 12;

    /** The timeout of a run of a task, in milliseconds. */
    double takesMs() {
        return ttlMs / RUN_PART;
    }

    /** Writes the settings of a process, which reaches the others and the resource through proxies. */
    void write(Path file, String name, ProxyNetwork network) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode()
                .put("fleet", "storm")
                .put("folder", file.resolveSibling("state").toString());
        ArrayNode voters = root.putArray("voters");
        ports.forEach((voter, own) -> {
            int port = voter.equals(name) ? own : network.toVoter(name, voter).port();
            voters.addObject().put("name", voter).put("address", "127.0.0.1:" + port);
        });
        root.putObject("session")
                .put("ttl_ms", ttlMs)
                .put("stall_ms", ttlMs / 3.0)
                .put("drift_ppm", drift * MILLION);
        if (usage != null) {
            root.putObject("probes").put("every_ms", Rig.PROBE_MS);
            root.put("lists", true);
            root.putObject("export").put("file", usage.toString()).put("interval_ms", EXPORT_MS);
        }
        ArrayNode tasks = root.putArray("tasks");
        String url = "http://127.0.0.1:" + network.toResource(name).port() + "/act";
        addTask(tasks, Rig.ONE, "single", url, 50).put("holders", 1);
        addTask(tasks, Rig.TWO, "single", url, 100).put("holders", 2);
        addTask(tasks, Rig.POOL, "sharded", url, 200).put("shards", SHARDS);
        addTask(tasks, Rig.TICK, "ticking", url, 500);
        Files.writeString(file, json.writeValueAsString(root));
    }

    private ObjectNode addTask(ArrayNode tasks, String name, String kind, String url, int everyMs) {
        return tasks.addObject()
                .put("name", name)
                .put("kind", kind)
                .put("url", url)
                .put("every_ms", everyMs)
                .put("takes_ms", takesMs());
    }
}
