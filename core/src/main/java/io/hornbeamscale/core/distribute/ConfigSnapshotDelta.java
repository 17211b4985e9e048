package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The difference between two versions of the configuration document, as the added, changed and removed entities.
 *
 * @param fromVersion the version to which the difference applies
 * @param toVersion the resulting version
 * @param toRevision the revision of the document's key in the store for the resulting version
 * @param changed the JSON texts of added and changed entities by name, not null
 * @param removed the names of removed entities, not null
 * @param checksum the checksum of the resulting snapshot
 */
public record ConfigSnapshotDelta(
        long fromVersion,
        long toVersion,
        long toRevision,
        Map<String, String> changed,
        Set<String> removed,
        long checksum) {
    /** Checks and copies the collections. */
    public ConfigSnapshotDelta {
        changed = Map.copyOf(Arguments.notNull(changed, "changed"));
        removed = Set.copyOf(Arguments.notNull(removed, "removed"));
    }

    /**
     * Computes the difference between two snapshots.
     *
     * @param from the older snapshot, not null
     * @param to the newer snapshot, not null
     * @return the difference, never null
     */
    public static ConfigSnapshotDelta between(ConfigSnapshot from, ConfigSnapshot to) {
        Map<String, String> changed = new HashMap<>();
        to.entities().forEach((name, text) -> {
            if (!text.equals(from.entities().get(name))) {
                changed.put(name, text);
            }
        });
        Set<String> removed = new HashSet<>(from.entities().keySet());
        removed.removeAll(to.entities().keySet());
        return new ConfigSnapshotDelta(from.version(), to.version(), to.revision(), changed, removed, to.checksum());
    }

    /**
     * Applies the difference to a snapshot, which remains unchanged.
     *
     * @param base the snapshot of the version {@code fromVersion}, not null
     * @return the resulting snapshot, empty if the base has a different version or if the checksum of the result does
     *     not match
     */
    public Optional<ConfigSnapshot> applyTo(ConfigSnapshot base) {
        if (Arguments.notNull(base, "base").version() != fromVersion) {
            return Optional.empty();
        }
        Map<String, String> entities = new HashMap<>(base.entities());
        entities.putAll(changed);
        entities.keySet().removeAll(removed);
        ConfigSnapshot result = new ConfigSnapshot(toVersion, toRevision, entities);
        return result.checksum() == checksum ? Optional.of(result) : Optional.empty();
    }
}
