package marlford.storm.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a run in virtual time counted. The same settings give the same figures; none of them is of the machine's clock.
 *
 * @param tries requests that were asked
 * @param triesPerGatewaySecond the same, a second and gateway
 * @param messagesPerGatewaySecond messages sent, a second and gateway
 * @param bytesPerGatewaySecond their bytes without headers
 * @param wireBytesPerGatewaySecond their bytes with 28 of header for each
 * @param receivedPerGatewaySecond messages taken in, a second and gateway
 * @param droppedShare share of the messages that arrived and found their receiver's intake spent
 * @param waitP50Ms decision time at the median
 * @param waitP99Ms decision time at 99 of 100
 * @param letInShare share of the decided requests that were let in
 * @param refusedWithRoomShare share of the tries refused while every store of the customer was at half or more
 * @param beyondQuotaShare share of the units sent on for customers with a quota that went beyond it
 * @param lowestCeiling least that any ceiling's true store held; below 0 a ceiling was passed; 0 where there is none
 * @param customersPerGateway customers that a gateway was asked about, in the mean
 * @param peersPerGateway other gateways that one heard, in the mean
 * @param openAtEnd requests whose decision was out at the end
 * @param counters the quota code's own counters, a second and gateway, by name
 */
public record FleetFigures(
        long tries,
        double triesPerGatewaySecond,
        double messagesPerGatewaySecond,
        double bytesPerGatewaySecond,
        double wireBytesPerGatewaySecond,
        double receivedPerGatewaySecond,
        double droppedShare,
        double waitP50Ms,
        double waitP99Ms,
        double letInShare,
        double refusedWithRoomShare,
        double beyondQuotaShare,
        double lowestCeiling,
        double customersPerGateway,
        double peersPerGateway,
        long openAtEnd,
        Map<String, Double> counters) {
    /** All of them by the names that results carry. */
    Map<String, Double> byName() {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("tries", (double) tries);
        figures.put("tries_per_gateway_second", triesPerGatewaySecond);
        figures.put("messages_per_gateway_second", messagesPerGatewaySecond);
        figures.put("bytes_per_gateway_second", bytesPerGatewaySecond);
        figures.put("wire_bytes_per_gateway_second", wireBytesPerGatewaySecond);
        figures.put("received_per_gateway_second", receivedPerGatewaySecond);
        figures.put("dropped_share", droppedShare);
        figures.put("wait_p50_ms", waitP50Ms);
        figures.put("wait_p99_ms", waitP99Ms);
        figures.put("let_in_share", letInShare);
        figures.put("refused_with_room_share", refusedWithRoomShare);
        figures.put("beyond_quota_share", beyondQuotaShare);
        figures.put("lowest_ceiling", lowestCeiling);
        figures.put("customers_per_gateway", customersPerGateway);
        figures.put("peers_per_gateway", peersPerGateway);
        figures.put("open_at_end", (double) openAtEnd);
        counters.forEach((name, value) -> figures.put("counter_" + name, value));
        return figures;
    }
}
