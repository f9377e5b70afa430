package marlford.gateway.net;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Extensions of a gateway that is part of a larger system.
 *
 * @param pages additional pages of the operator console by path; each supplier is called on the console's event loop
 * @param usageRecorder records admitted requests
 * @param sharedListFetch coordinates which gateway fetches the host list from a discovery agent
 * @param onServing receives the gateway once it serves clients
 */
public record GatewayExtensions(Map<String, Supplier<String>> pages, UsageRecorder usageRecorder, SharedListFetch sharedListFetch,
        Consumer<ServingGateway> onServing) {
    /** Extensions of a standalone gateway, which do nothing. */
    public static final GatewayExtensions NONE =
            new GatewayExtensions(Map.of(), UsageRecorder.NONE, SharedListFetch.NONE, gateway -> { });
}
