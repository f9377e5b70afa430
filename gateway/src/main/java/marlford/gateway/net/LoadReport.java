package marlford.gateway.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the load figures that hosts report, in the header of an answer or in the body of a probe's answer. */
final class LoadReport {
    static final AsciiString HEADER = AsciiString.cached("Endpoint-Load-Metrics");
    private static final double[] NONE = new double[0];

    private LoadReport() { }

    /** Returns the load figures in the header of a response, in the order of the names; empty if there are none. */
    static double[] ofHeader(HttpResponse response, List<String> names) {
        String text = response.headers().get(HEADER);
        return text == null ? NONE : parse(text, names);
    }

    /**
     * Parses {@code TEXT a=1, b=2}. Returns the named figures in the order of the names; empty if one of them is missing or any value is
     * not a finite number.
     */
    static double[] parse(String text, List<String> names) {
        Map<String, Double> values = new HashMap<>();
        for (String part : text.substring(text.indexOf(' ') + 1).split(",")) {
            int equals = part.indexOf('=');
            try {
                double value = Double.parseDouble(part.substring(equals + 1).trim());
                if (!Double.isFinite(value)) {
                    return NONE;
                }
                values.put(part.substring(0, Math.max(0, equals)).trim(), value);
            } catch (NumberFormatException e) {
                return NONE;
            }
        }
        return values.keySet().containsAll(names) ? names.stream().mapToDouble(values::get).toArray() : NONE;
    }
}
