package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies one request of a caller within the whole system.
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
