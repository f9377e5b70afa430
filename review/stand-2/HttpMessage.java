import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 message as it was read from a connection, with its headers under lower-case names. */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    private static final int HEX_RADIX = 16;
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Returns the path of a request. */
    String path() {
        return startLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    boolean closesConnection() {
        return "close".equalsIgnoreCase(header("connection"));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a whole message; returns null where the connection ends before its first byte. */
    static HttpMessage read(InputStream in) throws IOException {
        HttpMessage head = readHead(in);
        return head == null ? null : new HttpMessage(head.startLine, head.headers, readBody(in, head));
    }

    /** Reads the head of a message; returns null where the connection ends before its first byte. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String startLine = readLine(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new HttpMessage(startLine, headers, new byte[0]);
    }

    private static byte[] readBody(InputStream in, HttpMessage head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            return readChunks(in);
        }
        int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
        return readFully(in, length);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int length = Integer.parseInt(readLine(in, false).trim(), HEX_RADIX);
        while (length > 0) {
            body.write(readFully(in, length));
            readLine(in, false);
            length = Integer.parseInt(readLine(in, false).trim(), HEX_RADIX);
        }
        readLine(in, false);
        return body.toByteArray();
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return body;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 && mayEnd && line.size() == 0) {
                return null;
            }
            if (b < 0 || line.size() > MAX_HEAD_BYTES) {
                throw new EOFException("the connection ended within a head, or the head is too long");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
