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
 * Parses JSON text into trees with Jackson's streaming parser alone. Its object mapper would take a quarter of the CPU
 * time of a process start (the mapper's tables, and a locale's calendars for dates, which are not used here), and all
 * nodes of a large fleet may start at once. Nesting is bounded by Jackson's own limit.
 */
public final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Parses the first value of a text; returns a missing node if there is none. */
    public static JsonNode read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            TreeBuilder tree = new TreeBuilder();
            while (parser.nextToken() != null) {
                JsonNode value = tree.add(parser);
                if (value != null) {
                    return value;
                }
            }
            // Jackson itself refuses a text that ends within a value.
            return MissingNode.getInstance();
        }
    }

    /** A parser that is fed bytes as they arrive; its token is {@link JsonToken#NOT_AVAILABLE} when it needs more. */
    public static JsonParser nonBlockingParser() throws IOException {
        return FACTORY.createNonBlockingByteArrayParser();
    }

    /** Builds one value after the other from tokens, and keeps the incomplete one. */
    public static final class TreeBuilder {
        private final Deque<ContainerNode<?>> open = new ArrayDeque<>();
        private String key;

        /** Whether a value has begun and is incomplete. */
        public boolean isOpen() {
            return !open.isEmpty();
        }

        /** Adds the parser's current token; returns the value that it completes, or null if the value is incomplete. */
        public JsonNode add(JsonParser parser) throws IOException {
            JsonNodeFactory factory = JsonNodeFactory.instance;
            return switch (parser.currentToken()) {
                case FIELD_NAME -> {
                    key = parser.currentName();
                    yield null;
                }
                case START_OBJECT -> begin(factory.objectNode());
                case START_ARRAY -> begin(factory.arrayNode());
                case END_OBJECT, END_ARRAY -> {
                    ContainerNode<?> ended = open.pop();
                    yield open.isEmpty() ? ended : null;
                }
                case VALUE_STRING -> put(factory.textNode(parser.getText()));
                case VALUE_TRUE -> put(factory.booleanNode(true));
                case VALUE_FALSE -> put(factory.booleanNode(false));
                case VALUE_NULL -> put(factory.nullNode());
                case VALUE_NUMBER_FLOAT -> put(factory.numberNode(parser.getDoubleValue()));
                case VALUE_NUMBER_INT ->
                    put(
                            switch (parser.getNumberType()) {
                                case INT -> factory.numberNode(parser.getIntValue());
                                case LONG -> factory.numberNode(parser.getLongValue());
                                default -> factory.numberNode(parser.getBigIntegerValue());
                            });
                default -> throw new JsonParseException(parser, "expected a value, found " + parser.currentToken());
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
