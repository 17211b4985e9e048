package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies an availability zone.
 *
 * @param value the text of the identifier, not blank
 */
public record ZoneId(String value) {
    /** Checks the text. */
    public ZoneId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
