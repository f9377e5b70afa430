import java.util.List;

/** The configuration of a gateway, with the settings that the pages show for port-louis-archive. */
final class Site {
    String discovery; // address
    String discoveryMode = "automatic";
    int ordinal;
    List<String> peers = List.of(); // one address for each gateway; empty for a tier of one without messages
    String known = "{\"version\":0,\"full\":true,\"servers\":[]}";
    String copyOrderEffect = "by_key";
    int copyOrderDeadlineMs = 12_000;
    String institutionOverWorth = "0.0"; // worth of what goes beyond the quota; above its cost the ceiling alone limits the plan
    long seed = 0x8c1f30d27a5be964L;

    /** The configuration as JSON. */
    String config(Gateway gateway) {
        int gateways = Math.max(1, peers.size());
        String quotedPeers = peers.isEmpty() ? "" : "\"" + String.join("\",\"", peers) + "\"";
        String peerListen = peers.isEmpty() ? "" : "\"peer_listen\":\"" + peers.get(ordinal) + "\",";
        return "{\"name\":\"" + gateway.name + "\",\"listen\":\"127.0.0.1:" + gateway.port + "\",\"console\":\"127.0.0.1:"
                + gateway.console + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"" + Long.toHexString(seed) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," + peerListen + "\"peers\":[" + quotedPeers + "],"
                + "\"known\":" + known + ",\"settings\":" + settings(gateways) + "}";
    }

    private String settings(int gateways) {
        return """
                {"az":"room-a","balancers":%d,"ordinal":%d,"stage":0,"tick_ms":2.0,"domain_type":"gate","discovery":"%s",
                 "classes":[
                  {"name":"tile-view","effect":"repeatable","key_scope":"all","goal_time_ms":1000.0,"hard_limit_ms":2500.0,
                   "late_value":0.2,"streaming":false,"window_ms":5000.0,"worth":3.0},
                  {"name":"map-search","effect":"repeatable","key_scope":"all","goal_time_ms":2500.0,"hard_limit_ms":6000.0,
                   "late_value":0.2,"streaming":false,"window_ms":5000.0,"worth":1.0},
                  {"name":"copy-order","effect":"%s","key_scope":"zone","goal_time_ms":3000.0,"hard_limit_ms":%d,
                   "late_value":0.0,"streaming":false,"window_ms":7500.0,"worth":3.0}],
                 "client_habits":{"marks_retry":false},
                 "costs":{"connection":0.0,"cross_zone":0.02,"discovery":0.0,"handshake":0.0,"late_fail":0.08,"moves":0.0,"origin":0.0,
                  "peer":0.01,"probe":0.01,"waste":0.03},
                 "goal":{"whole":0.5,"worst_class":0.1,"worst_tenant":0.15,"worst_window":0.25},
                 "limits":{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,
                  "cpu_us_per_s":500000,"max_attempts":3,"max_open":20000,"max_retry_after_ms":500.0,"may_duplicate":true,
                  "peer_messages":%s,"probes":true,"retry_after":true,"streams_per_conn":1},
                 "models":["fast-3core","std-4core"],
                 "plans":[
                  {"name":"basic","at_once":0,"cap_rate":0.0,"cap_slack":0.0,"depth":8.0,"excess_cost":1.0,"never_over_depth":0.0,
                   "over_worth":0.0,"units_per_s":2.6,"value_factor":1.1},
                  {"name":"institution","at_once":0,"cap_rate":35.0,"cap_slack":7.0,"depth":35.0,"excess_cost":0.6,
                   "never_over_depth":71.0,"over_worth":%s,"units_per_s":18.0,"value_factor":1.8}],
                 "rules":{"answer_slack_ms":8.0,"ask_within_ms":10000.0,"cold_from":0.19,"drain_grace_ms":2000.0,"fall_ms":1500.0,
                  "fall_multiple":2.0,"warm_within_ms":15000.0},
                 "specifics":{"counter":false,"counter_price":0.0,"counter_timeout_ms":0.0,"mail_per_s":40.0,"max_units":4,
                  "meter_period_ms":0.0,"post_paid":false},
                 "telemetry":{"names":["latency_ms","util"],"source":"on_probe"},"tiers":["tile-servers"],"weights":"rough",
                 "zones":["room-a","room-b","room-c"]}
                """.formatted(gateways, ordinal, discoveryMode, copyOrderEffect, copyOrderDeadlineMs, peers.isEmpty() ? "false" : "true",
                        institutionOverWorth)
                .replace("\n", "");
    }
}
