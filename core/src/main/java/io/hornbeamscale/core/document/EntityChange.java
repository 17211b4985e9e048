package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;

/**
 * The change of one entity between two documents.
 *
 * @param kind the kind of the entity, null for the limits
 * @param name the name of the entity, {@code limits} for the limits
 * @param before the earlier state, an {@link Entity} or {@link LimitsSpec}; null if the entity was added or its earlier
 *     state is unknown
 * @param after the later state, an {@link Entity} or {@link LimitsSpec}; null if the entity was removed
 */
public record EntityChange(EntityKind kind, String name, Record before, Record after) {
    /** Checks the name. */
    public EntityChange {
        Arguments.notBlank(name, "name");
    }

    /**
     * Tells whether the entity was added.
     *
     * @return true if there is a later state but no earlier one; also if the earlier state is unknown
     */
    public boolean isAdded() {
        return before == null && after != null;
    }

    /**
     * Tells whether the entity was removed.
     *
     * @return true if there is no later state
     */
    public boolean isRemoved() {
        return after == null;
    }

    /**
     * Returns the section of the document that contains the entity.
     *
     * @return the key of the section, {@code limits} for the limits, never null
     */
    public String section() {
        return kind == null ? DocumentJson.LIMITS : kind.section();
    }

    /**
     * Returns an identifier of the changed entity.
     *
     * @return section and name, separated by a slash, never null
     */
    public String id() {
        return section() + "/" + name;
    }
}
