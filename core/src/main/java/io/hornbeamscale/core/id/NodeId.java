package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a process of the system.
 *
 * @param value the text of the identifier, not blank
 */
public record NodeId(String value) {
    /** Checks the text. */
    public NodeId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
