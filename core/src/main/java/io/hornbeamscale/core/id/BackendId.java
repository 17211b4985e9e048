package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a backend server. It must not contain a dot, since dots separate the parts of a generation id.
 *
 * @param value the text of the identifier, not blank and without dots
 */
public record BackendId(String value) {
    /** Checks the text. */
    public BackendId {
        Arguments.notBlank(value, "value");
        if (value.indexOf('.') >= 0) {
            throw new IllegalArgumentException("value must not contain a dot: " + value);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
