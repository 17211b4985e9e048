package io.hornbeamscale.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;

/** Reads and writes the JSON bodies of the stand-ins. */
final class StandInJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StandInJson() {}

    static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be written as JSON", e);
        }
    }

    static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text.isEmpty() ? "{}" : text);
        } catch (JsonProcessingException e) {
            throw new ServingException(ErrorKind.BAD_REQUEST, "the body is not JSON: " + e.getOriginalMessage());
        }
    }
}
