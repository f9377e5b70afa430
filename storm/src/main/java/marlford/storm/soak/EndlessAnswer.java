package marlford.storm.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Locale;
import java.util.Random;

/** An answer of which a host gives a little again and again, until the gateway closes the connection. Named in the request's path. */
enum EndlessAnswer {
    HEADERS("HTTP/1.1 200 OK\r\n", "X-Header: a\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    CHUNKS(EndlessAnswer.CHUNKED_HEAD, "1\r\nx\r\n"),
    CHUNK_EXTENSION(EndlessAnswer.CHUNKED_HEAD + "1;", "e"),
    TRAILERS(EndlessAnswer.CHUNKED_HEAD + "1\r\nx\r\n0\r\n", "X-Trailer: a\r\n"),
    END_OF_CONNECTION("HTTP/1.1 200 OK\r\n\r\n", "x"),
    SHORT_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", "x"),
    ERROR_CHUNKS("HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    CHUNKS_AFTER_BURST(EndlessAnswer.CHUNKED_HEAD + "c350\r\n" + "x".repeat(0xc350) + "\r\n", "1\r\nx\r\n");

    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String PATH = "/endless-";
    private static final int INTERVAL_LEAST_MS = 50;
    private static final int INTERVAL_MS = 500;
    /** Behind a burst an answer of unknown length may pause for so long, as a long one may come in bursts. */
    private static final long PAUSE_AFTER_BURST_MS = 2000;

    private final String start;
    private final String piece;

    EndlessAnswer(String start, String piece) {
        this.start = start;
        this.piece = piece;
    }

    /** Returns what stands in front of the id in the path of a request for this answer. */
    String prefix() {
        return PATH + name().toLowerCase(Locale.ROOT) + "-";
    }

    /** Returns how long beyond the limit of a short answer it may go on, in milliseconds. */
    long extraTimeMs() {
        return this == CHUNKS_AFTER_BURST ? PAUSE_AFTER_BURST_MS : 0;
    }

    /** Returns the answer that a request asks for; null if it is another one. */
    static EndlessAnswer askedFor(String startLine) {
        for (EndlessAnswer each : values()) {
            if (startLine.contains(each.prefix())) {
                return each;
            }
        }
        return null;
    }

    /** Writes it; ends with an exception once the gateway has closed the connection. */
    void give(OutputStream out, Random random) throws IOException, InterruptedException {
        int intervalMs = INTERVAL_LEAST_MS + random.nextInt(INTERVAL_MS);
        out.write(HttpText.bytes(start));
        while (true) {
            out.write(HttpText.bytes(piece));
            Thread.sleep(intervalMs);
        }
    }
}
