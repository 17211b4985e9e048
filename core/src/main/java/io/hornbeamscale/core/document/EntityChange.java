package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;

/**
 * The change of one entity between two documents.
 *
 * @param kind the kind of the entity, null for the limits
 * @param name the name of the entity, {@code limits} for the limits
 * @param before the entity before, null if it was added or its earlier state is not known; an
 *     {@link Entity} or {@link LimitsSpec}
 * @param after the entity after, null if it was removed; an {@link Entity} or {@link LimitsSpec}
 */
public record EntityChange(EntityKind kind, String name, Record before, Record after) {
    /** Checks the name. */
    public EntityChange {
        Arguments.notBlank(name, "name");
    }

    /**
     * Tells whether the entity was added.
     *
     * @return true if there was no such entity before
     */
    public boolean isAdded() {
        return before == null && after != null;
    }

    /**
     * Tells whether the entity was removed.
     *
     * @return true if there is no such entity afterwards
     */
    public boolean isRemoved() {
        return after == null;
    }

    /**
     * Returns the key of the document under which the entity stands.
     *
     * @return a section, or {@code limits}, never null
     */
    public String section() {
        return kind == null ? DocumentJson.LIMITS : kind.section();
    }

    /**
     * Returns the identity of the changed entity.
     *
     * @return section and name, never null
     */
    public String id() {
        return section() + "/" + name;
    }
}
