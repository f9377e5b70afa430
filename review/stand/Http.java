import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() { }

    /** A message: its start line, its headers under lower-case names, and its body. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads the next message whole; null where the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.startLine(), head.headers(), readBody(in, head));
    }

    /** Reads a message up to the end of its headers; null where the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String startLine = readLine(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, new byte[0]);
    }

    /** Reads the body that follows a head; throws where the connection ends inside it. */
    static byte[] readBody(InputStream in, Message head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            return readChunks(in);
        }
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        return readExactly(in, length);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
            body.write(readExactly(in, length));
            readLine(in, false); // the line end behind the chunk, or the empty line behind the last one
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 && mayEnd && line.size() == 0) {
                return null;
            }
            if (b < 0) {
                throw new EOFException("the connection ended inside a line");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
