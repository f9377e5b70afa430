package marlford.gateway.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import marlford.gateway.DecisionEngine;
import marlford.gateway.EngineApi.AttemptResult;
import marlford.gateway.EngineApi.Host;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.EngineApi.ListKind;
import marlford.gateway.EngineApi.Outcome;
import marlford.gateway.EngineApi.Request;

/** Runs many instances of the decision engine for the simulator: translates its lines into events, and actions into lines. */
final class WireHost {
    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, DecisionEngine> engines = new TreeMap<>();
    private final Map<Integer, List<Host>> hostsByPage = new TreeMap<>();
    private final long[] lastInstance = {Long.MIN_VALUE}; // named by the last AT line of the reply; none at first
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String line = "";

    WireHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws WireFormatException if a line can't be processed; the message names the line and what is wrong with it
     */
    void run() throws IOException {
        try {
            while (next()) {
                if (line.isEmpty()) {
                    continue;
                }
                batch();
            }
        } catch (WireFormatException fault) {
            throw new WireFormatException("line " + lineNumber + ": " + fault.getMessage());
        }
    }

    /** Reads the next line; false at the end of the input. */
    private boolean next() throws IOException {
        line = in.readLine();
        lineNumber++;
        return line != null;
    }

    /** The name of the message, which ends at the first space. */
    private static String nameOf(String line) {
        int space = line.indexOf(' ');
        return space < 0 ? line : line.substring(0, space);
    }

    /** The fields of the current line. */
    private Fields fields() {
        int space = line.indexOf(' ');
        return new Fields(space < 0 ? "" : line.substring(space + 1));
    }

    /** Processes one batch, whose first line is the current one, and writes the reply. */
    private void batch() throws IOException {
        if (!nameOf(line).equals("BEGIN_BATCH")) {
            throw new WireFormatException("expected BEGIN_BATCH, found '" + nameOf(line) + "'");
        }
        Fields head = fields();
        double now = head.number("moment_ms");
        long turn = head.longValue("turn");
        lastInstance[0] = Long.MIN_VALUE;
        reply.setLength(0);
        long target = Long.MIN_VALUE;
        while (true) {
            if (!next()) {
                throw new WireFormatException("input ended inside a batch");
            }
            String name = nameOf(line);
            if (name.equals("COMMIT")) {
                break;
            }
            if (name.equals("TARGET_INSTANCE")) {
                target = fields().longValue("gateway_id");
            } else if (name.equals("CATALOG")) {
                catalog(fields());
            } else {
                event(now, target, name);
            }
        }
        reply.append("YIELD turn=").append(turn).append('\n');
        out.append(reply);
        out.flush();
    }

    /** Passes the message on the current line on to the target instance. */
    private void event(double now, long target, String name) {
        if (target == Long.MIN_VALUE) {
            throw new WireFormatException("'" + name + "' before any TARGET_INSTANCE");
        }
        Fields f = fields();
        if (name.equals("ATTACH")) {
            DecisionEngine engine = new DecisionEngine(new ReplyWriter(reply, target, lastInstance));
            engines.put(target, engine);
            engine.onStart(now, SettingsReader.read(f));
            return;
        }
        if (name.equals("KILL")) {
            engines.remove(target);
            return;
        }
        DecisionEngine engine = engines.get(target);
        if (engine == null) {
            throw new WireFormatException("'" + name + "' for an instance without an ATTACH: " + target);
        }
        switch (name) {
            case "MEMBERSHIP" -> membership(now, engine, f);
            case "DEMAND" -> engine.onRequest(now, new Request(f.text("op_id"), f.number("valid_until_ms"), now,
                    f.flag("retry", false), f.text("lane"), f.longValue("holder"), f.text("contract"),
                    f.number("size_units"), f.intValue("from_no", 0), f.intValue("doors", 1)));
            case "FLOWING" -> engine.onStreamStarted(now, f.text("op_id"), f.intValue("hop"));
            case "COMPLETED" -> engine.onAttemptEnded(now, new AttemptResult(f.text("op_id"), f.intValue("hop"),
                    f.text("host"), outcome(f.text("reason")), f.number("cost_time_ms", 0),
                    f.flag("terminal", false), f.intValue("use_pct", 0), f.number("cost", 0),
                    f.numbers("health_info")));
            case "VANISHED" -> engine.onClientLeft(now, f.text("op_id"));
            case "DUE" -> engine.onTimer(now, f.text("cookie"));
            case "PROBE_RESULT" -> engine.onProbeResult(now, f.text("host"), outcome(f.text("reason")),
                    f.number("cost_time_ms", 0), f.numbers("health_info"));
            case "FROM_PEER" -> engine.onPeerMessage(now, f.intValue("neighbour"), f.bytes("contents"));
            case "COUNTED" -> engine.onCounterResult(now, f.text("counter"), outcome(f.text("reason")),
                    f.number("reading", 0));
            default -> throw new WireFormatException("unknown message '" + name + "'");
        }
    }

    private void membership(double now, DecisionEngine engine, Fields f) {
        String how = f.text("how");
        ListKind kind = switch (how) {
            case "D" -> ListKind.CHANGES;
            case "F" -> ListKind.FULL;
            case "C" -> ListKind.CACHED;
            case "X" -> ListKind.FAILED;
            default -> throw new WireFormatException("expected list kind D, F, C or X, found '" + how + "'");
        };
        List<Host> hosts = List.of();
        if (kind != ListKind.FAILED) {
            int page = f.intValue("page");
            hosts = hostsByPage.get(page);
            if (hosts == null) {
                throw new WireFormatException("no CATALOG with page " + page);
            }
        }
        engine.onHosts(now, kind, hosts);
    }

    /** Reads a page of hosts, which later MEMBERSHIP messages refer to. */
    private void catalog(Fields f) throws IOException {
        int page = f.intValue("page");
        int members = f.intValue("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            if (!next() || !nameOf(line).equals("HOST")) {
                throw new WireFormatException("expected " + members + " HOST lines, found " + i);
            }
            Fields h = fields();
            hosts.add(new Host(h.text("host"), h.text("failure_domain", ""), h.text("shape", ""),
                    h.intValue("cohort", 0), state(h.text("mode")), h.number("rating", 1),
                    h.number("born_ms", 0)));
        }
        hostsByPage.put(page, List.copyOf(hosts));
    }

    private static HostState state(String value) {
        return switch (value) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new WireFormatException("expected mode Running, Stopping or Deleted, found '" + value + "'");
        };
    }

    private static Outcome outcome(String value) {
        return switch (value) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.FULL;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.MOOT;
            default -> throw new WireFormatException("unknown outcome in 'reason': '" + value + "'");
        };
    }
}
