package marlford.storm.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Writes the long answers of the soak's hosts. */
final class LongAnswer {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String HEAD_END = "\r\n\r\n";
    private static final int PIECES = 4; // of an answer of told length
    private static final int LUMP_BYTES = 40_000;
    private static final int FIRST_LUMP_BYTES = 5;
    private static final long LUMP_PAUSE_MS = 300;
    private static final byte[] LUMP = new byte[LUMP_BYTES];
    private static final Pattern SIZE = Pattern.compile("/" + SoakHosts.SIZED + "(\\d+)-");

    private LongAnswer() {}

    /** Returns the length that a request for an answer of told length asks for, in bytes. */
    static int sizeOf(String startLine) {
        Matcher size = SIZE.matcher(startLine);
        if (!size.find()) {
            throw new IllegalArgumentException("no size in " + startLine);
        }
        return Integer.parseInt(size.group(1));
    }

    /**
     * Writes an answer of told length in pieces.
     *
     * @param pauseMs supplies the pause after each piece, in milliseconds
     */
    static void writeAtLength(OutputStream out, int bytes, LongSupplier pauseMs) throws IOException {
        out.write(HttpText.bytes(HEAD + "Content-Length: " + bytes + HEAD_END));
        int piece = bytes / PIECES;
        for (int i = 0; i < PIECES; i++) {
            out.write(new byte[i < PIECES - 1 ? piece : bytes - i * piece]);
            Threads.pause(pauseMs.getAsLong());
        }
    }

    /** Writes an answer of told length as the last of its connection, and returns once the gateway has taken it whole. */
    static void writeAsLast(Socket socket, int bytes) throws IOException {
        socket.getOutputStream()
                .write(HttpText.bytes(HEAD + "Connection: close\r\n" + "Content-Length: " + bytes + HEAD_END));
        socket.getOutputStream().write(new byte[bytes]);
        socket.shutdownOutput();
        socket.getInputStream().read(); // the gateway ends the connection then
    }

    /** Writes an answer of unknown length with pauses, in chunks or up to the end of the connection. */
    static void writeLumps(OutputStream out, boolean chunked) throws IOException {
        out.write(HttpText.bytes(HEAD + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n")));
        writeLump(out, FIRST_LUMP_BYTES, chunked);
        for (int sent = FIRST_LUMP_BYTES; sent < SoakHosts.LUMPS_BYTES; sent += LUMP_BYTES) {
            Threads.pause(LUMP_PAUSE_MS);
            writeLump(out, Math.min(LUMP_BYTES, SoakHosts.LUMPS_BYTES - sent), chunked);
        }
        if (chunked) {
            out.write(HttpText.bytes("0\r\n\r\n"));
        }
    }

    private static void writeLump(OutputStream out, int length, boolean chunked) throws IOException {
        ByteArrayOutputStream lump = new ByteArrayOutputStream();
        if (chunked) {
            lump.writeBytes(HttpText.bytes(Integer.toHexString(length) + "\r\n"));
        }
        lump.write(LUMP, 0, length);
        if (chunked) {
            lump.writeBytes(HttpText.bytes("\r\n"));
        }
        out.write(lump.toByteArray());
    }
}
