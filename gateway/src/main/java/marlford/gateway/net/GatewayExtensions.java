package marlford.gateway.net;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What others add to a gateway that is part of something larger.
 *
 * @param pages on the operators' console, by their paths; each is asked on the console's loop
 * @param usage takes note of what was let in
 * @param lists says whose turn it is to ask an agent for its list
 * @param serving is given the gateway once it serves clients
 */
public record GatewayExtensions(Map<String, Supplier<String>> pages, UsageRecorder usage, SharedListFetch lists, Consumer<ServingGateway> serving) {
    /** A gateway that stands alone. */
    public static final GatewayExtensions NONE = new GatewayExtensions(Map.of(), UsageRecorder.NONE, SharedListFetch.NONE, inside -> { });
}
