package rushpin.membership;

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

/**
 * JSON text as a tree, by the library's streaming reader alone. Its object mapper costs a start a quarter of its CPU
 * time (the mapper's tables, and the calendars of a locale for dates that nobody here reads), and nodes of a large
 * fleet start all at once. Nesting is bounded by the library's own limit.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {
    }

    /** The tree of the first value of a text; a missing node where there is none. */
    public static JsonNode read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return parser.nextToken() == null ? MissingNode.getInstance() : value(parser);
        }
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        JsonNodeFactory make = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = make.objectNode();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String key = parser.currentName();
                    parser.nextToken();
                    object.set(key, value(parser));
                }
                yield object;
            }
            case START_ARRAY -> {
                ArrayNode array = make.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                yield array;
            }
            case VALUE_STRING -> make.textNode(parser.getText());
            case VALUE_TRUE -> make.booleanNode(true);
            case VALUE_FALSE -> make.booleanNode(false);
            case VALUE_NULL -> make.nullNode();
            case VALUE_NUMBER_FLOAT -> make.numberNode(parser.getDoubleValue());
            case VALUE_NUMBER_INT -> switch (parser.getNumberType()) {
                case INT -> make.numberNode(parser.getIntValue());
                case LONG -> make.numberNode(parser.getLongValue());
                default -> make.numberNode(parser.getBigIntegerValue());
            };
            default -> throw new JsonParseException(parser, "a value was expected, not " + parser.currentToken());
        };
    }
}
