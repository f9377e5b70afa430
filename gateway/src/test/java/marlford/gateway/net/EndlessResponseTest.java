package marlford.gateway.net;

import static marlford.gateway.net.Sockets.bytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import marlford.gateway.net.Sockets.Client;
import marlford.gateway.net.Sockets.RecordingServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests without an end, whose host goes on to give a little of its answer for ever. */
class EndlessResponseTest extends SocketTest {
    /** A final answer comes at most half a second after the client's time, and limits are 50 ms longer on sockets. */
    private static final long ANSWER_SLACK_MS = 500 + 50;
    /** A host of a long answer may pause for 5 s; the rest is for checks and a busy machine. */
    private static final long LONG_ANSWER_LIMIT_MS = 8000;

    private static final long GIVE_UP_MS = 1000; // after the limit
    private static final int SHORT_WAIT_MS = 600;
    private static final int LONG_WAIT_MS = 10_000;
    private static final long REST_MS = 200; // after which a connection is used again
    private static final int PAUSE_AT_BYTES = 80_000;
    private static final int LONG_BYTES = 100_000;
    private static final int SHORT_BYTES = 50_000;
    private static final int BURST_BYTES = 70_000; // known to be long from then on
    private static final int SHORT_BURST_BYTES = 50_000; // short, if its end is told by what follows
    /** An answer of unknown length may pause for 2 s past its time; the rest is for checks and a busy machine. */
    private static final long UNKNOWN_LENGTH_LIMIT_MS = 2000 + 550;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BURST = "x".repeat(BURST_BYTES);
    private static final String BURST_CHUNK = chunk(BURST);
    private static final String SHORT_BURST = "x".repeat(SHORT_BURST_BYTES);
    private static final String SHORT_BURST_CHUNK = chunk(SHORT_BURST);
    private static final String PIECE = "piece of it ";
    private static final String CHUNK = "c\r\n" + PIECE + "\r\n";

    /** Where in its answer the host is when it begins to give only a little: what it sends first, and then for ever. */
    enum State {
        WITHIN_START_LINE("HTTP/1.1 200 O", "K"),
        WITHIN_HEADER(OK + "X-Long: ", "a"),
        HEADERS(OK, "X-Header: a\r\n"),
        INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
        WITHIN_INTERIM_HEAD("HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"),
        HEAD_BEHIND_INTERIM_RESPONSE("HTTP/1.1 100 Continue\r\n\r\n" + OK, "X-Header: a\r\n"),
        CHUNKS(OK + CHUNKED, CHUNK),
        CHUNKS_OF_ONE_BYTE(OK + CHUNKED, "1\r\nx\r\n"),
        WITHIN_CHUNK(OK + CHUNKED + "ffffff\r\n", "x"),
        CHUNK_EXTENSION(OK + CHUNKED + "c;", "e"),
        TRAILERS(OK + CHUNKED + CHUNK + "0\r\n", "X-Trailer: a\r\n"),
        END_OF_CONNECTION(OK + "\r\n", PIECE),
        END_OF_CONNECTION_HTTP_1_0("HTTP/1.0 200 OK\r\n\r\n", PIECE),
        SHORT_LENGTH(OK + "Content-Length: " + SHORT_BYTES + "\r\n\r\n", PIECE),
        ERROR_CHUNKS("HTTP/1.1 500 Oops\r\n" + CHUNKED, CHUNK),
        ERROR_LENGTH("HTTP/1.1 503 Busy\r\nContent-Length: " + SHORT_BYTES + "\r\n\r\n", PIECE),

        LONG_LENGTH(OK + "Content-Length: " + LONG_BYTES + "\r\n\r\n", PIECE),
        LONG_LENGTH_AFTER_BURST(OK + "Content-Length: " + LONG_BYTES + "\r\n\r\n" + BURST, PIECE),
        CHUNKS_AFTER_BURST(OK + CHUNKED + BURST_CHUNK, CHUNK),
        CHUNK_EXTENSION_AFTER_BURST(OK + CHUNKED + BURST_CHUNK + "c;", "e"),
        TRAILERS_AFTER_BURST(OK + CHUNKED + BURST_CHUNK + "0\r\n", "X-Trailer: a\r\n"),
        END_OF_CONNECTION_AFTER_BURST(OK + "\r\n" + BURST, PIECE),

