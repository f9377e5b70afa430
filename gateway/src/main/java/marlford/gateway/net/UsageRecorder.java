package marlford.gateway.net;

/**
 * Takes note of what was let in. Called on the event loop, once for each request, before its first byte leaves for a host;
 * it returns at once.
 */
public interface UsageRecorder {
    /** Keeps no note. */
    UsageRecorder NONE = new UsageRecorder() {
        @Override
        public void admitted(long customer, double units) { }

        @Override
        public void look() { }
    };

    /** A request was let in, and its units are charged. */
    void admitted(long customer, double units);

    /** Time passes; about once a second. */
    void look();
}
