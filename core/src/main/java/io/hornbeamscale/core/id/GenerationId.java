package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a generation. It contains the backend server, so that any entry can resume the stream without a shared
 * table.
 *
 * @param backend the backend server that runs the generation, not null
 * @param incarnation the incarnation of the agent that started it
 * @param sequence a number that is unique within the incarnation
 */
public record GenerationId(BackendId backend, long incarnation, long sequence) {
    /** Checks the components. */
    public GenerationId {
        Arguments.notNull(backend, "backend");
        Arguments.notNegative(incarnation, "incarnation");
        Arguments.notNegative(sequence, "sequence");
    }

    /**
     * Parses the text form {@code backend.incarnation.sequence}.
     *
     * @param text the text form, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a generation id
     */
    public static GenerationId parse(String text) {
        Arguments.notBlank(text, "text");
        String[] parts = text.split("\\.", -1);
        if (parts.length != 3) {
            throw new IllegalArgumentException("a generation id has three parts: " + text);
        }
        try {
            return new GenerationId(new BackendId(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a generation id ends with two numbers: " + text, e);
        }
    }

    @Override
    public String toString() {
        return backend + "." + incarnation + "." + sequence;
    }
}