        CHUNKS_AFTER_SHORT_BURST(OK + CHUNKED + SHORT_BURST_CHUNK, CHUNK),
        WITHIN_CHUNK_AFTER_SHORT_BURST(OK + CHUNKED + SHORT_BURST_CHUNK + "ffffff\r\n", "x"),
        CHUNK_EXTENSION_AFTER_SHORT_BURST(OK + CHUNKED + SHORT_BURST_CHUNK + "c;", "e"),
        TRAILERS_AFTER_SHORT_BURST(OK + CHUNKED + SHORT_BURST_CHUNK + "0\r\n", "X-Trailer: a\r\n"),
        END_OF_CONNECTION_AFTER_SHORT_BURST(OK + "\r\n" + SHORT_BURST, PIECE);

        final String start;
        final String piece;

        State(String start, String piece) {
            this.start = start;
            this.piece = piece;
        }

        boolean mayBeLong() {
            return name().contains("LONG") || name().contains("BURST") && !hasShortBurst();
        }

        boolean hasShortBurst() {
            return name().endsWith("SHORT_BURST");
        }
    }

    private static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    /** How often the host gives a piece: within the shortest limit on pauses, and just within that of a short overdue answer. */
    enum Interval {
        OFTEN(100), SELDOM(500);

        final long ms;

        Interval(long ms) {
            this.ms = ms;
        }
    }

    /** Each state has a gateway and a host of its own, and all run at once. */
    @ParameterizedTest
    @CsvSource({"OFTEN, 2500", "SELDOM, 2500", "OFTEN, 1000", "SELDOM, 1000"})
    void aHostThatGivesALittleGetsAnEnd(Interval interval, int waitMs) throws Exception {
        Map<State, Future<Long>> endsMs = new EnumMap<>(State.class);
        for (State state : State.values()) {
            Client client = connectClient(startNodeWithHosts(startEndlessHost(state, interval)));
            endsMs.put(state, startThread(() -> timeToEndMs(client.socket, waitMs, limitMs(state, waitMs))));
        }
        List<String> withoutEnd = new ArrayList<>();
        for (State state : State.values()) {
            long endMs = endsMs.get(state).get();
            if (endMs > limitMs(state, waitMs)) {
                withoutEnd.add(state + " after " + endMs + " ms");
            }
        }
        assertEquals(List.of(), withoutEnd);
    }

    /** Guards against a response that counted as long because an earlier one on its connection was. */
    @Test
    void anEndlessResponseBehindALongOneGetsAnEnd() throws Exception {
        Set<Integer> gatewayPorts = ConcurrentHashMap.newKeySet();
        RecordingServer host = startHost((m, s) -> {
            gatewayPorts.add(s.getPort());
            if (m.header("X-Trace-Id").equals("long")) {
                s.getOutputStream().write(bytes(State.LONG_LENGTH.start + "x".repeat(LONG_BYTES)));
            } else {
                giveForEver(State.CHUNKS, Interval.OFTEN, s.getOutputStream());
            }
        });
        Client client = connectClient(startNodeWithHosts(host));
        assertEquals(LONG_BYTES, client.send(Sockets.view("long", LONG_WAIT_MS)).receive().body().length);
        Thread.sleep(REST_MS);
        long limitMs = limitMs(State.CHUNKS, SHORT_WAIT_MS);
        long endMs = timeToEndMs(client.socket, SHORT_WAIT_MS, limitMs);
        assertTrue(endMs <= limitMs, "no end within " + limitMs + " ms");
        assertEquals(1, gatewayPorts.size(), "both came over one connection");
    }

