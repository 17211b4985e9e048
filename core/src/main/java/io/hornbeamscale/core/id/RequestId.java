package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a request of a caller, unique within the whole system.
 *
 * @param value the text of the identifier, not blank
 */
public record RequestId(String value) {
    /** Checks the text. */
    public RequestId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
