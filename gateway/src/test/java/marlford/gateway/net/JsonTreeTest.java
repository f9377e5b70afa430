package marlford.gateway.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** JsonTree must build the same trees as the object mapper of the library. */
class JsonTreeTest {
    private static JsonNode read(String text) throws IOException {
        return JsonTree.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "[]", "[[], {}, [1, -2.5e3, 18446744073709551616], \"\\u00e9\\n\"]", "null", "7",
        "{\"a\": {\"b\": [true, false, null]}, \"a\": \"the last one stands\"}"})
    void readsTheSameTreeAsTheObjectMapper(String text) throws IOException {
        assertEquals(new ObjectMapper().readTree(text).toString(), read(text).toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "[1", "{\"a\"", "{\"a\":", "{\"a\": 1,}", "]", "nope"})
    void rejectsInvalidJson(String text) {
        assertThrows(IOException.class, () -> read(text));
    }

    @Test
    void emptyTextIsAMissingNode() throws IOException {
        assertTrue(read(" ").isMissingNode());
    }

    @Test
    void rejectsTooDeepNesting() {
        assertThrows(IOException.class, () -> read("[".repeat(100_000)));
    }
}
