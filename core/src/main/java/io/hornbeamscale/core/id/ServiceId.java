package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a service.
 *
 * @param value the text of the identifier, not blank
 */
public record ServiceId(String value) {
    /** Checks the text. */
    public ServiceId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
