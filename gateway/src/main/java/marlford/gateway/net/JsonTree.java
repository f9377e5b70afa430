package marlford.gateway.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;

/**
 * Builds a tree of JSON nodes from the tokens of the streaming parser. The object mapper of the library does the same, but
 * it also initializes date formats, locales and introspection, which takes a quarter of the processor time of a start.
 */
final class JsonTree {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() { }

    /** Reads the first value of the text; returns a missing node for an empty text. The parser limits the nesting depth. */
    static JsonNode read(InputStream text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            return first == null ? MissingNode.getInstance() : value(parser, first);
        }
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        if (token == null) {
            throw new JsonParseException(parser, "expected a JSON value, found the end of the text");
        }
        switch (token) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                return array(parser);
            case VALUE_STRING:
                return NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? NODES.numberNode(parser.getBigIntegerValue()) : NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT:
                return NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            case VALUE_NULL:
                return NODES.nullNode();
            default:
                throw new JsonParseException(parser, "expected a JSON value, found the token " + token);
        }
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            object.set(name, value(parser, parser.nextToken()));
        }
        return object;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            array.add(value(parser, token));
        }
        return array;
    }
}
