package rushpin.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * JSON text as a tree, by the library's streaming reader alone. Its object mapper costs a start a quarter of its CPU
 * time (the mapper's tables, and the calendars of a locale for dates that nobody here reads), and nodes of a large
 * fleet start all at once. Nesting is bounded by the library's own limit.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** The tree of the first value of a text; a missing node where there is none. */
    public static JsonNode read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            Tree tree = new Tree();
            while (parser.nextToken() != null) {
                JsonNode whole = tree.grow(parser);
                if (whole != null) {
                    return whole;
                }
            }
            // The library itself refuses a text that ends within a value.
            return MissingNode.getInstance();
        }
    }

    /** A reader that is fed bytes as they come, and gives {@link JsonToken#NOT_AVAILABLE} where it needs more. */
    public static JsonParser fed() throws IOException {
        return FACTORY.createNonBlockingByteArrayParser();
    }

    /** One value after the other, a token at a time; what is not whole yet waits here. */
    public static final class Tree {
        private final Deque<ContainerNode<?>> open = new ArrayDeque<>();
        private String key;

        /** Whether a value has begun and not ended. */
        public boolean isOpen() {
            return !open.isEmpty();
        }

        /** Takes the parser's token; the value that it completes, or null if there is more to come. */
        public JsonNode grow(JsonParser parser) throws IOException {
            JsonNodeFactory make = JsonNodeFactory.instance;
            return switch (parser.currentToken()) {
                case FIELD_NAME -> {
                    key = parser.currentName();
                    yield null;
                }
                case START_OBJECT -> begin(make.objectNode());
                case START_ARRAY -> begin(make.arrayNode());
                case END_OBJECT, END_ARRAY -> {
                    ContainerNode<?> ended = open.pop();
                    yield open.isEmpty() ? ended : null;
                }
                case VALUE_STRING -> put(make.textNode(parser.getText()));
                case VALUE_TRUE -> put(make.booleanNode(true));
                case VALUE_FALSE -> put(make.booleanNode(false));
                case VALUE_NULL -> put(make.nullNode());
                case VALUE_NUMBER_FLOAT -> put(make.numberNode(parser.getDoubleValue()));
                case VALUE_NUMBER_INT ->
                    put(
                            switch (parser.getNumberType()) {
                                case INT -> make.numberNode(parser.getIntValue());
                                case LONG -> make.numberNode(parser.getLongValue());
                                default -> make.numberNode(parser.getBigIntegerValue());
                            });
                default -> throw new JsonParseException(parser, "a value was expected, not " + parser.currentToken());
            };
        }

        private JsonNode begin(ContainerNode<?> container) {
            put(container);
            open.push(container);
            return null;
        }

        private JsonNode put(JsonNode value) {
            if (open.peek() instanceof ObjectNode object) {
                object.set(key, value);
            } else if (open.peek() instanceof ArrayNode array) {
                array.add(value);
            }
            return open.isEmpty() ? value : null;
        }
    }
}
