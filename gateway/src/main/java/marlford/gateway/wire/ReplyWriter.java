package marlford.gateway.wire;

import java.util.HexFormat;
import marlford.gateway.EngineApi.Actions;

/**
 * Writes the actions of one engine instance as lines of the reply to a batch. An AT line precedes its first action, and each one that
 * follows an action of another instance.
 */
final class ReplyWriter implements Actions {
    private final StringBuilder out;
    private final long instance;
    private final long[] lastInstance; // one element, shared by the writers of all instances

    /** @param lastInstance its only element is the instance named by the last AT line */
    ReplyWriter(StringBuilder out, long instance, long[] lastInstance) {
        this.out = out;
        this.instance = instance;
        this.lastInstance = lastInstance;
    }

    /** Starts a line of this instance. */
    private StringBuilder line(String name) {
        if (lastInstance[0] != instance) {
            out.append("AT gateway_id=").append(instance).append('\n');
            lastInstance[0] = instance;
        }
        return out.append(name);
    }

    /** The number with three decimals, since the simulator counts microseconds, and without an exponent. */
    private static String number(double value) {
        long thousandths = Math.round(value * 1000);
        String sign = thousandths < 0 ? "-" : "";
        long magnitude = Math.abs(thousandths);
        return sign + magnitude / 1000 + '.' + String.valueOf(1000 + magnitude % 1000).substring(1);
    }

    @Override
    public void send(String id, String host, double timeoutMs) {
        line("PLACE op_id=").append(id).append(" host=").append(host);
        if (timeoutMs > 0) {
            out.append(" limit_ms=").append(number(timeoutMs));
        }
        out.append('\n');
    }

    @Override
    public void cancel(String id, int attempt) {
        line("ABANDON op_id=").append(id).append(" hop=").append(attempt).append('\n');
    }

    @Override
    public void refuse(String id, double retryAfterMs) {
        line("OVERLOAD_REPLY op_id=").append(id);
        if (retryAfterMs > 0) {
            out.append(" wait_ms=").append(number(retryAfterMs));
        }
        out.append('\n');
    }

    @Override
    public void fail(String id) {
        line("ABORT op_id=").append(id).append('\n');
    }

    @Override
    public void startTimer(double delayMs, String token) {
        line("TIMER in_ms=").append(number(delayMs)).append(" cookie=").append(token).append('\n');
    }

    @Override
    public void probe(String host) {
        line("HEALTH_CHECK host=").append(host).append('\n');
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        line("NOTIFY dest=").append(peer).append(" contents=")
                .append(data.length == 0 ? "-" : HexFormat.of().formatHex(data)).append('\n');
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        line("ADD_AND_GET counter=").append(counter).append(" by=").append(number(amount))
                .append(" lifetime_ms=").append(number(lifetimeMs)).append('\n');
    }

    @Override
    public void watchHosts() {
        line("KEEP_INFORMED want=1\n");
    }
}
