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
 * Parses a request and validates it against the settings. All of it is untrusted input that the decision engine calculates
 * with: impossible units, sets of gateways or times would corrupt the quota ledger of a customer that never sent them.
 */
final class RequestParser {
    static final AsciiString TRACE_ID = AsciiString.cached("X-Trace-Id");
    static final AsciiString PLAN = AsciiString.cached("X-Plan");
    static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
    static final AsciiString EXPIRES_IN_MS = AsciiString.cached("X-Expires-In-Ms");
    static final AsciiString QUOTA = AsciiString.cached("X-Quota");
    static final AsciiString SECOND_TRY = AsciiString.cached("X-Second-Try");
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    /** Headers that may appear at most once in a request. */
    static final List<AsciiString> SINGLE = List.of(HttpHeaderNames.HOST, TRACE_ID, PLAN, CUSTOMER, EXPIRES_IN_MS, QUOTA, SECOND_TRY,
            IDEMPOTENCY_KEY);

    private static final double DELIVERY_MARGIN_MS = 20; // the answer must reach the client within its time limit
    private static final int HEX_RADIX = 16;
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_LIMIT = 1L << 33; // exclusive
    private static final int MAX_TOKEN_LENGTH = 64; // of a request id or an idempotency key
    private static final int MAX_NUMBER_LENGTH = 9; // of a plain number, so that it fits an int
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
     * Parses a request for the decision engine. Returns null when a required part is missing or malformed. The time limit of
     * the client counts from the arrival of the request, however late it is read.
     *
     * @param arrivedMs when the request arrived, from which the time limit counts
     * @param turnMs when its turn came on its connection, from which the decision engine holds it
     * @param restMs how long the rest of its body may take at the most; 0 when it has arrived completely
     */
    Request parse(FullHttpRequest message, double now, double arrivedMs, double turnMs, double restMs) {
        HttpHeaders headers = message.headers();
        RequestClass requestClass = classes.get(firstPathSegment(message.uri()));
        String plan = headers.get(PLAN);
        String id = headers.get(TRACE_ID);
        long customer = parseCustomer(headers.get(CUSTOMER));
        double limitMs = parseNumber(headers.get(EXPIRES_IN_MS), false);
        if (requestClass == null || !plans.containsKey(plan) || !isToken(id) || customer < 0 || limitMs <= 0
                || !matchesClass(requestClass, message)) {
            return null;
        }
        String quota = headers.get(QUOTA);
        double units = quotaField(quota, "units", true);
        double spread = quotaField(quota, "spread", false);
        double first = quotaField(quota, "first", false);
        int gateways = settings.gateways();
        // For a set of replicas without this gateway it would query gateways that must not answer.
        boolean valid = units > 0 && units <= settings.sharing().maxUnits() && spread >= 1 && spread <= gateways
                && first >= 0 && first < gateways && Math.floorMod(settings.me() - (int) first, gateways) < spread;
        double waitsMs = Math.min(limitMs, requestClass.deadlineMs()); // no client of this class waits longer than the deadline
        return !valid ? null : new Request(id, Math.max(now + 1, arrivedMs + waitsMs - DELIVERY_MARGIN_MS), turnMs,
                headers.contains(SECOND_TRY), requestClass.name(), customer, plan, units, (int) first, (int) spread, restMs);
    }

    /**
     * Whether method and idempotency key are those required by the request class. Repeatable requests have no body, as
     * none may be forwarded with them.
     */
    private static boolean matchesClass(RequestClass requestClass, FullHttpRequest message) {
        if (requestClass.effect() == Effect.REPEATABLE) {
            return message.method().equals(HttpMethod.GET) && !message.content().isReadable()
                    && !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        }
        return message.method().equals(HttpMethod.POST)
                && (requestClass.effect() != Effect.KEYED || isToken(message.headers().get(IDEMPOTENCY_KEY)));
    }

    private static boolean isToken(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_TOKEN_LENGTH && isWithin(text, '!', '~');
    }

    /** Whether all characters are in the range; a plain loop, because it runs several times for each request. */
    static boolean isWithin(String text, char from, char to) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < from || text.charAt(i) > to) {
                return false;
            }
        }
        return true;
    }

    /** Parses a customer identifier of {@value #CUSTOMER_DIGITS} hexadecimal digits; returns -1 if it is malformed or too large. */
    private static long parseCustomer(String text) {
        if (text == null || text.length() != CUSTOMER_DIGITS) {
            return -1;
        }
        long number = 0;
        for (int i = 0; i < CUSTOMER_DIGITS; i++) {
            int digit = text.charAt(i) <= '~' ? Character.digit(text.charAt(i), HEX_RADIX) : -1;
            if (digit < 0 || number >= CUSTOMER_LIMIT) {
                return -1;
            }
            number = number * HEX_RADIX + digit;
        }
        return number < CUSTOMER_LIMIT ? number : -1;
    }

    /**
     * Returns the value of a field that appears exactly once in a list such as {@code units=1,spread=2}. Unknown fields are
     * ignored, because a later version of the protocol may add some.
     */
    private static double quotaField(String list, String name, boolean allowsFraction) {
        double value = ABSENT;
        for (String part : list == null ? new String[0] : list.split(",", -1)) {
            int equals = part.indexOf('=');
            if (equals >= 0 && part.substring(0, equals).trim().equals(name)) {
                if (value != ABSENT) {
                    return ABSENT;
                }
                value = parseNumber(part.substring(equals + 1).trim(), allowsFraction);
                if (value < 0) {
                    return ABSENT;
                }
            }
        }
        return value;
    }

    /** Parses digits, optionally with a decimal point between them: no sign, exponent, blank, NaN or infinity. */
    private static double parseNumber(String text, boolean allowsFraction) {
        int point = -1;
        for (int i = 0; text != null && i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.' && allowsFraction && point < 0 && i > 0 && i < text.length() - 1) {
                point = i;
            } else if (c < '0' || c > '9') {
                return ABSENT;
            }
        }
        return text == null || text.isEmpty() || text.length() > MAX_NUMBER_LENGTH ? ABSENT : Double.parseDouble(text);
    }

    /** Returns the first segment of the path, which names the request class. */
    private static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.length() < 2 || uri.charAt(0) != '/' ? "" : uri.substring(1, end);
    }
}
