package marlford.storm.scale;

/** What breaks during a run. Zones and regions are by number: every 17th gateway, every 6th zone. */
public enum FaultPlan {
    /** Nothing. */
    NONE,
    /** 0.3% of the gateways a minute hand over, end and come back. */
    RESTARTS,
    /** All gateways of one zone end at once, after a third of the run, and are back after two thirds. */
    ZONE_LOST,
    /** One region and the others don't hear each other from a third to two thirds of the run. */
    REGION_CUT;

    static final int ZONES = 17;
    static final int REGIONS = 6;
    /** The zone that is lost and the region that is cut off. */
    static final int STRUCK = 2;

    static final double RESTARTED_PER_MINUTE = 0.003;
    static final double LEAVE_MS = 300; // from the word to the end
    static final double AWAY_MS = 5000; // from the end to the next life

    static int zone(int gateway) {
        return gateway % ZONES;
    }

    static int region(int gateway) {
        return zone(gateway) % REGIONS;
    }
}
