package marlford.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What operators may write, and what they are told of what they may not. */
class FleetConfigTest {
    private static final String GOOD = """
            {"fleet": "f", "folder": "/tmp/f", "voters": [{"name": "a", "address": "127.0.0.1:1"},
              {"name": "b", "address": "127.0.0.1:2"}, {"name": "c", "address": "127.0.0.1:3"}],
             "session": {"ttl_ms": 1000},
             "tasks": [{"name": "t", "kind": "single", "url": "http://127.0.0.1:9/x", "every_ms": 100, "takes_ms": 50}]}
            """;

    @TempDir
    private Path dir;

    private FleetConfig read(String text, String name) throws Exception {
        return FleetConfig.read(Files.writeString(dir.resolve("fleet.json"), text), name);
    }

    @Test
    void whatIsNotSaidHasItsDefault() throws Exception {
        FleetConfig c = read(GOOD, "b");
        assertEquals("b", c.name());
        assertEquals(1000, c.ttlMs());
        assertEquals(500, c.stallMs());
        assertEquals(1, c.tasks().get(0).holders());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\": \"b\", | \"name\": \"a\", | voter a or its address is named twice",
                "127.0.0.1:2 | 127.0.0.1:1 | voter b or its address is named twice",
                "127.0.0.1:2 | 127.0.0.1:99999 | bad address",
                "1000 | 10 | ttl_ms",
                "\"kind\": \"single\" | \"kind\": \"both\" | kind",
                "\"fleet\": \"f\", | '' | fleet",
                "\"session\" | \"sesion\" | sesion",
                "}]} | }]}} | can't read"
            })
    void whatIsWrongIsSaidInOneLine(String part, String instead, String says) {
        FleetConfig.BadFleet e = assertThrows(
                FleetConfig.BadFleet.class, () -> read(GOOD.replace(part, instead == null ? "" : instead), "a"));
        assertTrue(e.getMessage().contains(says) && e.getMessage().lines().count() == 1, e.getMessage());
    }

    @Test
    void aProcessHasAName() {
        assertThrows(FleetConfig.BadFleet.class, () -> read(GOOD, null));
    }

    /** A session that is shorter than a stall leaves no time to act in, and a fleet of it would do nothing and say nothing. */
    @Test
    void aSessionThatLeavesNoTimeIsRefused() throws Exception {
        FleetConfig c = read(GOOD.replace("1000", "400"), "x");
        assertThrows(IllegalArgumentException.class, () -> new Fleet(c, line -> {}));
    }
}
