import java.util.UUID;

/** Requests of clients, as PROTOCOL shows them. */
final class Requests {
    private Requests() { }

    static String newId() {
        return UUID.randomUUID().toString();
    }

    private static String headers(String id, String plan, long customer, int expiresMs, int units, int spread, int first) {
        return "Host: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Plan: " + plan + "\r\nX-Customer: "
                + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: " + expiresMs + "\r\nX-Quota: units=" + units + ",spread="
                + spread + ",first=" + first + "\r\n";
    }

    /** A request without a body, of a class that is safe to repeat. */
    static String get(String requestClass, String id, String plan, long customer, int expiresMs, int units, int spread, int first) {
        return "GET /" + requestClass + "/" + id + " HTTP/1.1\r\n" + headers(id, plan, customer, expiresMs, units, spread, first)
                + "\r\n";
    }

    /** The head of a request with a body; with a key unless that is null. */
    static String postHead(String requestClass, String id, String key, int bodyBytes, String plan, long customer, int expiresMs, int units,
            int spread, int first) {
        return "POST /" + requestClass + "/" + id + " HTTP/1.1\r\n" + headers(id, plan, customer, expiresMs, units, spread, first)
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + bodyBytes + "\r\n\r\n";
    }
}
