package io.hornbeamscale.external;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/** Reads and writes the JSON bodies of the platform's systems. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    /** Returns the body of an answer with status 200, or a missing node for any other outcome or a malformed body. */
    static JsonNode bodyOf(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != 200) {
            return MissingNode.getInstance();
        }
        return read(answered.body());
    }

    /** Returns a missing node for a malformed text. */
    static JsonNode read(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
