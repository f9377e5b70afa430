package marlford.storm.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.quota.QuotaTerms;

/**
 * What the configurations of real processes have in common.
 *
 * @param discovery its address
 * @param peers the addresses of all gateways
 * @param mailPerSecond messages that each of them takes in
 * @param plans in the order of their numbers
 */
record ProcessSettings(String discovery, List<String> peers, double mailPerSecond, List<QuotaTerms> plans) {
    /** The intake of messages that fleets are designed for. */
    static final int MAIL_PER_S = 40;

    private static final int PEER_PORT = 9;
    private static final int PEERS_PER_BYTE = 250;

    /** The first ones are free ports of this machine, the others addresses at which nobody is. */
    static List<String> peerAddresses(int processes, int peers) throws IOException {
        List<String> addresses = new ArrayList<>();
        List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            held.add(free);
            addresses.add("127.0.0.1:" + free.getLocalPort());
        }
        held.forEach(DatagramSocket::close);
        for (int i = processes; i < peers; i++) {
            addresses.add("127.2." + i / PEERS_PER_BYTE + "." + (1 + i % PEERS_PER_BYTE) + ":" + PEER_PORT);
        }
        return addresses;
    }

    /** The configuration of one gateway, as JSON. */
    String text(int number, int port) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode();
        root.put("name", "g" + number)
                .put("listen", "127.0.0.1:" + port)
                .put("discovery", discovery)
                .put("peer_listen", peers.get(number))
                .put("seed", Integer.toHexString(number + 1));
        ArrayNode all = root.putArray("peers");
        peers.forEach(all::add);
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        ObjectNode settings = root.putObject("settings")
                .put("ordinal", number)
                .put("balancers", peers.size())
                .put("az", "z0");
        fillSettings(settings);
        return json.writeValueAsString(root);
    }

    private void fillSettings(ObjectNode settings) {
        settings.putObject("limits")
                .put("max_attempts", 3)
                .put("cancel", true)
                .put("probes", true)
                .put("peer_messages", true)
                .put("retry_after", true)
                .put("max_retry_after_ms", 500)
                .put("connect_timeout_ms", 1000);
        settings.putObject("rules")
                .put("warm_within_ms", 1000)
                .put("cold_from", 0.2)
                .put("fall_multiple", 2);
        settings.putObject("specifics").put("max_units", Workload.MAX_UNITS).put("mail_per_s", mailPerSecond);
        settings.putArray("classes")
                .addObject()
                .put("name", "view")
                .put("effect", "repeatable")
                .put("goal_time_ms", 2000)
                .put("hard_limit_ms", 4000);
        ArrayNode all = settings.putArray("plans");
        for (int i = 0; i < plans.size(); i++) {
            QuotaTerms terms = plans.get(i);
            all.addObject()
                    .put("name", planName(i))
                    .put("units_per_s", terms.rate())
                    .put("depth", terms.burst())
                    .put("cap_rate", terms.ceilingRate())
                    .put("never_over_depth", terms.ceilingBurst());
        }
    }

    /** The name of a plan, by its number. */
    static String planName(int number) {
        return "plan" + number;
    }

    /** A TCP port of this machine that nobody listens at now. */
    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }
}
