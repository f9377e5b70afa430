package marlford.gateway.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import marlford.gateway.EngineApi.Effect;
import marlford.gateway.EngineApi.Plan;
import marlford.gateway.EngineApi.Request;
import marlford.gateway.EngineApi.RequestClass;
import marlford.gateway.EngineApi.Settings;

/**
 * What a request says of itself, held against the settings. All of it comes from a stranger, and the module reckons
 * with it: units, sets and times that cannot be would spoil the books of a customer who never sent them.
 */
final class RequestParser {
    static final AsciiString ID = AsciiString.cached("X-Trace-Id");
    static final AsciiString PLAN = AsciiString.cached("X-Plan");
    static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
    static final AsciiString EXPIRES = AsciiString.cached("X-Expires-In-Ms");
    static final AsciiString QUOTA = AsciiString.cached("X-Quota");
    static final AsciiString RETRY = AsciiString.cached("X-Second-Try");
    static final AsciiString KEY = AsciiString.cached("Idempotency-Key");
    /** Of these a request says one thing or nothing. */
    static final List<AsciiString> SINGLE = List.of(HttpHeaderNames.HOST, ID, PLAN, CUSTOMER, EXPIRES, QUOTA, RETRY,
            KEY);

    private static final double MARGIN_MS = 20; // the answer must reach the client within its time
    private static final int HEX = 16;
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_END = 1L << 33;
    private static final int TEXT_MAX = 64; // characters of an id or a key
    private static final int DIGITS_MAX = 9; // of a plain number: it fits an int
    private static final double ABSENT = -1;

    private final Settings settings;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();

    RequestParser(Settings settings) {
        this.settings = settings;
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    /**
     * The request as the module knows it, or null where it is missing or has malformed what it must say. Its client
     * has been waiting since it arrived, however late it is read.
     *
     * @param came when it was read, from which its client's time counts
     * @param turnMs when its turn came on its connection, from which the decision module holds it
     * @param restMs how long the rest of its body may still take; a client's time counts from its last byte
     */
    Request read(FullHttpRequest message, double now, double came, double turnMs, double restMs) {
        HttpHeaders h = message.headers();
        RequestClass cls = classes.get(firstPart(message.uri()));
        String plan = h.get(PLAN);
        String id = h.get(ID);
        long customer = customer(h.get(CUSTOMER));
        double left = plain(h.get(EXPIRES), false);
        if (cls == null || !plans.containsKey(plan) || !isName(id) || customer < 0 || left <= 0
                || !fits(cls, message)) {
            return null;
        }
        String quota = h.get(QUOTA);
        double units = field(quota, "units", true);
        double spread = field(quota, "spread", false);
        double first = field(quota, "first", false);
        int gateways = settings.gateways();
        // A set that this gateway does not belong to would have it ask keepers that must not answer.
        boolean right = units > 0 && units <= settings.sharing().maxUnits() && spread >= 1 && spread <= gateways
                && first >= 0 && first < gateways && Math.floorMod(settings.me() - (int) first, gateways) < spread;
        double waits = Math.min(left, cls.deadlineMs()); // no client of this class waits longer
        return !right ? null : new Request(id, Math.max(now + 1, came + restMs + waits - MARGIN_MS), turnMs,
                h.contains(RETRY), cls.name(), customer, plan, units, (int) first, (int) spread, restMs);
    }

    /** The method and the key of the class; what is safe to repeat has no body, and none may be sent on with it. */
    private static boolean fits(RequestClass cls, FullHttpRequest message) {
        if (cls.effect() == Effect.REPEATABLE) {
            return message.method().equals(HttpMethod.GET) && !message.content().isReadable()
                    && !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        }
        return message.method().equals(HttpMethod.POST)
                && (cls.effect() != Effect.KEYED || isName(message.headers().get(KEY)));
    }

    private static boolean isName(String text) {
        return text != null && !text.isEmpty() && text.length() <= TEXT_MAX && isWithin(text, '!', '~');
    }

    /** Whether all characters lie in a range; a plain loop, since it runs several times for each request. */
    static boolean isWithin(String text, char from, char to) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < from || text.charAt(i) > to) {
                return false;
            }
        }
        return true;
    }

    private static long customer(String text) {
        if (text == null || text.length() != CUSTOMER_DIGITS) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < CUSTOMER_DIGITS; i++) {
            int digit = text.charAt(i) <= '~' ? Character.digit(text.charAt(i), HEX) : -1;
            if (digit < 0 || number >= CUSTOMER_END) {
                return -1;
            }
            number = number * HEX + digit;
        }
        return number < CUSTOMER_END ? number : -1;
    }

    /** The value of a field that the list names once; others may stand beside it, as a later version may say more. */
    private static double field(String list, String name, boolean fraction) {
        double value = ABSENT;
        for (String part : list == null ? new String[0] : list.split(",", -1)) {
            int equals = part.indexOf('=');
            if (equals >= 0 && part.substring(0, equals).trim().equals(name)) {
                if (value != ABSENT) {
                    return ABSENT;
                }
                value = plain(part.substring(equals + 1).trim(), fraction);
                if (value < 0) {
                    return ABSENT;
                }
            }
        }
        return value;
    }

    /** Digits, and where allowed a point between them: no sign, exponent, blank, NaN or infinity. */
    private static double plain(String text, boolean fraction) {
        int point = -1;
        for (int i = 0; text != null && i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.' && fraction && point < 0 && i > 0 && i < text.length() - 1) {
                point = i;
            } else if (c < '0' || c > '9') {
                return ABSENT;
            }
        }
        return text == null || text.isEmpty() || text.length() > DIGITS_MAX ? ABSENT : Double.parseDouble(text);
    }

    private static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.length() < 2 || uri.charAt(0) != '/' ? "" : uri.substring(1, end);
    }
}
