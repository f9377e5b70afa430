import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** The configuration of one api gateway of a small deployment of three, whose other two don't answer. */
final class Configuration {
    private static final int GATEWAYS = 3;

    final int clientPort = freePort();
    private final String discovery;
    private final String keyScope;

    /** @param keyScope the servers that drop repeats of a copy-order: {@code zone} or {@code cell} */
    Configuration(String discovery, String keyScope) throws IOException {
        this.discovery = discovery;
        this.keyScope = keyScope;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return socket.getLocalPort();
        }
    }

    String json() throws IOException {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            peers.add("\"127.0.0.1:" + freeDatagramPort() + "\"");
        }
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + clientPort + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"peer_listen\":" + peers.get(0) + ",\"peers\":[" + String.join(",", peers) + "],\"settings\":" + settings() + "}";
    }

    private String settings() {
        return "{\"domain_type\":\"gate\",\"balancers\":" + GATEWAYS + ",\"ordinal\":0,\"stage\":0,\"tick_ms\":2.0,\"az\":\"room-a\","
                + "\"zones\":[\"room-a\",\"room-b\",\"room-c\"],\"models\":[\"fast-3core\",\"std-4core\"],\"tiers\":[\"tile-servers\"],"
                + "\"weights\":\"rough\",\"discovery\":\"automatic\",\"classes\":[" + requestClass("tile-view", "repeatable", "all", 1000, 2500, 0.2, 3)
                + "," + requestClass("map-search", "repeatable", "all", 2500, 6000, 0.2, 1)
                + "," + requestClass("copy-order", "by_key", keyScope, 3000, 12000, 0, 3) + "],\"plans\":["
                + plan("basic", 2.6, 8, 0, 0, 0) + "," + plan("institution", 18, 35, 35, 71, 7) + "],"
                + "\"client_habits\":{\"marks_retry\":false},"
                + "\"limits\":{\"cancel\":true,\"conn_idle_ms\":15000.0,\"connect_timeout_ms\":250.0,\"cpu_us_per_request\":0.0,"
                + "\"cpu_us_per_s\":500000,\"max_attempts\":3,\"max_open\":20000,\"max_retry_after_ms\":500.0,\"may_duplicate\":true,"
                + "\"peer_messages\":true,\"probes\":true,\"retry_after\":true,\"streams_per_conn\":1},"
                + "\"rules\":{\"answer_slack_ms\":8.0,\"ask_within_ms\":10000.0,\"cold_from\":0.19,\"drain_grace_ms\":2000.0,"
                + "\"fall_ms\":1500.0,\"fall_multiple\":2.0,\"warm_within_ms\":15000.0},"
                + "\"telemetry\":{\"names\":[\"latency_ms\",\"util\"],\"source\":\"on_probe\"},"
                + "\"specifics\":{\"counter\":false,\"counter_price\":0.0,\"counter_timeout_ms\":0.0,\"mail_per_s\":40.0,\"max_units\":4,"
                + "\"meter_period_ms\":0.0,\"post_paid\":false},"
                + "\"goal\":{\"whole\":0.5,\"worst_class\":0.1,\"worst_tenant\":0.15,\"worst_window\":0.25},"
                + "\"costs\":{\"connection\":0.0,\"cross_zone\":0.02,\"late_fail\":0.08,\"peer\":0.01,\"probe\":0.01,\"waste\":0.03}}";
    }

    private static String requestClass(String name, String effect, String scope, int goalMs, int limitMs, double lateValue, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"key_scope\":\"" + scope + "\",\"goal_time_ms\":" + goalMs
                + ".0,\"hard_limit_ms\":" + limitMs + ".0,\"late_value\":" + lateValue + ",\"streaming\":false,\"window_ms\":7500.0,\"worth\":"
                + worth + ".0}";
    }

    private static String plan(String name, double rate, double depth, double ceilingRate, double ceilingDepth, double slack) {
        return "{\"name\":\"" + name + "\",\"at_once\":0,\"units_per_s\":" + rate + ",\"depth\":" + depth + ",\"cap_rate\":" + ceilingRate
                + ",\"never_over_depth\":" + ceilingDepth + ",\"cap_slack\":" + slack
                + ",\"excess_cost\":0.6,\"over_worth\":0.0,\"value_factor\":1.8}";
    }
}
