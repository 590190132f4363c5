package rushpin.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

/** Tests that trees equal those of Jackson's object mapper. */
class JsonTest {
    private static final String ALL = """
        {"a":[1,-2,3000000000,123456789012345678901234567890,1.5,1e300,true,false,null,"\\u00e9\\n",[],{}],"b":{"c":{"d":"e"}},"b2":""}
        """;

    @Test
    void treeEqualsThatOfObjectMapper() throws Exception {
        assertEquals(new ObjectMapper().readTree(ALL), Json.read(ALL));
    }

    @Test
    void truncatedTextIsRefused() {
        String text = ALL.strip();
        for (int length = 1; length < text.length(); length++) {
            String cut = text.substring(0, length);
            assertThrows(JsonProcessingException.class, () -> Json.read(cut), cut);
        }
    }

    @Test
    void blankTextIsMissingNodeAndDeepNestingIsRefused() throws Exception {
        assertTrue(Json.read(" ").isMissingNode());
        assertThrows(JsonProcessingException.class, () -> Json.read("[".repeat(100_000)));
    }
}
