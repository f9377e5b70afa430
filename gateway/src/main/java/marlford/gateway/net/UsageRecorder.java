package marlford.gateway.net;

/**
 * Records admitted requests. Methods are called on the event loop and must return at once; {@link #admitted} is called once
 * per request, before its first byte is written to a host.
 */
public interface UsageRecorder {
    /** Records nothing. */
    UsageRecorder NONE = new UsageRecorder() {
        @Override
        public void admitted(long customer, double units) { }

        @Override
        public void onTick() { }
    };

    /** Records that a request was admitted and that its units are charged. */
    void admitted(long customer, double units);

    /** Called about once per second, so that the recorder can do periodic work. */
    void onTick();
}
