package marlford.storm.scale;

/**
 * The settings of one run in virtual time.
 *
 * @param gateways how many there are
 * @param workload who asks for what
 * @param link what lies between gateways
 * @param faults what breaks
 * @param warmUpSeconds under load, before counting begins
 * @param seconds that are counted
 * @param seed all chance is drawn from it
 */
public record VirtualRun(
        int gateways,
        Workload workload,
        LinkProfile link,
        FaultPlan faults,
        double warmUpSeconds,
        double seconds,
        long seed) {}
