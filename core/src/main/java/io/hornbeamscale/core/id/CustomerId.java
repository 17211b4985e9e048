package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a customer.
 *
 * @param value the text of the identifier, not blank
 */
public record CustomerId(String value) {
    /** Checks the text. */
    public CustomerId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
