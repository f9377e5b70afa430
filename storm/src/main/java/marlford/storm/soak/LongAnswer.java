package marlford.storm.soak;

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
    private static final int PIECES = 4; // of the longest answer
    private static final byte[] PIECE =
            new byte[SoakHosts.LONG_BYTES / PIECES]; // shared, as many answers are written at once
    private static final int LUMP_BYTES = 40_000;
    private static final int FIRST_LUMP_BYTES = 5;
    private static final long LUMP_PAUSE_MS = 300;
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
     * Writes the longest answer, in pieces.
     *
     * @param pauseMs supplies the pause after each piece, in milliseconds
     */
    static void writeLongest(OutputStream out, LongSupplier pauseMs) throws IOException {
        out.write(HttpText.bytes(HEAD + "Content-Length: " + SoakHosts.LONG_BYTES + HEAD_END));
        for (int i = 0; i < PIECES; i++) {
            out.write(PIECE);
            Threads.pause(pauseMs.getAsLong());
        }
    }

    /** Writes an answer of told length as the last of its connection, and returns once the gateway has taken it whole. */
    static void writeAsLast(Socket socket, int bytes) throws IOException {
        socket.getOutputStream()
                .write(HttpText.bytes(HEAD + "Connection: close\r\n" + "Content-Length: " + bytes + HEAD_END));
        socket.getOutputStream().write(PIECE, 0, bytes);
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
        out.write(chunked ? HttpText.chunk(length) : new byte[length]);
    }
}
