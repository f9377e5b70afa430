package marlford.gateway.net;

import static marlford.gateway.net.Sockets.entry;
import static marlford.gateway.net.Sockets.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import marlford.gateway.EngineApi.HostState;
import marlford.gateway.list.HostList;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of valid and invalid lists of hosts, in parts of any size. */
class HostListParserTest {
    private static final int MAX_HOSTS = 1000;

    private static HostListUpdate parse(String text, int partBytes, int maxHosts) throws IOException {
        HostListParser parser = new HostListParser(maxHosts);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += partBytes) {
            ByteBuf part = Unpooled.wrappedBuffer(bytes, from, Math.min(partBytes, bytes.length - from));
            parser.feed(part);
            assertTrue(part.release(), "the parser released or retained a buffer of its caller");
        }
        return parser.end();
    }

    private static HostListUpdate parse(String text) throws IOException {
        return parse(text, Integer.MAX_VALUE / 2, MAX_HOSTS);
    }

    @Provide
    Arbitrary<String> entries() {
        return Combinators.combine(Arbitraries.of("h0", "h1", "\u00fcber", "quote\\\"d", ""),
                Arbitraries.of("10.0.0.1:80", "nowhere", "10.0.0.2:99999", "[::1]:5"),
                Arbitraries.of("ready", "draining", "gone", "sleepy"),
                Arbitraries.of("1", "0.5", "-1e3", "\"2.5\"", "true"),
                Arbitraries.of("0", "1764650000000", "1764650000000.5"),
                Arbitraries.of("", ",\"more\":{\"id\":[1,{\"id\":\"x\"}]}", ",\"id\":\"last\""))
                .as((id, address, state, weight, started, extraFields) -> "{\"id\":\"" + id + "\",\"addr\":\"" + address
                        + "\",\"zone\":\"a\",\"kind\":7,\"cell\":3,\"state\":\"" + state + "\",\"weight\":" + weight
                        + ",\"started_ms\":" + started + extraFields + "}");
    }

    /** Compares the result with that of reading the whole text as a tree, for parts of any size. */
    @Property(tries = 300)
    void parsesTheSameAsTreeReading(@ForAll("lists") String text, @ForAll @IntRange(min = 1, max = 60) int partBytes)
            throws IOException {
        HostListUpdate parsed = parse(text, partBytes, MAX_HOSTS);
        assertEquals(Discovery.readEntries(new ObjectMapper().readTree(text)), parsed.entries());
        assertEquals(41, parsed.version());
        assertTrue(parsed.full());
    }

    @Provide
    Arbitrary<String> lists() {
        return Combinators.combine(entries().list().ofMaxSize(5), Arbitraries.of("", " ", "\n  "), Arbitraries.of(true, false))
                .as((entries, space, versionLast) -> {
                    String servers = "\"servers\":" + space + "[" + String.join("," + space, entries) + space + "]";
                    String rest = "\"version\":" + space + "41,\"other\":[{}, []],\"full\":true";
                    return "{" + space + (versionLast ? servers + "," + rest : rest + "," + servers) + space + "}" + space;
                });
    }

    @Test
    void changesAndMissingFieldsAreParsed() throws IOException {
        HostListUpdate changes = parse(list(43, false, entry("h", "10.0.0.1:80", "draining")));
        assertFalse(changes.full());
        assertEquals(HostState.DRAINING, changes.entries().get(0).host().state());
        HostListUpdate bare = parse("{}");
        assertEquals(HostList.NO_VERSION, bare.version());
        assertEquals(List.of(), bare.entries());
        assertEquals(List.of(), parse("{\"version\":1,\"full\":true,\"servers\":[3,[{}],null]}").entries());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "nonsense", "{\"version\":1", "{\"version\":1,\"servers\":[{\"id\":\"h\"}",
            "{\"servers\":[}", "{\"version\":1}}"})
    void invalidListsAreRejected(String text) {
        if (text.equals("{\"version\":1}}")) {
            assertEquals(1, org.junit.jupiter.api.Assertions.assertDoesNotThrow(() -> parse(text)).version());
        } else {
            assertThrows(UnreadableListException.class, () -> parse(text));
        }
    }

    /** Guards against unbounded memory use: a value beyond the length limit is rejected. */
    @Test
    void anEndlessValueIsRefused() throws IOException {
        HostListParser parser = new HostListParser(1);
        parser.feed("{\"servers\":[{\"id\":\"".getBytes(StandardCharsets.US_ASCII));
        byte[] valuePart = "x".repeat(8192).getBytes(StandardCharsets.US_ASCII);
        assertThrows(UnreadableListException.class, () -> {
            for (int i = 0; i < 100; i++) {
                parser.feed(valuePart);
            }
        });
    }

    @Test
    void aListBeyondTheLimitOfHostsIsRejected() throws IOException {
        String ten = list(1, true, IntStream.range(0, 10).mapToObj(i -> entry("h" + i, "10.0.0.1:80", "ready"))
                .collect(Collectors.toList()).toArray(new String[0]));
        assertEquals(10, parse(ten, 100, 10).entries().size());
        String message = assertThrows(ListTooLongException.class, () -> parse(ten, 100, 9)).getMessage();
        assertTrue(message.contains("more than the 9 hosts") && message.lines().count() == 1, message);
    }
}
