package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies one backend server; it must not contain a dot, since generation ids are dotted.
 *
 * @param value the text of the identifier, not blank
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
