package marlford.storm.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command as it is typed; short runs of each kind, of which only counts and names are asserted. */
class ScaleCommandTest {
    @TempDir
    private Path folder;

    private JsonNode result(String... arguments) throws IOException {
        Path file = folder.resolve("result.json");
        CommandLine command = new CommandLine(new ScaleCommand());
        String[] all =
                Stream.concat(Stream.of(arguments), Stream.of("--json=" + file)).toArray(String[]::new);
        assertEquals(CommandLine.ExitCode.OK, command.execute(all));
        return new ObjectMapper().readTree(Files.readString(file));
    }

    @Test
    void aSweepIsKeptWithItsCommandAndItsFits() throws IOException {
        JsonNode result =
                result("--gateways=4,6,8,10", "--tries=20", "--ceilings=WITH", "--seconds=1", "--warm-up=0.5");
        assertEquals(4, result.path("points").size());
        assertTrue(result.path("command").asText().startsWith("./marlford scale --gateways=4,6,8,10"));
        assertTrue(result.path("command").asText().endsWith("--seed=1"));
        for (JsonNode fit : result.path("fits")) {
            assertEquals("gateways", fit.path("variable").asText());
            assertEquals(4, fit.path("line").path("points").asInt());
        }
        assertEquals(
                result.path("points").get(0).path("figures").size(),
                result.path("fits").size());
    }

    @Test
    void gatewaysOnEventLoopsDecide() throws IOException {
        JsonNode result = result(
                "--drive=LOOP", "--gateways=4", "--tries=50", "--ceilings=WITHOUT", "--seconds=0.5", "--warm-up=0.3");
        JsonNode figures = result.path("points").get(0).path("figures");
        assertTrue(figures.path("let_in_share").asDouble() > 0, figures.toString());
        assertTrue(figures.path("messages_per_gateway_second").asDouble() > 0, figures.toString());
    }

    @Test
    void aListIsTakenAndItsHostsAreSentTo() throws IOException {
        JsonNode result =
                result("--drive=LIST", "--hosts=50", "--gateways=3", "--tries=20", "--changes=1", "--seconds=2");
        JsonNode figures = result.path("points").get(0).path("figures");
        assertTrue(figures.path("sent_share").asDouble() > 0.9, figures.toString());
    }

    @Test
    void badArgumentsAreSaid() {
        CommandLine command = new CommandLine(new ScaleCommand());
        for (String bad : List.of(
                "--gateways=1",
                "--tries=0",
                "--loss=1",
                "--delay=3",
                "--processes=13",
                "--seconds=0",
                "--processes=3 --load-seconds=5")) {
            assertEquals(CommandLine.ExitCode.USAGE, command.execute(bad.split(" ")), bad);
        }
    }

    @Test
    void aListOfNamesIsAsLargeAsTheRealOne() throws IOException {
        try (DiscoveryStub discovery = new DiscoveryStub(1000)) {
            assertEquals(122, discovery.listBytes() / 1000.0, 10);
        }
    }
}
