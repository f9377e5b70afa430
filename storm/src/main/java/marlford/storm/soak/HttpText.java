package marlford.storm.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages as the soak's clients and hosts need them. */
final class HttpText {
    private static final int HEX_RADIX = 16;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private HttpText() {}

    /** A message with a length, or with none. */
    record Message(String start, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** The next message, its body read and dropped; null where the connection ends first. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) {
            return null;
        }
        if ("chunked".equals(message.header("Transfer-Encoding"))) {
            readBody(message, in);
            return message;
        }
        int length = Integer.parseInt(message.headers().getOrDefault("content-length", "0"));
        return in.readNBytes(length).length < length ? null : message;
    }

    /** The length of a message's body, read and dropped; fails where the connection ends first. */
    static int readBody(Message head, InputStream in) throws IOException {
        if (!"chunked".equals(head.header("Transfer-Encoding"))) {
            int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
            return in.readNBytes(length).length;
        }
        int total = 0;
        while (true) {
            int length = Integer.parseInt(readLine(in), HEX_RADIX);
            if (in.readNBytes(length).length < length) {
                throw new EOFException("the connection ended within a chunk");
            }
            readLine(in);
            if (length == 0) {
                return total;
            }
            total += length;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** The head of the next message; null where the connection ends first. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(END_OF_HEAD)) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers);
    }

    /** A chunk of zero bytes, as bytes on the wire. */
    static byte[] chunk(int length) {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.writeBytes(bytes(Integer.toHexString(length) + "\r\n"));
        chunk.writeBytes(new byte[length]);
        chunk.writeBytes(bytes("\r\n"));
        return chunk.toByteArray();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
