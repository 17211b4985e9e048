package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a model.
 *
 * @param value the text of the identifier, not blank
 */
public record ModelId(String value) {
    /** Checks the text. */
    public ModelId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
