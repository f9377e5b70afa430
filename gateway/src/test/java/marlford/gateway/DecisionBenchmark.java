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
 * What one request costs the decision module, from its coming to its answer, a beat of the clock in ten: by hosts and by
 * gateways. Not a test: {@code main} runs it, and its figures are to be compared within one run.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
public class DecisionBenchmark {
    private static final int BEAT_EVERY = 10;
    private static final double STEP_MS = 2;
    private static final int NOTES_MAX = 1000; // of the notebook, which is none of the module's

    @Param({"60", "200", "1000"})
    public int hosts;

    @Param({"3", "14", "100"})
    public int gateways;

    private FakeGateway gateway;
    private int asked;

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
        String id = "r" + asked++;
        gateway.ask(id, "read");
        gateway.end(id, 0, EngineApi.Outcome.OK, 5);
        gateway.now += STEP_MS;
        if (asked % BEAT_EVERY == 0) {
            gateway.engine.onTimer(gateway.now, "beat");
        }
        if (asked % NOTES_MAX == 0) {
            gateway.sent.clear();
            gateway.log.clear();
            gateway.told.clear();
        }
    }
}