    private static long limitMs(State state, int waitMs) {
        if (state.mayBeLong()) {
            return LONG_ANSWER_LIMIT_MS;
        }
        return state.hasShortBurst() ? Math.max(UNKNOWN_LENGTH_LIMIT_MS, waitMs + ANSWER_SLACK_MS) : waitMs + ANSWER_SLACK_MS;
    }

    private RecordingServer startEndlessHost(State state, Interval interval) throws IOException {
        return startHost((m, s) -> giveForEver(state, interval, s.getOutputStream()));
    }

    private static void giveForEver(State state, Interval interval, OutputStream out) throws IOException, InterruptedException {
        out.write(bytes(state.start));
        while (true) {
            out.write(bytes(state.piece));
            Thread.sleep(interval.ms);
        }
    }

    private static <T> Future<T> startThread(Callable<T> work) {
        FutureTask<T> task = new FutureTask<>(work);
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return task;
    }

    /** Sends a request and returns the time to its end, or the time at which waiting for one was given up, in milliseconds. */
    private static long timeToEndMs(Socket socket, int waitMs, long limitMs) throws IOException {
        long sentNanos = System.nanoTime();
        socket.getOutputStream().write(bytes(Sockets.view("endless", waitMs)));
        awaitEnd(socket, limitMs + GIVE_UP_MS);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    }

    /** Reads up to the end of an answer without a body, or of the connection, or up to the first input after the given time. */
    private static void awaitEnd(Socket socket, long limitMs) throws IOException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        socket.setSoTimeout((int) limitMs);
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        boolean inHead = true;
        try {
            for (int next = in.read(); next >= 0 && System.nanoTime() < untilNanos; next = in.read()) {
                if (inHead) {
                    head.append((char) next);
                    inHead = !head.toString().endsWith("\r\n\r\n");
                }
                if (!inHead && head.toString().contains("content-length: 0\r\n")) {
                    return;
                }
            }
        } catch (IOException e) {
            return; // a reset, or nothing came in time
        }
    }

    /** Long answers whose host takes its time: they come whole, however long after the client's time. */
    enum Pace {
        SIXTEEN_KB_A_SECOND(4000, 250, 0),
        LUMPS(40_000, 1500, 0),
        ONE_LONG_PAUSE(20_000, 100, 3500);

        final int partBytes;
        final long intervalMs;
        final long pauseMs; // once, before byte PAUSE_AT_BYTES

        Pace(int partBytes, long intervalMs, long pauseMs) {
            this.partBytes = partBytes;
            this.intervalMs = intervalMs;
            this.pauseMs = pauseMs;
        }
    }

    /** How the end of a long answer is told. */
    enum Framing {
        END_OF_CONNECTION(OK + "\r\n"), LENGTH(OK + "Content-Length: " + LONG_BYTES + "\r\n\r\n");

        final String head;

        Framing(String head) {
            this.head = head;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aSlowLongAnswerComesWhole(Framing framing) throws Exception {
        Map<Pace, Future<Integer>> lengths = new EnumMap<>(Pace.class);
        for (Pace pace : Pace.values()) {
            Client client = connectClient(startNodeWithHosts(startSlowHost(framing, pace)));
            lengths.put(pace, startThread(() -> {
                InputStream in = client.send(Sockets.view("slow", SHORT_WAIT_MS)).socket.getInputStream();
                return Sockets.readBody(Sockets.readHead(in), in);
            }));
        }
        for (Pace pace : Pace.values()) {
            assertEquals(LONG_BYTES, lengths.get(pace).get(), pace.toString());
        }
    }

    private RecordingServer startSlowHost(Framing framing, Pace pace) throws IOException {
        return startHost((m, s) -> {
            OutputStream out = s.getOutputStream();
            out.write(bytes(framing.head));
            for (int sent = 0; sent < LONG_BYTES; sent += pace.partBytes) {
                Thread.sleep(sent == PAUSE_AT_BYTES ? Math.max(pace.intervalMs, pace.pauseMs) : pace.intervalMs);
                out.write(new byte[Math.min(pace.partBytes, LONG_BYTES - sent)]);
            }
            s.close();
        });
    }
}
