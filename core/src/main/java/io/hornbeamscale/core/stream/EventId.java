package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.util.Arguments;

/**
 * The id of a server-sent event, in the text form {@code generation:offset}. A caller that has received the event has
 * all tokens before the offset and resumes with the token at the offset.
 *
 * @param generation the generation, not null
 * @param offset the number of tokens that the caller has received with this event
 */
public record EventId(GenerationId generation, long offset) {
    /** Checks the parts. */
    public EventId {
        Arguments.notNull(generation, "generation");
        Arguments.notNegative(offset, "offset");
    }

    /**
     * Parses the text form.
     *
     * @param text the text of a {@code Last-Event-ID} header, not null
     * @return the id, never null
     * @throws IllegalArgumentException if the text is not an event id
     */
    public static EventId parse(String text) {
        Arguments.notBlank(text, "text");
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("an event id has the form generation:offset: " + text);
        }
        try {
            return new EventId(GenerationId.parse(text.substring(0, colon)), Long.parseLong(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("an event id ends with a number: " + text, e);
        }
    }

    @Override
    public String toString() {
        return generation + ":" + offset;
    }
}
