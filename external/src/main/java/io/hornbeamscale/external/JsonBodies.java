package io.hornbeamscale.external;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/** Encodes and decodes JSON bodies of HTTP requests and responses. */
final class JsonBodies {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonBodies() {}

    static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be encoded as JSON", e);
        }
    }

    /** Returns the body of a response with status 200, a missing node for any other outcome or a malformed body. */
    static JsonNode bodyOf(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered) || answered.status() != 200) {
            return MissingNode.getInstance();
        }
        return decode(answered.body());
    }

    /** Decodes a text; returns a missing node if it is malformed. */
    static JsonNode decode(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
