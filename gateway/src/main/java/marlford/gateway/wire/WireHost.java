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

/** Hosts many instances of the decision module on the simulator's wire and translates lines both ways. */
final class WireHost {
    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, DecisionEngine> brains = new TreeMap<>();
    private final Map<Integer, List<Host>> catalogs = new TreeMap<>();
    private final long[] lastAt = {Long.MIN_VALUE};
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String line = "";

    WireHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Answers batches until the input ends; a {@link WireFault} names the line and what is wrong with it. */
    void run() throws IOException {
        try {
            while (next()) {
                if (line.isEmpty()) {
                    continue;
                }
                batch();
            }
        } catch (WireFault fault) {
            throw new WireFault("line " + lineNumber + ": " + fault.getMessage());
        }
    }

    private boolean next() throws IOException {
        line = in.readLine();
        lineNumber++;
        return line != null;
    }

    private static String nameOf(String line) {
        int space = line.indexOf(' ');
        return space < 0 ? line : line.substring(0, space);
    }

    private Fields fields() {
        int space = line.indexOf(' ');
        return new Fields(space < 0 ? "" : line.substring(space + 1));
    }

    private void batch() throws IOException {
        if (!nameOf(line).equals("BEGIN_BATCH")) {
            throw new WireFault("expected BEGIN_BATCH, found '" + nameOf(line) + "'");
        }
        Fields head = fields();
        double now = head.number("moment_ms");
        long turn = head.whole("turn");
        lastAt[0] = Long.MIN_VALUE;
        reply.setLength(0);
        long target = Long.MIN_VALUE;
        while (true) {
            if (!next()) {
                throw new WireFault("input ended inside a batch");
            }
            String name = nameOf(line);
            if (name.equals("COMMIT")) {
                break;
            }
            if (name.equals("TARGET_INSTANCE")) {
                target = fields().whole("gateway_id");
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

    private void event(double now, long target, String name) {
        if (target == Long.MIN_VALUE) {
            throw new WireFault("'" + name + "' before any TARGET_INSTANCE");
        }
        Fields f = fields();
        if (name.equals("ATTACH")) {
            DecisionEngine engine = new DecisionEngine(new ReplyWriter(reply, target, lastAt));
            brains.put(target, engine);
            engine.onStart(now, SettingsReader.read(f));
            return;
        }
        if (name.equals("KILL")) {
            brains.remove(target);
            return;
        }
        DecisionEngine engine = brains.get(target);
        if (engine == null) {
            throw new WireFault("'" + name + "' for an instance that was not started: " + target);
        }
        switch (name) {
            case "MEMBERSHIP" -> membership(now, engine, f);
            case "DEMAND" -> engine.onRequest(now, new Request(f.text("op_id"), f.number("valid_until_ms"), now,
                    f.flag("retry", false), f.text("lane"), f.whole("holder"), f.text("contract"),
                    f.number("size_units"), f.count("from_no", 0), f.count("doors", 1)));
            case "FLOWING" -> engine.onStreamStarted(now, f.text("op_id"), f.count("hop"));
            case "COMPLETED" -> engine.onAttemptEnded(now, new AttemptResult(f.text("op_id"), f.count("hop"),
                    f.text("host"), outcome(f.text("reason")), f.number("cost_time_ms", 0),
                    f.flag("terminal", false), f.count("use_pct", 0), f.number("cost", 0),
                    f.row("health_info")));
            case "VANISHED" -> engine.onClientLeft(now, f.text("op_id"));
            case "DUE" -> engine.onTimer(now, f.text("cookie"));
            case "PROBE_RESULT" -> engine.onProbeResult(now, f.text("host"), outcome(f.text("reason")),
                    f.number("cost_time_ms", 0), f.row("health_info"));
            case "FROM_PEER" -> engine.onPeerMessage(now, f.count("neighbour"), f.bytes("contents"));
            case "COUNTED" -> engine.onCounterResult(now, f.text("counter"), outcome(f.text("reason")),
                    f.number("reading", 0));
            default -> throw new WireFault("unknown message '" + name + "'");
        }
    }

    private void membership(double now, DecisionEngine engine, Fields f) {
        String how = f.text("how");
        ListKind kind = switch (how) {
            case "D" -> ListKind.CHANGES;
            case "F" -> ListKind.FULL;
            case "C" -> ListKind.CACHED;
            case "X" -> ListKind.FAILED;
            default -> throw new WireFault("unknown list kind '" + how + "'");
        };
        List<Host> hosts = List.of();
        if (kind != ListKind.FAILED) {
            int page = f.count("page");
            hosts = catalogs.get(page);
            if (hosts == null) {
                throw new WireFault("no CATALOG with page " + page);
            }
        }
        engine.onHosts(now, kind, hosts);
    }

    private void catalog(Fields f) throws IOException {
        int page = f.count("page");
        int members = f.count("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            if (!next() || !nameOf(line).equals("HOST")) {
                throw new WireFault("expected " + members + " HOST lines, found " + i);
            }
            Fields h = fields();
            hosts.add(new Host(h.text("host"), h.text("failure_domain", ""), h.text("shape", ""),
                    h.count("cohort", 0), state(h.text("mode")), h.number("rating", 1),
                    h.number("born_ms", 0)));
        }
        catalogs.put(page, List.copyOf(hosts));
    }

    private static HostState state(String word) {
        return switch (word) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new WireFault("unknown host mode '" + word + "'");
        };
    }

    private static Outcome outcome(String word) {
        return switch (word) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.FULL;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.MOOT;
            default -> throw new WireFault("unknown reason '" + word + "'");
        };
    }
}
