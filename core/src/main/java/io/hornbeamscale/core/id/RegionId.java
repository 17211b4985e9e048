package io.hornbeamscale.core.id;

import io.hornbeamscale.core.util.Arguments;

/**
 * Identifies a region.
 *
 * @param value the text of the identifier, not blank
 */
public record RegionId(String value) {
    /** Checks the text. */
    public RegionId {
        Arguments.notBlank(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
