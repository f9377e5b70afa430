package marlford.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures the time that the decision engine takes for one request from arrival to answer, with a timer tick for every tenth, by
 * number of hosts and of gateways. Not a test: {@code main} runs it, and figures are comparable only within one run.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
public class DecisionBenchmark {
    private static final int REQUESTS_PER_TICK = 10;
    private static final double STEP_MS = 2;
    private static final int MAX_RECORDED_REQUESTS = 1000; // before the recorded actions, which are not the engine's, are cleared

    @Param({"60", "200", "1000"})
    public int hosts;

    @Param({"3", "14", "100"})
    public int gateways;

    private FakeGateway gateway;
    private int requestCount;

    public static void main(String[] arguments) throws RunnerException {
        new Runner(new OptionsBuilder().include(DecisionBenchmark.class.getSimpleName()).build()).run();
    }

    @Setup(Level.Trial)
    public void start() {
        gateway = new FakeGateway(1000, FakeGateway.settings(0, gateways));
        List<EngineApi.Host> list = IntStream.range(0, hosts).mapToObj(i -> FakeGateway.host("a" + i, "a")).toList();
        gateway.engine.onHosts(gateway.now, EngineApi.ListKind.FULL, list);
    }

    @Benchmark
    public void request() {
        String id = "r" + requestCount++;
        gateway.request(id, "read");
        gateway.endAttempt(id, 0, EngineApi.Outcome.OK, 5);
        gateway.now += STEP_MS;
        if (requestCount % REQUESTS_PER_TICK == 0) {
            gateway.engine.onTimer(gateway.now, "beat");
        }
        if (requestCount % MAX_RECORDED_REQUESTS == 0) {
            gateway.sent.clear();
            gateway.actions.clear();
            gateway.peerMessages.clear();
        }
    }
}
